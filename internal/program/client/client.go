// Package client implements clients of gooseberryway: Client sends completion requests, AdminClient requests to the
// admin API. Client gets the addresses of daemons from the locate endpoint, caches them for their time to live, and
// retries requests that did not run. The demo and the load tool use it.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/protocol/openai"
	"github.com/gooseberryway/gooseberryway/internal/state/scope"
	"github.com/gooseberryway/gooseberryway/internal/transport/httpc"
)

// APIError is an error response of a daemon.
type APIError struct {
	Status int
	Detail openai.Error
	// InStream is set if the error came as an event of a stream. Status is 0 then.
	InStream bool
}

func (e *APIError) Error() string {
	return fmt.Sprintf("status %d, %s: %s", e.Status, e.Detail.Code, e.Detail.Message)
}

// TransportError is a failed connection. MaybeSent is set if the request may have reached a daemon.
type TransportError struct {
	MaybeSent bool
	Err       error
}

func (e *TransportError) Error() string { return fmt.Sprintf("connection failed: %v", e.Err) }

func (e *TransportError) Unwrap() error { return e.Err }

// TruncatedStreamError reports a stream that ended without its end mark or had an event that cannot be decoded.
type TruncatedStreamError struct {
	Err error
}

func (e *TruncatedStreamError) Error() string { return "the stream ended early" }

func (e *TruncatedStreamError) Unwrap() error { return e.Err }

// NoAddressError reports that no daemon returned addresses in a locate response. Err is the last error.
type NoAddressError struct {
	Err error
}

func (e *NoAddressError) Error() string {
	return fmt.Sprintf("no daemon returned addresses in a locate response: %v", e.Err)
}

func (e *NoAddressError) Unwrap() error { return e.Err }

// Client sends requests of one organisation. Its fields are set before the first request.
type Client struct {
	// Seeds are the addresses of daemons for the first locate request.
	Seeds []string
	Key   string
	// Retries bounds the retries of a request that did not run.
	Retries int

	once              sync.Once
	pool              *httpc.Pool
	mu                sync.Mutex
	addresses         []string
	addressesExpireAt time.Time
	addressIndex      int
}

// Request is a streamed chat completion.
type Request struct {
	Model     string
	System    string
	User      string
	MaxTokens int64
	Seed      int64
	// PathPrefix selects a route; empty for the route of the model.
	PathPrefix     string
	IdempotencyKey string
	// Timeout is the deadline that is sent to the daemon; 0 for none.
	Timeout time.Duration
}

// Response is a completion whose stream arrived up to its end mark.
type Response struct {
	Text         string
	Version      string
	FinishReason string
	Usage        openai.Usage
	// TTFT is the time from the first attempt to the first text; Total the time to the end of the stream.
	TTFT  time.Duration
	Total time.Duration
	// Attempts is the number of times that the request was sent; Address is that of the daemon which answered.
	Attempts int
	Address  string
}

// Close closes idle connections.
func (c *Client) Close() {
	c.once.Do(c.init)
	_ = c.pool.Close()
}

func (c *Client) init() {
	c.pool = &httpc.Pool{DialTimeout: dialTimeout, MaxIdleConnsPerHost: maxIdleConnsPerDaemon, IdleTimeout: idleTimeout}
}

// Complete sends a request, retries it if it did not run, and reads the response to its end. The error is an *APIError,
// a *TransportError, a *TruncatedStreamError or a *NoAddressError.
func (c *Client) Complete(ctx context.Context, req *Request) (*Response, error) {
	c.once.Do(c.init)
	start := time.Now()
	for attempt := 1; ; attempt++ {
		addr, err := c.nextAddress(ctx)
		if err != nil {
			return nil, err
		}
		response, err := c.send(ctx, addr, req, start)
		if err == nil {
			response.Attempts, response.Address = attempt, addr
			return response, nil
		}
		delay, retry := retryDelay(err)
		if !retry || attempt > c.Retries {
			return nil, err
		}
		c.dropAddress(addr)
		if !scope.Sleep(ctx, delay) {
			return nil, err
		}
	}
}

// retryDelay returns the delay before a retry, and whether a retry is safe because the request did not run. A rejected
// request is retried only if its error gives a delay.
func retryDelay(err error) (time.Duration, bool) {
	var api *APIError
	if errors.As(err, &api) {
		delay := time.Duration(api.Detail.RetryAfterMs) * time.Millisecond
		return max(delay, minRetryPause), api.Detail.RunStatus == openai.RunStatusNotRun && api.Detail.RetryAfterMs > 0
	}
	var transport *TransportError
	return minRetryPause, errors.As(err, &transport) && !transport.MaybeSent
}

func (c *Client) send(ctx context.Context, addr string, req *Request, start time.Time) (*Response, error) {
	r, err := c.newRequest(ctx, addr, req)
	if err != nil {
		return nil, err
	}
	resp, err := c.pool.Do(r)
	if err != nil {
		return nil, sendError(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, readAPIError(resp)
	}
	response, err := readStream(resp.Body, start)
	if err != nil {
		return nil, err
	}
	response.Version = resp.Header.Get("X-Served-Version")
	response.Total = time.Since(start)
	return response, nil
}

// sendError returns the *TransportError of a request that got no response.
func sendError(err error) error {
	send, ok := errors.AsType[*httpc.SendError](err)
	return &TransportError{MaybeSent: !ok || !send.NotSent, Err: err}
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

// Prompt returns the canonical prompt into which a daemon converts the request, or nil if the request is invalid.
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

func readAPIError(resp *http.Response) error {
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
