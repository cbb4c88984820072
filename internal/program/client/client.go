// Package client is a caller of gooseberryway: it asks locate which daemons to use, keeps the answer for its time
// to live, and sends again what did not run. The demo and the load tool use it.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/protocol/openai"
	"github.com/gooseberryway/gooseberryway/internal/state/scope"
)

// APIError is a refusal of the system.
type APIError struct {
	Status int
	Detail openai.Error
	// InStream is set if the refusal came after a part of the answer.
	InStream bool
}

func (e *APIError) Error() string {
	return fmt.Sprintf("status %d, %s: %s", e.Status, e.Detail.Code, e.Detail.Message)
}

// TransportError is a connection that failed. Sent is set if the request may have reached a daemon.
type TransportError struct {
	MaybeSent bool
	Err       error
}

func (e *TransportError) Error() string { return fmt.Sprintf("connection failed: %v", e.Err) }

func (e *TransportError) Unwrap() error { return e.Err }

// TruncatedStreamError is a stream that ended without its end mark.
type TruncatedStreamError struct {
	Err error
}

func (e *TruncatedStreamError) Error() string { return "the stream ended early" }

func (e *TruncatedStreamError) Unwrap() error { return e.Err }

// NoAddressError says that no daemon answered the question which to use.
type NoAddressError struct {
	Err error
}

func (e *NoAddressError) Error() string {
	return fmt.Sprintf("no daemon tells which to use: %v", e.Err)
}

func (e *NoAddressError) Unwrap() error { return e.Err }

// Client sends requests of one organisation. Its fields are set before the first request.
type Client struct {
	// Seeds are addresses of daemons that are asked which to use.
	Seeds []string
	Key   string
	// Retries bounds how often a request that did not run is sent again.
	Retries int

	once    sync.Once
	http    *http.Client
	mu      sync.Mutex
	located []string
	until   time.Time
	next    int
}

// Request is a streamed chat completion.
type Request struct {
	Model     string
	System    string
	User      string
	MaxTokens int64
	Seed      int64
	// PathPrefix chooses a route; empty for the route of the model.
	PathPrefix     string
	IdempotencyKey string
	// Timeout is passed on to the daemon; 0 for none.
	Timeout time.Duration
}

// Response is a complete answer.
type Response struct {
	Text         string
	Version      string
	FinishReason string
	Usage        openai.Usage
	// TTFT is the time from the first try to the first piece of text.
	TTFT  time.Duration
	Total time.Duration
	// Attempts counts how often the request was sent.
	Attempts int
	Address  string
}

// Close closes idle connections.
func (c *Client) Close() {
	c.once.Do(c.init)
	c.http.CloseIdleConnections()
}

func (c *Client) init() {
	dialer := &net.Dialer{Timeout: dialTimeout}
	c.http = &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleTimeout,
	}}
}

// Complete sends a request and reads the whole answer. The error is an *APIError, a *TransportError,
// a *CutShortError or a *NoAddressError.
func (c *Client) Complete(ctx context.Context, req *Request) (*Response, error) {
	c.once.Do(c.init)
	began := time.Now()
	for try := 1; ; try++ {
		addr, err := c.address(ctx)
		if err != nil {
			return nil, err
		}
		answer, err := c.send(ctx, addr, req, began)
		if err == nil {
			answer.Attempts, answer.Address = try, addr
			return answer, nil
		}
		pause, again := retryable(err)
		if !again || try > c.Retries {
			return nil, err
		}
		c.forget(addr)
		if !scope.Sleep(ctx, pause) {
			return nil, err
		}
	}
}

// retryable tells whether a request may be sent again and after which pause.
func retryable(err error) (time.Duration, bool) {
	var api *APIError
	if errors.As(err, &api) {
		pause := time.Duration(api.Detail.RetryAfterMs) * time.Millisecond
		return max(pause, minRetryPause), api.Detail.RunStatus == openai.RunStatusNotRun && api.Detail.RetryAfterMs > 0
	}
	var transport *TransportError
	return minRetryPause, errors.As(err, &transport) && !transport.MaybeSent
}

func (c *Client) send(ctx context.Context, addr string, req *Request, began time.Time) (*Response, error) {
	r, err := c.newRequest(ctx, addr, req)
	if err != nil {
		return nil, err
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return nil, &TransportError{MaybeSent: !isDialError(err), Err: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, readRefusal(resp)
	}
	answer, err := readStream(resp.Body, began)
	if err != nil {
		return nil, err
	}
	answer.Version = resp.Header.Get("X-Served-Version")
	answer.Total = time.Since(began)
	return answer, nil
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// Body returns the JSON body of the request.
func (r *Request) Body() []byte {
	body, err := json.Marshal(map[string]any{
		"model":          r.Model,
		"stream":         true,
		"stream_options": map[string]any{"include_usage": true},
		"max_tokens":     r.MaxTokens,
		"seed":           r.Seed,
		"messages": []openai.Message{
			{Role: "system", Content: r.System},
			{Role: "user", Content: r.User},
		},
	})
	if err != nil {
		panic(err) // strings and numbers can always be encoded
	}
	return body
}

// Prompt returns the canonical prompt that a daemon makes of the request.
func (r *Request) Prompt() []byte {
	decoded, err := openai.DecodeChat(r.Body())
	if err != nil {
		return nil
	}
	return decoded.Prompt
}

func (c *Client) newRequest(ctx context.Context, addr string, req *Request) (*http.Request, error) {
	url := "http://" + addr + req.PathPrefix + "/v1/chat/completions"
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(req.Body()))
	if err != nil {
		return nil, &TransportError{Err: err}
	}
	r.Header.Set("Authorization", "Bearer "+c.Key)
	r.Header.Set("Content-Type", "application/json")
	if req.IdempotencyKey != "" {
		r.Header.Set("Idempotency-Key", req.IdempotencyKey)
	}
	if req.Timeout > 0 {
		r.Header.Set("X-Request-Timeout-Ms", fmt.Sprint(req.Timeout.Milliseconds()))
	}
	return r, nil
}

func readRefusal(resp *http.Response) error {
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxEventBytes))
	if err != nil {
		return &TransportError{MaybeSent: true, Err: err}
	}
	var body openai.ErrorBody
	if err := json.Unmarshal(raw, &body); err != nil {
		body.Error = openai.Error{Message: strings.TrimSpace(string(raw)), RunStatus: openai.RunStatusUnknown}
	}
	return &APIError{Status: resp.StatusCode, Detail: body.Error}
}
