package plain

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/transport/httpc"
)

// KeyInPathError reports a call whose path contains the caller's key.
type KeyInPathError struct{}

func (e *KeyInPathError) Error() string { return "the path shows the caller's key" }

// ResponseMismatchError reports a response to another call.
type ResponseMismatchError struct {
	Want, Got ident.RequestID
}

func (e *ResponseMismatchError) Error() string {
	return fmt.Sprintf("an answer to call %s came for call %s", e.Got, e.Want)
}

// RequestTargetError reports a path or query that is not valid in a request line.
type RequestTargetError struct{}

func (e *RequestTargetError) Error() string {
	return "the path or query has a space or a control character"
}

// ResponseTimeoutError reports a service whose response did not begin in time.
type ResponseTimeoutError struct {
	After time.Duration
}

func (e *ResponseTimeoutError) Error() string { return fmt.Sprintf("no answer within %v", e.After) }

// send makes one attempt, which waits for the response header at most for headerTimeout, or as long as the call if that
// is 0. The error is an *extern.UpstreamError.
func (c *Client) send(ctx context.Context, r *Request, t Target, b *body, headerTimeout time.Duration) (*Response, error) {
	if headerTimeout == 0 {
		return c.exchange(ctx, r, t, b)
	}
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(headerTimeout, cancel)
	resp, err := c.exchange(ctx, r, t, b)
	if timer.Stop() {
		if err != nil {
			cancel()
			return nil, err
		}
		resp.Body = &cancelling{ReadCloser: resp.Body, cancel: cancel}
		return resp, nil
	}
	silent := &extern.UpstreamError{Kind: extern.UpstreamTimeout, Upstream: t.Upstream, Err: &ResponseTimeoutError{After: headerTimeout}}
	if err == nil {
		_ = resp.Body.Close()
		return nil, silent
	}
	up, ok := errors.AsType[*extern.UpstreamError](err)
	silent.NotRun = ok && up.NotRun
	return nil, silent
}

// cancelling is a body that cancels its context when it is closed.
type cancelling struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the body and cancels its context.
func (c *cancelling) Close() error {
	defer c.cancel()
	return c.ReadCloser.Close()
}

func (c *Client) exchange(ctx context.Context, r *Request, t Target, b *body) (*Response, error) {
	req, err := c.newRequest(ctx, r, t, b)
	if err != nil {
		return nil, &extern.UpstreamError{Kind: extern.UpstreamRejected, Upstream: t.Upstream, NotRun: true, Err: err}
	}
	resp, err := c.Pool.Do(req)
	if err != nil {
		return nil, httpc.AsUpstreamError(t.Upstream, err)
	}
	if got := ident.RequestID(resp.Header.Get(headerRequestID)); got != "" && got != r.ID {
		_ = resp.Body.Close()
		crossed := &ResponseMismatchError{Want: r.ID, Got: got}
		return nil, &extern.UpstreamError{Kind: extern.UpstreamResponseMismatch, Upstream: t.Upstream, Err: crossed}
	}
	notRun := resp.StatusCode >= http.StatusBadRequest && resp.Header.Get(headerNotRun) == "true"
	return &Response{
		Upstream: t.Upstream,
		Status:   resp.StatusCode,
		Header:   responseHeader(resp.Header),
		Body:     resp.Body,
		NotRun:   notRun,
	}, nil
}

func (c *Client) newRequest(ctx context.Context, r *Request, t Target, b *body) (*http.Request, error) {
	if r.CallerKey != "" && showsKey(r.Path, r.CallerKey) {
		return nil, &KeyInPathError{}
	}
	if strings.ContainsFunc(r.Path+r.RawQuery, unsafeInTarget) {
		return nil, &RequestTargetError{}
	}
	target := t.BaseURL + r.Path
	if query := strippedQuery(r.RawQuery, r.CallerKey); query != "" {
		target += "?" + query
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, target, b.reader())
	if err != nil {
		return nil, err
	}
	req.ContentLength = b.length
	req.Header = forwarded(r.Header, r.CallerKey)
	if req.Header.Get("User-Agent") == "" {
		req.Header.Set("User-Agent", "")
	}
	req.Header.Set(headerRequestID, string(r.ID))
	if r.Route != "" {
		req.Header.Set(headerRoute, string(r.Route))
	}
	if r.Organisation != "" {
		req.Header.Set(headerOrganisation, string(r.Organisation))
	}
	if c.Credential != nil {
		httpc.SetBearer(req.Header, c.Credential(t.BaseURL))
	}
	if b.empty() && (r.Idempotent || !replayedByTransport(req)) {
		req.Body = http.NoBody
	}
	if !checkStripped(req, r.CallerKey) {
		return nil, &KeyInPathError{}
	}
	return req, nil
}

func unsafeInTarget(c rune) bool { return c <= ' ' || c == 0x7f }

// replayedByTransport reports whether net/http may resend a request without a body on its own.
func replayedByTransport(req *http.Request) bool {
	switch req.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	default:
		return req.Header.Get("Idempotency-Key") != "" || req.Header.Get("X-Idempotency-Key") != ""
	}
}
