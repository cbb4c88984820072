package relay

import (
	"context"
	"errors"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Picker chooses the engine of each attempt.
type Picker interface {
	// Pick returns the engine for the next attempt of a request. Engines in tried have failed this request and should
	// be avoided. Once tokens were delivered (req.ResumeFrom is not 0), the engine must have req.Version. Any error
	// means that there is no engine now.
	Pick(ctx context.Context, req *extern.EngineRequest, tried []ident.UpstreamID) (Attempt, error)
}

// Attempt is the engine and the parameters that a Picker chose for an attempt.
type Attempt struct {
	Upstream ident.UpstreamID
	BaseURL  string
	// Version, if not empty, replaces the request's version as long as no token was delivered.
	Version      ident.VersionID
	Priority     int
	ImportBlocks int
	// OnFirstToken is called once when the first token is received; it may be nil.
	OnFirstToken func()
	// OnTokens is called after each delivery with the number of tokens that the attempt has delivered; it may be nil.
	OnTokens func(ident.Tokens)
	// OnResult is called once when the attempt has ended; it may be nil.
	OnResult func(AttemptResult)
}

// AttemptResult is the result of an attempt.
type AttemptResult struct {
	// Err is nil if the answer was completed.
	Err error
	// Cancelled is true if the attempt ended because emit failed, the caller went away or the deadline passed while
	// the engine was still active. Err then says nothing about the engine.
	Cancelled bool
	// TTFT is the time to first token, 0 if no token was received. Duration is the time of the whole attempt.
	TTFT, Duration time.Duration
	// Tokens is the number of tokens that the attempt delivered.
	Tokens ident.Tokens
	// PromptTokens and CachedTokens are known only if the answer was completed.
	PromptTokens, CachedTokens ident.Tokens
}

// Relay runs requests on engines. It is safe for concurrent use.
type Relay struct {
	Engine extern.Engine
	Picker Picker
	// HasOther reports whether Picker has an engine for the request besides those in tried; nil if it always has. The request is a copy.
	HasOther func(ctx context.Context, req *extern.EngineRequest, tried []ident.UpstreamID) bool
	// RetryBudget bounds the retries; nil for no bound.
	RetryBudget *RetryBudget
	// MaxAttempts bounds consecutive attempts that deliver no token; 4 when 0.
	MaxAttempts int
	// FirstTokenTimeout and InterTokenTimeout bound the silence of an engine while another attempt can follow; 30 s and 10 s when 0. A
	// request with a deadline waits for the first event for at most half of the remaining time.
	FirstTokenTimeout, InterTokenTimeout time.Duration
	// MaxRetryWait is how long a request without a token waits for a retry of the budget; 1 s when 0.
	MaxRetryWait time.Duration
	// MaxResumeWait is how long an interrupted answer waits for an engine that can resume it; 15 s when 0.
	MaxResumeWait time.Duration
}

// Run answers a request. It calls emit for each chunk in order, without gaps or repetitions; the chunk is valid only
// during the call, which may block. The error is a *RunError.
func (r *Relay) Run(ctx context.Context, req extern.EngineRequest, emit func(*extern.EngineChunk) error) (*extern.EngineDone, error) {
	if r.RetryBudget != nil {
		r.RetryBudget.Deposit()
	}
	s := requestState{relay: r, req: req, emit: emit, delivered: req.ResumeFrom}
	for {
		done, err := s.attemptOnce(ctx)
		if err == nil {
			return done, nil
		}
		if s.delivered > 0 && s.delivered >= s.req.MaxTokens {
			return s.lengthLimitDone(), nil
		}
		if reason := s.stopReason(ctx, err); reason != "" {
			return nil, s.newRunError(reason, err)
		}
		if reason := s.waitToResume(ctx, err); reason != "" {
			return nil, s.newRunError(reason, err)
		}
	}
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

func contextReason(err error) Reason {
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

// pickError reports that the Picker returned no usable engine.
type pickError struct {
	err error
}

func (e *pickError) Error() string { return "no engine: " + e.err.Error() }

func (e *pickError) Unwrap() error { return e.err }
