package relay

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/gooseberryway/gooseberryway/internal/state/scope"
)

// stop returns why the request ends after a failure, empty if another attempt may be made.
func (s *run) stop(ctx context.Context, err error) Reason {
	if _, ok := errors.AsType[*emitError](err); ok {
		return ReasonCaller
	}
	if ctx.Err() != nil {
		return reasonOf(ctx.Err())
	}
	if _, ok := errors.AsType[*pickError](err); ok {
		if s.delivered == 0 {
			return ReasonNoEngine
		}
		return ""
	}
	return s.stopAfter(ctx, err)
}

// stopAfter decides after a failed attempt.
func (s *run) stopAfter(ctx context.Context, err error) Reason {
	if s.delivered > 0 {
		return s.stopInterrupted(err)
	}
	notRun := isNotRun(err)
	switch {
	case isRejected(err) && (!notRun || s.idle > 1):
		return ReasonRejected
	case s.idle >= s.relay.maxAttempts():
		return ReasonAttempts
	case s.prepaid.Swap(false) || notRun || s.awaitRetry(ctx):
		return ""
	case ctx.Err() != nil:
		return reasonOf(ctx.Err())
	default:
		return ReasonBudget
	}
}

// awaitRetry takes a retry from the budget. It waits a while for one, as a burst of failures soon ends.
func (s *run) awaitRetry(ctx context.Context) bool {
	if s.withdraw() {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, orDefault(s.relay.MaxRetryWait, defaultRetryPatience))
	defer cancel()
	pauses := newBackoff()
	for scope.Sleep(ctx, pauses.NextBackOff()) {
		if s.withdraw() {
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

// withdraw takes a retry from the budget and reports whether there was one.
func (s *run) withdraw() bool {
	return s.relay.RetryBudget == nil || s.relay.RetryBudget.TryWithdraw()
}

// prepay takes the retry that an attempt needs which is about to be given up, so that it goes on if there is none.
func (s *run) prepay() bool {
	ok := s.withdraw()
	s.prepaid.Store(ok)
	return ok
}

// stopInterrupted decides after an attempt has failed of which the caller has tokens. The budget does not stop it.
func (s *run) stopInterrupted(err error) Reason {
	switch {
	case isRejected(err) && !isNotRun(err):
		return ReasonRejected
	case s.parts >= maxParts:
		return ReasonAttempts
	}
	if s.relay.RetryBudget != nil {
		s.relay.RetryBudget.ForceWithdraw()
	}
	s.logResumption(err)
	return ""
}

// pause waits before the next attempt of an interrupted answer if engines are scarce, and returns why the request
// ends if its patience does.
func (s *run) pause(ctx context.Context, err error) Reason {
	_, scarce := errors.AsType[*pickError](err)
	if s.delivered == 0 || (!scarce && s.idle < s.relay.maxAttempts()) {
		return ""
	}
	s.tried = s.tried[:0]
	now := time.Now()
	if s.backoff == nil {
		s.backoff = newBackoff()
		s.patience = now.Add(orDefault(s.relay.MaxResumeWait, defaultResumePatience))
	}
	if !now.Before(s.patience) {
		if scarce {
			return ReasonNoEngine
		}
		return ReasonAttempts
	}
	if !scope.Sleep(ctx, s.backoff.NextBackOff()) {
		return reasonOf(ctx.Err())
	}
	return ""
}
