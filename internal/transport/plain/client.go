// Package plain sends requests to plain services, which are upstreams that run no model, over HTTP. It removes the caller's
// key from each request, and retries a request only if it is idempotent or if no attempt can have run.
package plain

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/guard"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/transport/httpc"
)

// Request is a caller's request to a plain service.
type Request struct {
	ID           ident.RequestID
	Route        ident.RouteID
	Organisation ident.OrganisationID
	Method       string
	// Path is the escaped path at the service and begins with a slash; RawQuery is the query without the question mark.
	Path, RawQuery string
	// Header is the caller's header as received.
	Header http.Header
	// Buffered is the whole body if it was read before; otherwise Body is read, which is nil if there is none. ContentLength is in bytes; negative means
	// unknown.
	Buffered      []byte
	Body          io.Reader
	ContentLength int64
	// CallerKey is the key that the caller presented, empty for none. It must not reach any upstream.
	CallerKey string
	// Idempotent is true if the request may run more than once.
	Idempotent bool
}

// Target is the plain service that an attempt is sent to.
type Target struct {
	Upstream ident.UpstreamID
	BaseURL  string
	// Report, unless nil, is called once, when the response's header has arrived or the attempt has failed.
	Report func(Outcome)
}

// Outcome is the result of an attempt.
type Outcome struct {
	// Err is nil if there was a response.
	Err error
	// Status is the HTTP status of the response, 0 if there was none.
	Status int
	// Cancelled is true if the attempt ended because of the caller. The outcome then says nothing about the service's health.
	Cancelled bool
	Duration  time.Duration
}

// Picker chooses the service for the next attempt. tried lists the services of this request's earlier attempts.
type Picker interface {
	Pick(ctx context.Context, tried []ident.UpstreamID) (Target, error)
}

// RetryBudget bounds retries to a share of requests: each request deposits, each retry withdraws. See relay.RetryBudget.
type RetryBudget interface {
	Deposit()
	TryWithdraw() bool
}

// Client sends requests to plain services. It is safe for concurrent use.
type Client struct {
	// Credential returns the bearer token for a base URL, or an empty string for none. A nil Credential sends none.
	Credential func(baseURL string) string
	// RetryBudget bounds retries of requests that may have run; nil means no bound.
	RetryBudget RetryBudget
	// MaxAttempts bounds the attempts of one request; 0 means 3.
	MaxAttempts int
	// MaxBodyBytes bounds request bodies; 0 means 16 MiB. Bodies of up to MaxReplayBytes are buffered in memory, so that they
	// can be sent again; 0 means 1 MiB.
	MaxBodyBytes, MaxReplayBytes int64
	// Pool holds the connections to services.
	Pool httpc.Pool
}

// Response is the response of a plain service. The receiver must close Body. An error from reading Body means that the
// response is truncated.
type Response struct {
	Upstream ident.UpstreamID
	Status   int
	Header   http.Header
	Body     io.ReadCloser
	// NotRun is true if the service says that the request had no effect, and no earlier attempt may have run.
	NotRun bool
}

// Do sends a request to the picked services until one responds or no retry is allowed. The error is an
// *extern.UpstreamError whose NotRun covers all attempts, a *BodyTooLargeError, a *BodyReadError, or wraps the error of the
// picker if there was no attempt.
func (c *Client) Do(ctx context.Context, req *Request, picker Picker) (*Response, error) {
	if c.RetryBudget != nil {
		c.RetryBudget.Deposit()
	}
	b, err := req.newBody(orDefault(c.MaxBodyBytes, defaultMaxBodyBytes), orDefault(c.MaxReplayBytes, defaultMaxReplayBytes))
	if err != nil {
		return nil, err
	}
	s := call{client: c, req: req, body: b}
	for {
		resp, err := s.attempt(ctx, picker)
		if !s.shouldRetry(ctx, resp, err) {
			return s.result(resp, err)
		}
		if resp != nil {
			_ = resp.Body.Close()
		}
	}
}

// Close closes the idle connections.
func (c *Client) Close() error { return c.Pool.Close() }

// call is the state of one request across its attempts.
type call struct {
	client *Client
	req    *Request
	body   *body
	tried  []ident.UpstreamID
	// mayHaveRun is true once any attempt may have run. lastErr is the failure of the last failed attempt.
	mayHaveRun bool
	lastErr    *extern.UpstreamError
}

// pickError reports that the picker returned no service.
type pickError struct {
	err error
}

func (e *pickError) Error() string { return fmt.Sprintf("pick a service: %v", e.err) }

func (e *pickError) Unwrap() error { return e.err }

