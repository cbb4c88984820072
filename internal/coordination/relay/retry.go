package relay

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/gooseberryway/gooseberryway/internal/state/scope"
)

// stopReason returns why the request ends after a failure; empty if another attempt may be made.
func (s *requestState) stopReason(ctx context.Context, err error) Reason {
	if _, ok := errors.AsType[*emitError](err); ok {
		return ReasonCaller
	}
	if ctx.Err() != nil {
		return contextReason(ctx.Err())
	}
	if _, ok := errors.AsType[*pickError](err); ok {
		if s.delivered == 0 {
			return ReasonNoEngine
		}
		return ""
	}
	return s.stopReasonAfterAttempt(ctx, err)
}

// stopReasonAfterAttempt returns why the request ends after a failed attempt; empty if another one may be made.
func (s *requestState) stopReasonAfterAttempt(ctx context.Context, err error) Reason {
	if s.delivered > 0 {
		return s.stopReasonInterrupted(err)
	}
	notRun := isNotRun(err)
	switch {
	case isRejected(err) && (!notRun || s.attemptsSinceToken > 1):
		return ReasonRejected
	case s.attemptsSinceToken >= s.relay.maxAttempts():
		return ReasonAttempts
	case s.retryPrepaid.Swap(false) || notRun || s.waitForRetryBudget(ctx):
		return ""
	case ctx.Err() != nil:
		return contextReason(ctx.Err())
	default:
		return ReasonBudget
	}
}

// waitForRetryBudget takes a retry from the budget and reports whether it got one. It waits up to MaxRetryWait, since
// a burst of failures soon ends.
func (s *requestState) waitForRetryBudget(ctx context.Context) bool {
	if s.withdrawRetry() {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, orDefault(s.relay.MaxRetryWait, defaultMaxRetryWait))
	defer cancel()
	retryBackoff := newBackoff()
	for scope.Sleep(ctx, retryBackoff.NextBackOff()) {
		if s.withdrawRetry() {
			return true
		}
	}
	return false
}

func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = backoffInitial, backoffMax
	return b
}

// withdrawRetry takes a retry from the budget and reports whether there was one.
func (s *requestState) withdrawRetry() bool {
	return s.relay.RetryBudget == nil || s.relay.RetryBudget.TryWithdraw()
}

// prepayRetry takes the retry for an attempt that is about to be given up and reports whether there was one. If there
// is none, the attempt goes on.
func (s *requestState) prepayRetry() bool {
	ok := s.withdrawRetry()
	s.retryPrepaid.Store(ok)
	return ok
}

// stopReasonInterrupted returns why an interrupted answer ends after a failed attempt; empty if it may be resumed. A
// resumption is charged to the retry budget but never refused by it.
func (s *requestState) stopReasonInterrupted(err error) Reason {
	switch {
	case isRejected(err) && !isNotRun(err):
		return ReasonRejected
	case s.partialAttempts >= maxPartialAttempts:
		return ReasonAttempts
	}
	if s.relay.RetryBudget != nil {
		s.relay.RetryBudget.ForceWithdraw()
	}
	s.recordResumption(err)
	return ""
}

// waitToResume waits before the next attempt of an interrupted answer if no engine was picked or too many attempts
// brought no token. It returns why the request ends if MaxResumeWait has passed or the context has ended; else empty.
func (s *requestState) waitToResume(ctx context.Context, err error) Reason {
	_, noEngine := errors.AsType[*pickError](err)
	if s.delivered == 0 || (!noEngine && s.attemptsSinceToken < s.relay.maxAttempts()) {
		return ""
	}
	s.triedUpstreams = s.triedUpstreams[:0]
	now := time.Now()
	if s.resumeBackoff == nil {
		s.resumeBackoff = newBackoff()
		s.resumeDeadline = now.Add(orDefault(s.relay.MaxResumeWait, defaultMaxResumeWait))
	}
	if !now.Before(s.resumeDeadline) {
		if noEngine {
			return ReasonNoEngine
		}
		return ReasonAttempts
	}
	if !scope.Sleep(ctx, s.resumeBackoff.NextBackOff()) {
		return contextReason(ctx.Err())
	}
	return ""
}
