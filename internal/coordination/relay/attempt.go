package relay

import (
	"context"
	"errors"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/guard"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// attempt is one try of a request on one engine.
type attempt struct {
	run        *run
	picked     Attempt
	started    time.Time
	firstToken time.Duration
	tokens     ident.Tokens
	// position is the end of the last chunk that came, delivered or dropped; valid once chunks is true.
	position ident.Tokens
	// chunks is true once a chunk came, running once any event came.
	chunks  bool
	running bool
	// waiting is when the wait for the next event began.
	waiting time.Time
}

// do asks the engine and delivers what comes until the answer is whole or fails.
func (a *attempt) do(ctx context.Context) (*extern.EngineDone, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	patience, retry := a.firstPatience(ctx)
	watchdog := time.AfterFunc(patience, func() {
		if !retry || a.run.prepay() {
			cancel(&silentError{after: patience})
		}
	})
	defer watchdog.Stop()

	req := a.run.req
	req.Priority, req.ImportBlocks = a.picked.Priority, a.picked.ImportBlocks
	stream, err := a.run.relay.Engine.Complete(ctx, a.picked.Upstream, a.picked.BaseURL, req)
	if err != nil {
		return nil, a.cause(ctx, err)
	}
	defer stream.Close()
	for {
		a.waiting = time.Now()
		event, err := stream.Next()
		if err != nil {
			return nil, a.cause(ctx, err)
		}
		if !watchdog.Stop() && ctx.Err() != nil {
			return nil, a.cause(ctx, ctx.Err())
		}
		switch event := event.(type) {
		case *extern.EngineChunk:
			if err := a.chunk(event); err != nil {
				return nil, err
			}
		case *extern.EngineDone:
			return a.end(event)
		}
		a.running = true
		watchdog.Reset(a.run.relay.interTokenTimeout())
	}
}

// firstPatience returns how long the attempt may wait for its first event. Where the request's deadline allows
// another attempt only if this one ends early, that is half of the time left, and retry is true.
func (a *attempt) firstPatience(ctx context.Context) (patience time.Duration, retry bool) {
	patience = a.run.relay.firstTokenTimeout()
	deadline, ok := ctx.Deadline()
	if !ok || a.run.idle >= a.run.relay.maxAttempts() {
		return patience, false
	}
	half := max(time.Until(deadline)/2, minFirstPatience)
	return min(patience, half), half < patience
}

// cause replaces the error of an attempt that the watchdog ended.
func (a *attempt) cause(ctx context.Context, err error) error {
	silent, ok := errors.AsType[*silentError](context.Cause(ctx))
	if !ok {
		return err
	}
	timeout := &TimeoutError{After: silent.after, BeforeFirstToken: true}
	if a.running {
		timeout = &TimeoutError{After: a.run.relay.interTokenTimeout()}
	}
	e := &extern.UpstreamError{Kind: extern.UpstreamTimeout, Upstream: a.picked.Upstream, Err: timeout}
	e.NotRun = isNotRun(err)
	return e
}

// chunk delivers a chunk, or drops it if the caller already has it.
func (a *attempt) chunk(c *extern.EngineChunk) error {
	s := a.run
	if c.Request != s.req.Request {
		return a.crossed(c.Request)
	}
	if c.Count == 0 && c.Text == "" {
		return nil
	}
	end := c.Index + c.Count
	if a.chunks && c.Index != a.position {
		return a.broken(&GapError{Want: a.position, Got: c.Index})
	}
	a.position, a.chunks = end, true
	switch {
	case c.Count <= 0 || c.Index > s.delivered:
		return a.broken(&GapError{Want: s.delivered, Got: c.Index})
	case end <= s.delivered:
		return nil
	case c.Index < s.delivered:
		return a.broken(&OverlapError{Want: s.delivered, First: c.Index, End: end})
	case end > s.req.MaxTokens:
		return a.broken(&OverrunError{Limit: s.req.MaxTokens})
	}
	if a.firstToken == 0 {
		a.firstToken = max(time.Since(a.started), 1)
		if a.picked.OnFirstToken != nil {
			a.picked.OnFirstToken()
		}
	}
	return a.deliver(c)
}

// deliver is the only place from which the caller gets tokens.
func (a *attempt) deliver(c *extern.EngineChunk) error {
	s := a.run
	if c.Index != s.delivered {
		guard.Check(false, guard.StreamWhole,
			"request %s: token %d delivered after %d tokens", s.req.Request, c.Index, s.delivered)
		return a.broken(&GapError{Want: s.delivered, Got: c.Index})
	}
	if c.Request != s.req.Request {
		guard.Check(false, guard.AnswerOwned, "request %s: tokens of request %s delivered", s.req.Request, c.Request)
		return a.crossed(c.Request)
	}
	if err := s.emit(c); err != nil {
		return &emitError{err: err}
	}
	a.tokens += c.Count
	if a.picked.OnTokens != nil {
		a.picked.OnTokens(a.tokens)
	}
	s.progress(c.Count)
	return nil
}

// end checks the last event of an answer.
func (a *attempt) end(done *extern.EngineDone) (*extern.EngineDone, error) {
	s := a.run
	if done.Request != s.req.Request {
		return nil, a.crossed(done.Request)
	}
	came := s.delivered
	if a.chunks {
		came = min(came, a.position)
	}
	if done.OutputTokens != came || came != s.delivered {
		return nil, a.broken(&LengthMismatchError{Received: came, Declared: done.OutputTokens})
	}
	return done, nil
}

func (a *attempt) broken(err error) error {
	return &extern.UpstreamError{Kind: extern.UpstreamBroken, Upstream: a.picked.Upstream, Err: err}
}

func (a *attempt) crossed(got ident.RequestID) error {
	err := &ResponseMismatchError{Want: a.run.req.Request, Got: got}
	return &extern.UpstreamError{Kind: extern.UpstreamResponseMismatch, Upstream: a.picked.Upstream, Err: err}
}

func (a *attempt) report(ctx context.Context, done *extern.EngineDone, err error) {
	report := AttemptResult{
		Err:       err,
		Cancelled: err != nil && a.cancelled(ctx, err),
		TTFT:      a.firstToken,
		Duration:  time.Since(a.started),
		Tokens:    a.tokens,
	}
	if done != nil {
		report.PromptTokens, report.CachedTokens = done.PromptTokens, done.CachedTokens
	}
	countAttempt(report)
	if a.picked.OnResult != nil {
		a.picked.OnResult(report)
	}
}

// cancelled reports whether the caller ended the attempt. A deadline that found the engine silent for long is the
// engine's failure; a short deadline is not.
func (a *attempt) cancelled(ctx context.Context, err error) bool {
	if _, ok := errors.AsType[*emitError](err); ok {
		return true
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return time.Since(a.waiting) < blamedSilence
	}
	return ctx.Err() != nil
}
