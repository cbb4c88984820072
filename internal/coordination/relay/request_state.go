package relay

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/guard"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/prefix"
)

// requestState is the state of one request over its attempts.
type requestState struct {
	relay              *Relay
	req                extern.EngineRequest
	emit               func(*extern.EngineChunk) error
	delivered          ident.Tokens
	attempts           int
	attemptsSinceToken int // attempts since the last delivered token
	partialAttempts    int // attempts that delivered tokens
	mayHaveRun         bool
	// retryPrepaid is true if the retry after the current attempt has already been taken from the budget.
	retryPrepaid   atomic.Bool
	triedUpstreams []ident.UpstreamID
	resumeBackoff  *backoff.ExponentialBackOff
	resumeDeadline time.Time
}

// attemptOnce picks an engine and makes one attempt.
func (s *requestState) attemptOnce(ctx context.Context) (*extern.EngineDone, error) {
	s.req.ResumeFrom = s.delivered
	picked, err := s.relay.Picker.Pick(ctx, &s.req, s.triedUpstreams)
	if err != nil {
		return nil, &pickError{err: err}
	}
	if err = s.pinVersion(picked.Version); err != nil {
		if picked.OnResult != nil {
			picked.OnResult(AttemptResult{Err: err, Cancelled: true})
		}
		return nil, &pickError{err: err}
	}
	s.attempts++
	s.attemptsSinceToken++
	s.triedUpstreams = append(s.triedUpstreams, picked.Upstream)
	now := time.Now()
	a := attempt{state: s, picked: picked, started: now, waitingSince: now}
	done, err := a.execute(ctx)
	a.reportResult(ctx, done, err)
	s.mayHaveRun = s.mayHaveRun || !isNotRun(err)
	if a.deliveredTokens > 0 {
		s.partialAttempts++
	}
	return done, err
}

// pinVersion sets the request's version to that of the picked engine; a *VersionMismatchError if tokens of another
// version were delivered.
func (s *requestState) pinVersion(version ident.VersionID) error {
	if version == "" || version == s.req.Version {
		return nil
	}
	if s.delivered > 0 {
		return &VersionMismatchError{Want: s.req.Version, Got: version}
	}
	s.req.Version = version
	return nil
}

// recordDelivered counts tokens that were delivered and resets the limits on attempts without a token.
func (s *requestState) recordDelivered(n ident.Tokens) {
	s.delivered += n
	s.attemptsSinceToken = 0
	s.resumeBackoff = nil
}

// lengthLimitDone returns the last event of an answer that has all its tokens but lost that event.
func (s *requestState) lengthLimitDone() *extern.EngineDone {
	return &extern.EngineDone{
		Request:      s.req.Request,
		FinishReason: finishReasonLength,
		PromptTokens: prefix.TokensOf(s.req.Prompt),
		OutputTokens: s.delivered,
	}
}

func (s *requestState) newRunError(reason Reason, err error) *RunError {
	e := &RunError{Reason: reason, Delivered: s.delivered, NotRun: !s.mayHaveRun, Attempts: s.attempts, Err: err}
	if up, ok := errors.AsType[*extern.UpstreamError](err); ok {
		e.RetryAfter = up.RetryAfter
	}
	guard.Check(!e.NotRun || s.delivered == 0, guard.NotRunTrue,
		"request %s: said not to have run after %d tokens", s.req.Request, s.delivered)
	countFailure(e)
	return e
}

func isNotRun(err error) bool {
	up, ok := errors.AsType[*extern.UpstreamError](err)
	return ok && up.NotRun
}

func isRejected(err error) bool {
	up, ok := errors.AsType[*extern.UpstreamError](err)
	return ok && up.Kind == extern.UpstreamRejected
}
