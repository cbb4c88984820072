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

// KeyInPathError reports a request that would show the caller's key to the service, normally in its path, from which the
// key can't be removed.
type KeyInPathError struct{}

func (e *KeyInPathError) Error() string { return "request path contains the caller's key" }

// ResponseMismatchError reports a response that carries the ID of another request.
type ResponseMismatchError struct {
	Want, Got ident.RequestID
}

func (e *ResponseMismatchError) Error() string {
	return fmt.Sprintf("got the response to request %s for request %s", e.Got, e.Want)
}

// RequestTargetError reports a path or query that is not valid in a request line.
type RequestTargetError struct{}

func (e *RequestTargetError) Error() string {
	return "path or query contains a space or a control character"
}

// ResponseTimeoutError reports that a response's header did not arrive in time.
type ResponseTimeoutError struct {
	After time.Duration
}

func (e *ResponseTimeoutError) Error() string {
	return fmt.Sprintf("no response header within %v", e.After)
}

// send makes one attempt. It waits for the response's header for up to headerTimeout; 0 means until ctx ends.
// The error is an *extern.UpstreamError.
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
		resp.Body = &cancelOnClose{ReadCloser: resp.Body, cancel: cancel}
		return resp, nil
	}
	timeoutErr := &extern.UpstreamError{Kind: extern.UpstreamTimeout, Upstream: t.Upstream, Err: &ResponseTimeoutError{After: headerTimeout}}
	if err == nil {
		_ = resp.Body.Close()
		return nil, timeoutErr
	}
	up, ok := errors.AsType[*extern.UpstreamError](err)
	timeoutErr.NotRun = ok && up.NotRun
	return nil, timeoutErr
}

// cancelOnClose is a response body that cancels its request's context when it is closed.
type cancelOnClose struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the body and cancels the request's context.
func (c *cancelOnClose) Close() error {
	defer c.cancel()
	return c.ReadCloser.Close()
}

// exchange sends the request and waits for the response's header until ctx ends. It rejects a response to another request, and closes its
// connection, on which the service may be at work on this one.
func (c *Client) exchange(ctx context.Context, r *Request, t Target, b *body) (*Response, error) {
	req, err := c.newRequest(ctx, r, t, b)
	if err != nil {
		return nil, &extern.UpstreamError{Kind: extern.UpstreamRejected, Upstream: t.Upstream, NotRun: true, Err: err}
	}
	resp, err := c.Pool.DoHeld(req)
	if err != nil {
		return nil, httpc.AsUpstreamError(t.Upstream, err)
	}
	notRun := resp.StatusCode >= http.StatusBadRequest && resp.Header.Get(headerNotRun) == "true"
	got := ident.RequestID(resp.Header.Get(headerRequestID))
	if !isOwnResponse(resp, r.ID, got, notRun) {
		httpc.Retire(resp)
		_ = resp.Body.Close()
		mismatch := &ResponseMismatchError{Want: r.ID, Got: got}
		return nil, &extern.UpstreamError{Kind: extern.UpstreamResponseMismatch, Upstream: t.Upstream, Err: mismatch}
	}
	httpc.Release(resp)
	return &Response{
		Upstream: t.Upstream,
		Status:   resp.StatusCode,
		Header:   callerHeader(resp.Header),
		Body:     resp.Body,
		NotRun:   notRun,
	}, nil
}

// isOwnResponse reports whether a response with the ID got, empty for none, answers request id. A service may send an earlier rejection once
// more on a kept connection: without an ID, or with that of this request if it was rejected there before.
func isOwnResponse(resp *http.Response, id, got ident.RequestID, notRun bool) bool {
	switch {
	case got != "" && got != id:
		return false
	case !notRun:
		return true
	case got == "":
		return httpc.IsFirst(resp)
	default:
		return httpc.NoteOnce(resp, string(got))
	}
}

// newRequest returns the HTTP request for the service, without the caller's key.
func (c *Client) newRequest(ctx context.Context, r *Request, t Target, b *body) (*http.Request, error) {
	if r.CallerKey != "" && urlContainsKey(r.Path, r.CallerKey) {
		return nil, &KeyInPathError{}
	}
	if strings.ContainsFunc(r.Path+r.RawQuery, isInvalidInTarget) {
		return nil, &RequestTargetError{}
	}
	target := t.BaseURL + r.Path
	if query := queryWithoutKey(r.RawQuery, r.CallerKey); query != "" {
		target += "?" + query
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, target, b.reader())
	if err != nil {
		return nil, err
	}
	req.ContentLength = b.contentLength
	req.Header = upstreamHeader(r.Header, r.CallerKey)
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
	if b.empty() && (r.Idempotent || !isReplayedByTransport(req)) {
		req.Body = http.NoBody
	}
	if !checkKeyStripped(req, r.CallerKey) {
		return nil, &KeyInPathError{}
	}
	return req, nil
}

func isInvalidInTarget(c rune) bool { return c <= ' ' || c == 0x7f }

// isReplayedByTransport reports whether net/http may by itself resend a request that has no body. Such a request, unless it
// is idempotent, keeps a body that net/http can't resend.
func isReplayedByTransport(req *http.Request) bool {
	switch req.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	default:
		return req.Header.Get("Idempotency-Key") != "" || req.Header.Get("X-Idempotency-Key") != ""
	}
}
