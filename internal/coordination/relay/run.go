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

// run is the state of one request.
type run struct {
	relay     *Relay
	req       extern.EngineRequest
	emit      func(*extern.EngineChunk) error
	delivered ident.Tokens
	attempts  int
	idle      int // attempts since the last token
	parts     int // attempts that brought tokens
	ran       bool
	// prepaid is true if the retry after this attempt has been taken from the budget.
	prepaid  atomic.Bool
	tried    []ident.UpstreamID
	backoff  *backoff.ExponentialBackOff
	patience time.Time
}

// once picks an engine and makes one attempt.
func (s *run) once(ctx context.Context) (*extern.EngineDone, error) {
	s.req.ResumeFrom = s.delivered
	picked, err := s.relay.Picker.Pick(ctx, &s.req, s.tried)
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
	s.idle++
	s.tried = append(s.tried, picked.Upstream)
	now := time.Now()
	a := attempt{run: s, picked: picked, started: now, waiting: now}
	done, err := a.do(ctx)
	a.report(ctx, done, err)
	s.ran = s.ran || !isNotRun(err)
	if a.tokens > 0 {
		s.parts++
	}
	return done, err
}

func (s *run) pinVersion(version ident.VersionID) error {
	if version == "" || version == s.req.Version {
		return nil
	}
	if s.delivered > 0 {
		return &VersionMismatchError{Want: s.req.Version, Got: version}
	}
	s.req.Version = version
	return nil
}

// progress notes that the caller got tokens.
func (s *run) progress(n ident.Tokens) {
	s.delivered += n
	s.idle = 0
	s.backoff = nil
}

// limitReached ends an answer that is whole but for its last event.
func (s *run) limitReached() *extern.EngineDone {
	return &extern.EngineDone{
		Request:      s.req.Request,
		FinishReason: finishLength,
		PromptTokens: prefix.TokensOf(s.req.Prompt),
		OutputTokens: s.delivered,
	}
}

func (s *run) failure(reason Reason, err error) *RunError {
	e := &RunError{Reason: reason, Delivered: s.delivered, NotRun: !s.ran, Attempts: s.attempts, Err: err}
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
