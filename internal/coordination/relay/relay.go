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

// Picker chooses the engines.
type Picker interface {
	// Pick returns the engine for the next attempt of a request. Engines in tried have failed this request and
	// should be avoided. Once tokens were delivered (req.ResumeFrom is not 0) only req.Version will do. Any error
	// means that there is no engine now.
	Pick(ctx context.Context, req *extern.EngineRequest, tried []ident.UpstreamID) (Attempt, error)
}

// Attempt is an engine that a Picker chose.
type Attempt struct {
	Upstream ident.UpstreamID
	BaseURL  string
	// Version replaces the request's version if it is not empty, as long as nothing was delivered.
	Version      ident.VersionID
	Priority     int
	ImportBlocks int
	// FirstToken is called once when the first token comes; it may be nil.
	FirstToken func()
	// Tokens is called with the number of tokens delivered so far by the attempt; it may be nil.
	Tokens func(ident.Tokens)
	// Report is called once when the attempt has ended; it may be nil.
	Report func(Report)
}

// Report tells how an attempt ended.
type Report struct {
	// Err is nil if the answer was completed.
	Err error
	// Cancelled is true if the attempt ended because the caller went or its deadline passed while the engine was at
	// work; Err says nothing about the engine then.
	Cancelled bool
	// FirstToken is the time to the first token, 0 if none came. Duration is the time of the whole attempt.
	FirstToken, Duration time.Duration
	// Tokens is the number of tokens that the attempt delivered.
	Tokens ident.Tokens
	// PromptTokens and CachedTokens are known only if the answer was completed.
	PromptTokens, CachedTokens ident.Tokens
}

// Relay runs requests on engines. It is safe for use by several goroutines.
type Relay struct {
	Engine extern.Engine
	Picker Picker
	// Budget bounds the retries; nil is no bound.
	Budget *Budget
	// MaxAttempts bounds the attempts that bring no token in a row; 0 is four.
	MaxAttempts int
	// FirstTokenTimeout and InterTokenTimeout bound the silence of an engine; 0 is 30 s and 10 s. A request with a
	// deadline waits for the first token for half of the time left at most, if the budget has a retry.
	FirstTokenTimeout, InterTokenTimeout time.Duration
	// ResumePatience is how long an interrupted answer waits for an engine that can resume it; 0 is 15 s.
	ResumePatience time.Duration
}

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

// Run answers a request. It calls emit for each chunk in order, without gaps and repetitions; the chunk is valid
// during the call, which may block. The error is a *RunError.
func (r *Relay) Run(ctx context.Context, req extern.EngineRequest, emit func(*extern.EngineChunk) error) (*extern.EngineDone, error) {
	if r.Budget != nil {
		r.Budget.Deposit()
	}
	s := run{relay: r, req: req, emit: emit, delivered: req.ResumeFrom}
	for {
		done, err := s.once(ctx)
		if err == nil {
			return done, nil
		}
		if s.delivered > 0 && s.delivered >= s.req.MaxTokens {
			return s.limitReached(), nil
		}
		if reason := s.stop(ctx, err); reason != "" {
			return nil, s.failure(reason, err)
		}
		if reason := s.pause(ctx, err); reason != "" {
			return nil, s.failure(reason, err)
		}
	}
}

// once picks an engine and makes one attempt.
func (s *run) once(ctx context.Context) (*extern.EngineDone, error) {
	s.req.ResumeFrom = s.delivered
	picked, err := s.relay.Picker.Pick(ctx, &s.req, s.tried)
	if err != nil {
		return nil, &pickError{err: err}
	}
	if err = s.pinVersion(picked.Version); err != nil {
		if picked.Report != nil {
			picked.Report(Report{Err: err, Cancelled: true})
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
		return &VersionError{Want: s.req.Version, Got: version}
	}
	s.req.Version = version
	return nil
}

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
	return s.stopAfter(err)
}

// stopAfter decides after a failed attempt.
func (s *run) stopAfter(err error) Reason {
	if s.delivered > 0 {
		return s.stopInterrupted(err)
	}
	notRun := isNotRun(err)
	switch {
	case isRejected(err) && (!notRun || s.idle > 1):
		return ReasonRejected
	case s.idle >= s.relay.maxAttempts():
		return ReasonAttempts
	case s.prepaid.Swap(false) || notRun || s.withdraw():
		return ""
	default:
		return ReasonBudget
	}
}

// withdraw takes a retry from the budget and reports whether there was one.
func (s *run) withdraw() bool {
	return s.relay.Budget == nil || s.relay.Budget.Withdraw()
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
	if s.relay.Budget != nil {
		s.relay.Budget.Draw()
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
		s.backoff = backoff.NewExponentialBackOff()
		s.backoff.InitialInterval, s.backoff.MaxInterval = backoffInitial, backoffMax
		s.patience = now.Add(orDefault(s.relay.ResumePatience, defaultResumePatience))
	}
	if !now.Before(s.patience) {
		if scarce {
			return ReasonNoEngine
		}
		return ReasonAttempts
	}
	timer := time.NewTimer(s.backoff.NextBackOff())
	defer timer.Stop()
	select {
	case <-timer.C:
		return ""
	case <-ctx.Done():
		return reasonOf(ctx.Err())
	}
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

func (r *Relay) maxAttempts() int {
	return orDefault(r.MaxAttempts, defaultMaxAttempts)
}

func (r *Relay) firstTokenTimeout() time.Duration {
	return orDefault(r.FirstTokenTimeout, defaultFirstTokenTimeout)
}

func (r *Relay) interTokenTimeout() time.Duration {
	return orDefault(r.InterTokenTimeout, defaultInterTokenTimeout)
}

func reasonOf(err error) Reason {
	if errors.Is(err, context.DeadlineExceeded) {
		return ReasonDeadline
	}
	return ReasonCancelled
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

// pickError is a Picker without an engine.
type pickError struct {
	err error
}

func (e *pickError) Error() string { return "no engine: " + e.err.Error() }

func (e *pickError) Unwrap() error { return e.err }
