package relay

import (
	"context"
	"errors"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/guard"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// attempt is the state of one attempt of a request on one engine.
type attempt struct {
	state           *requestState
	picked          Attempt
	started         time.Time
	ttft            time.Duration
	deliveredTokens ident.Tokens
	// nextIndex is the end of the last chunk received, delivered or dropped; valid once gotChunk is true.
	nextIndex ident.Tokens
	// gotChunk is true once a chunk was received, gotEvent once any event was.
	gotChunk bool
	gotEvent bool
	// waitingSince is when the wait for the next event began.
	waitingSince time.Time
}

// execute sends the request to the engine and delivers chunks until the answer is complete or the attempt fails. A
// watchdog cancels the attempt when the next event takes too long and another attempt can follow.
func (a *attempt) execute(ctx context.Context) (*extern.EngineDone, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	w := a.newWatchdog(ctx, cancel)
	timer := time.AfterFunc(w.firstEventTimeout, func() { w.handleSilence(ctx) })
	defer timer.Stop()

	req := a.state.req
	req.Priority, req.ImportBlocks = a.picked.Priority, a.picked.ImportBlocks
	stream, err := a.state.relay.Engine.Complete(ctx, a.picked.Upstream, a.picked.BaseURL, req)
	if err != nil {
		return nil, a.attemptError(ctx, err)
	}
	defer stream.Close()
	for {
		a.waitingSince = time.Now()
		event, err := stream.Next()
		if err != nil {
			return nil, a.attemptError(ctx, err)
		}
		if !timer.Stop() && ctx.Err() != nil {
			return nil, a.attemptError(ctx, ctx.Err())
		}
		switch event := event.(type) {
		case *extern.EngineChunk:
			if err := a.handleChunk(event); err != nil {
				return nil, err
			}
		case *extern.EngineDone:
			return a.handleDone(event)
		}
		a.gotEvent = true
		w.record(a.state.delivered)
		timer.Reset(a.state.relay.interTokenTimeout())
	}
}

// firstEventTimeout returns how long the attempt may wait for its first event. If the request's deadline leaves time
// for another attempt only when this one ends early, it is half of the remaining time.
func (a *attempt) firstEventTimeout(ctx context.Context) time.Duration {
	timeout := a.state.relay.firstTokenTimeout()
	deadline, ok := ctx.Deadline()
	if !ok || a.state.attemptsSinceToken >= a.state.relay.maxAttempts() {
		return timeout
	}
	return min(timeout, max(time.Until(deadline)/2, minFirstEventTimeout))
}

// attemptError returns err, or a TimeoutError if the watchdog cancelled the attempt.
func (a *attempt) attemptError(ctx context.Context, err error) error {
	timedOut, ok := errors.AsType[*watchdogError](context.Cause(ctx))
	if !ok {
		return err
	}
	timeout := &TimeoutError{After: timedOut.after, BeforeFirstToken: true}
	if a.gotEvent {
		timeout = &TimeoutError{After: timedOut.after}
	}
	e := &extern.UpstreamError{Kind: extern.UpstreamTimeout, Upstream: a.picked.Upstream, Err: timeout}
	e.NotRun = isNotRun(err)
	return e
}

// handleChunk delivers a chunk, or drops it if the caller already has its tokens. A chunk with a gap, a partial
// repetition or more tokens than requested fails the attempt.
func (a *attempt) handleChunk(c *extern.EngineChunk) error {
	s := a.state
	if c.Request != s.req.Request {
		return a.mismatchError(c.Request)
	}
	if c.Count == 0 && c.Text == "" {
		return nil
	}
	end := c.Index + c.Count
	if a.gotChunk && c.Index != a.nextIndex {
		return a.brokenError(&GapError{Want: a.nextIndex, Got: c.Index})
	}
	a.nextIndex, a.gotChunk = end, true
	switch {
	case c.Count <= 0 || c.Index > s.delivered:
		return a.brokenError(&GapError{Want: s.delivered, Got: c.Index})
	case end <= s.delivered:
		return nil
	case c.Index < s.delivered:
		return a.brokenError(&OverlapError{Want: s.delivered, First: c.Index, End: end})
	case end > s.req.MaxTokens:
		return a.brokenError(&OverrunError{Limit: s.req.MaxTokens})
	}
	if a.ttft == 0 {
		a.ttft = max(time.Since(a.started), 1)
		if a.picked.OnFirstToken != nil {
			a.picked.OnFirstToken()
		}
	}
	return a.deliver(c)
}

// deliver is the only place that passes tokens to the caller. It checks the order of the tokens and the request's
// identity again, as invariants.
func (a *attempt) deliver(c *extern.EngineChunk) error {
	s := a.state
	if c.Index != s.delivered {
		guard.Check(false, guard.StreamWhole,
			"request %s: token %d delivered after %d tokens", s.req.Request, c.Index, s.delivered)
		return a.brokenError(&GapError{Want: s.delivered, Got: c.Index})
	}
	if c.Request != s.req.Request {
		guard.Check(false, guard.AnswerOwned, "request %s: tokens of request %s delivered", s.req.Request, c.Request)
		return a.mismatchError(c.Request)
	}
	if err := s.emit(c); err != nil {
		return &emitError{err: err}
	}
	a.deliveredTokens += c.Count
	if a.picked.OnTokens != nil {
		a.picked.OnTokens(a.deliveredTokens)
	}
	s.recordDelivered(c.Count)
	return nil
}

// handleDone checks the last event of an answer against the tokens received.
func (a *attempt) handleDone(done *extern.EngineDone) (*extern.EngineDone, error) {
	s := a.state
	if done.Request != s.req.Request {
		return nil, a.mismatchError(done.Request)
	}
	received := s.delivered
	if a.gotChunk {
		received = min(received, a.nextIndex)
	}
	if done.OutputTokens != received || received != s.delivered {
		return nil, a.brokenError(&LengthMismatchError{Received: received, Declared: done.OutputTokens})
	}
	return done, nil
}

func (a *attempt) brokenError(err error) error {
	return &extern.UpstreamError{Kind: extern.UpstreamBroken, Upstream: a.picked.Upstream, Err: err}
}

func (a *attempt) mismatchError(got ident.RequestID) error {
	err := &ResponseMismatchError{Want: a.state.req.Request, Got: got}
	return &extern.UpstreamError{Kind: extern.UpstreamResponseMismatch, Upstream: a.picked.Upstream, Err: err}
}

func (a *attempt) reportResult(ctx context.Context, done *extern.EngineDone, err error) {
	result := AttemptResult{
		Err:       err,
		Cancelled: err != nil && a.cancelled(ctx, err),
		TTFT:      a.ttft,
		Duration:  time.Since(a.started),
		Tokens:    a.deliveredTokens,
	}
	if done != nil {
		result.PromptTokens, result.CachedTokens = done.PromptTokens, done.CachedTokens
	}
	countAttempt(result)
	if a.picked.OnResult != nil {
		a.picked.OnResult(result)
	}
}

// cancelled reports whether the caller, not a failure of the engine, ended the attempt. At a deadline, a silence of
// engineFaultSilence or longer counts as the engine's failure.
func (a *attempt) cancelled(ctx context.Context, err error) bool {
	if _, ok := errors.AsType[*emitError](err); ok {
		return true
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return time.Since(a.waitingSince) < engineFaultSilence
	}
	return ctx.Err() != nil
}