// attempt picks a service and sends the request to it once. It refuses to send a request that is not idempotent and may
// have run already.
func (s *call) attempt(ctx context.Context, picker Picker) (*Response, error) {
	target, err := picker.Pick(ctx, s.tried)
	if err != nil {
		return nil, &pickError{err: err}
	}
	if !guard.Check(s.req.Idempotent || !s.mayHaveRun, guard.AtMostOnce,
		"request %s is not idempotent, may have run and would be sent again", s.req.ID) {
		return nil, s.lastErr
	}
	s.tried = append(s.tried, target.Upstream)
	started := time.Now()
	resp, err := s.client.send(ctx, s.req, target, s.body, s.headerTimeout(ctx))
	s.report(ctx, target, started, resp, err)
	if err != nil {
		s.lastErr = asUpstreamError(target.Upstream, err)
		s.mayHaveRun = s.mayHaveRun || !s.lastErr.NotRun
		return nil, s.lastErr
	}
	s.mayHaveRun = s.mayHaveRun || !resp.NotRun
	if resp.NotRun {
		s.lastErr = notRunError(target.Upstream, resp)
	}
	return resp, nil
}

// headerTimeout returns how long the attempt may wait for the response's header; 0 means until the request's deadline. For
// an idempotent request with attempts left it is half of the time until the deadline, so that an unresponsive service leaves
// time for an attempt at another.
func (s *call) headerTimeout(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok || !s.req.Idempotent || len(s.tried) >= orDefault(s.client.MaxAttempts, defaultMaxAttempts) {
		return 0
	}
	return max(time.Until(deadline)/2, minHeaderTimeout)
}

func (s *call) report(ctx context.Context, target Target, started time.Time, resp *Response, err error) {
	if target.Report == nil {
		return
	}
	outcome := Outcome{Err: err, Duration: time.Since(started)}
	outcome.Cancelled = err != nil && (isCallerBodyError(err) || endedByCaller(ctx, outcome.Duration))
	if resp != nil {
		outcome.Status = resp.Status
	}
	target.Report(outcome)
}

// endedByCaller reports whether the caller ended a failed attempt. A deadline that passes after the attempt has waited for
// upstreamTimeoutThreshold or longer counts as the service's failure instead.
func endedByCaller(ctx context.Context, waited time.Duration) bool {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return waited < upstreamTimeoutThreshold
	}
	return ctx.Err() != nil
}

// notRunError converts a response that says "not run" to an error.
func notRunError(upstream ident.UpstreamID, resp *Response) *extern.UpstreamError {
	return &extern.UpstreamError{
		Kind:       httpc.StatusErrorKind(resp.Status),
		Upstream:   upstream,
		NotRun:     true,
		RetryAfter: httpc.RetryAfter(resp.Header),
		Err:        &httpc.StatusError{Status: resp.Status},
	}
}

// isCallerBodyError reports whether the caller's request body caused the failure.
func isCallerBodyError(err error) bool {
	var read *BodyReadError
	var large *BodyTooLargeError
	return errors.As(err, &read) || errors.As(err, &large)
}

// shouldRetry reports whether the request may be sent again after an attempt. Retries of a request that may have run need
// idempotency and a withdrawal from the retry budget.
func (s *call) shouldRetry(ctx context.Context, resp *Response, err error) bool {
	var picked *pickError
	if errors.As(err, &picked) || isCallerBodyError(err) || ctx.Err() != nil {
		return false
	}
	if resp != nil && !resp.NotRun && !isRetryableStatus(resp.Status) {
		return false
	}
	if len(s.tried) >= orDefault(s.client.MaxAttempts, defaultMaxAttempts) || !s.body.replayable() {
		return false
	}
	if !s.mayHaveRun {
		return true
	}
	return s.req.Idempotent && (s.client.RetryBudget == nil || s.client.RetryBudget.TryWithdraw())
}

// result returns the last response or failure. Its NotRun is true only if no attempt can have run.
func (s *call) result(resp *Response, err error) (*Response, error) {
	if err == nil {
		resp.NotRun = resp.NotRun && !s.mayHaveRun
		return resp, nil
	}
	if s.lastErr == nil {
		return nil, err
	}
	failure := *s.lastErr
	failure.NotRun = !s.mayHaveRun
	return nil, &failure
}

// isRetryableStatus reports whether a response status justifies another attempt of an idempotent request.
func isRetryableStatus(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

func asUpstreamError(upstream ident.UpstreamID, err error) *extern.UpstreamError {
	var up *extern.UpstreamError
	if errors.As(err, &up) {
		return up
	}
	return &extern.UpstreamError{Kind: extern.UpstreamBroken, Upstream: upstream, Err: err}
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}
