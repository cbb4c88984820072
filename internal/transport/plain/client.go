// Package plain is the HTTP client of plain services, which are upstreams that run no model. It forwards calls of any
// method, and retries a call only if it is idempotent or can't have run.
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

// Request is a caller's call to a plain service.
type Request struct {
	ID           ident.RequestID
	Route        ident.RouteID
	Organisation ident.OrganisationID
	Method       string
	// Path is the escaped path at the service, beginning with a slash; RawQuery follows the question mark.
	Path, RawQuery string
	// Header is the caller's header as received.
	Header http.Header
	// Body is nil if there is none. ContentLength is negative if it is not known.
	Body          io.Reader
	ContentLength int64
	// CallerKey is the key that the caller sent. It must not be forwarded to an upstream.
	CallerKey string
	// Idempotent calls may run more than once.
	Idempotent bool
}

// Target is a plain service to send to.
type Target struct {
	Upstream ident.UpstreamID
	BaseURL  string
	// Report is called once when the response header has arrived or the attempt has failed; it may be nil.
	Report func(Outcome)
}

// Outcome is how an attempt ended.
type Outcome struct {
	// Err is nil if there was a response.
	Err error
	// Status is that of the response, 0 without one.
	Status int
	// Cancelled is true if the attempt ended because of the caller; it says nothing about the service then.
	Cancelled bool
	Duration  time.Duration
}

// Picker chooses the service for the next attempt. Services in tried have failed this call.
type Picker interface {
	Pick(ctx context.Context, tried []ident.UpstreamID) (Target, error)
}

// RetryBudget bounds retries; see relay.RetryBudget.
type RetryBudget interface {
	Deposit()
	TryWithdraw() bool
}

// Client sends calls to plain services. It is safe for use by several goroutines.
type Client struct {
	// Credential returns the bearer token for a base URL, empty for none; nil sends none.
	Credential func(baseURL string) string
	// RetryBudget bounds retries of calls that may have run; nil is no bound.
	RetryBudget RetryBudget
	// MaxAttempts bounds the attempts of one call; 0 is three.
	MaxAttempts int
	// MaxBodyBytes bounds request bodies; 0 is 16 MiB. Bodies up to MaxReplayBytes are held in memory, so that
	// they can be sent again; 0 is 1 MiB.
	MaxBodyBytes, MaxReplayBytes int64
	// Pool holds the connections.
	Pool httpc.Pool
}

// Response is the response of a plain service. The caller must close the body; an error in reading it means that the
// response is incomplete.
type Response struct {
	Upstream ident.UpstreamID
	Status   int
	Header   http.Header
	Body     io.ReadCloser
	// NotRun is true if the service says that the call had no effect.
	NotRun bool
}

// Do sends a call to the picked services until one responds and no retry is due. The error is an *extern.UpstreamError,
// whose NotRun covers all attempts, a *BodyTooLargeError, a *BodyReadError, or that of the picker if there was no
// attempt.
func (c *Client) Do(ctx context.Context, req *Request, picker Picker) (*Response, error) {
	if c.RetryBudget != nil {
		c.RetryBudget.Deposit()
	}
	b, err := newBody(req.Body, req.ContentLength, orDefault(c.MaxBodyBytes, defaultMaxBodyBytes),
		orDefault(c.MaxReplayBytes, defaultMaxReplayBytes))
	if err != nil {
		return nil, err
	}
	s := call{client: c, req: req, body: b}
	for {
		resp, err := s.once(ctx, picker)
		if !s.again(ctx, resp, err) {
			return s.outcome(resp, err)
		}
		if resp != nil {
			_ = resp.Body.Close()
		}
	}
}

// Close closes the idle connections.
func (c *Client) Close() error { return c.Pool.Close() }

// call is the state of one call over its attempts.
type call struct {
	client *Client
	req    *Request
	body   *body
	tried  []ident.UpstreamID
	// ran is true once an attempt may have run; last is the failure of the last attempt.
	ran  bool
	last *extern.UpstreamError
}

// pickError reports that the picker returned no service.
type pickError struct {
	err error
}

func (e *pickError) Error() string { return fmt.Sprintf("no service: %v", e.err) }

func (e *pickError) Unwrap() error { return e.err }

func (s *call) once(ctx context.Context, picker Picker) (*Response, error) {
	target, err := picker.Pick(ctx, s.tried)
	if err != nil {
		return nil, &pickError{err: err}
	}
	if !guard.Check(s.req.Idempotent || !s.ran, guard.AtMostOnce,
		"call %s is not idempotent and would be sent again", s.req.ID) {
		return nil, s.last
	}
	s.tried = append(s.tried, target.Upstream)
	started := time.Now()
	resp, err := s.client.send(ctx, s.req, target, s.body, s.headerTimeout(ctx))
	s.report(ctx, target, started, resp, err)
	if err != nil {
		s.last = asUpstreamError(target.Upstream, err)
		s.ran = s.ran || !s.last.NotRun
		return nil, s.last
	}
	s.ran = s.ran || !resp.NotRun
	if resp.NotRun {
		s.last = refused(target.Upstream, resp)
	}
	return resp, nil
}

// headerTimeout returns how long the attempt may wait for the response header, 0 for as long as the call itself. For a
// call that may be repeated it is half of the time to the deadline, so that a silent service leaves time for another.
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
	outcome.Cancelled = err != nil && (isCallers(err) || endedByCaller(ctx, outcome.Duration))
	if resp != nil {
		outcome.Status = resp.Status
	}
	target.Report(outcome)
}

// endedByCaller reports whether the caller ended an attempt. A deadline after a long silence of the service counts as
// the service's failure.
func endedByCaller(ctx context.Context, silence time.Duration) bool {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return silence < serviceFaultSilence
	}
	return ctx.Err() != nil
}

// refused returns the failure for a response that says that nothing ran.
func refused(upstream ident.UpstreamID, resp *Response) *extern.UpstreamError {
	return &extern.UpstreamError{
		Kind:       httpc.StatusErrorKind(resp.Status),
		Upstream:   upstream,
		NotRun:     true,
		RetryAfter: httpc.RetryAfter(resp.Header),
		Err:        &httpc.StatusError{Status: resp.Status},
	}
}

// isCallers reports whether the attempt failed because of the caller's body.
func isCallers(err error) bool {
	var read *BodyReadError
	var large *BodyTooLargeError
	return errors.As(err, &read) || errors.As(err, &large)
}

// again reports whether the call may be retried after an attempt.
func (s *call) again(ctx context.Context, resp *Response, err error) bool {
	var picked *pickError
	if errors.As(err, &picked) || isCallers(err) || ctx.Err() != nil {
		return false
	}
	if resp != nil && !resp.NotRun && !retryable(resp.Status) {
		return false
	}
	if len(s.tried) >= orDefault(s.client.MaxAttempts, defaultMaxAttempts) || !s.body.replayable() {
		return false
	}
	if !s.ran {
		return true
	}
	return s.req.Idempotent && (s.client.RetryBudget == nil || s.client.RetryBudget.TryWithdraw())
}

// outcome returns the last response or failure. A failure says "not run" only if no attempt can have run.
func (s *call) outcome(resp *Response, err error) (*Response, error) {
	if err == nil {
		resp.NotRun = resp.NotRun && !s.ran
		return resp, nil
	}
	if s.last == nil {
		return nil, err
	}
	failure := *s.last
	failure.NotRun = !s.ran
	return nil, &failure
}

// retryable reports whether an idempotent call that got the status is worth another attempt.
func retryable(status int) bool {
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
