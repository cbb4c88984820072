package relay

import (
	"context"
	"errors"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
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
	// OnFirstToken is called once when the first token comes; it may be nil.
	OnFirstToken func()
	// OnTokens is called with the number of tokens delivered so far by the attempt; it may be nil.
	OnTokens func(ident.Tokens)
	// OnResult is called once when the attempt has ended; it may be nil.
	OnResult func(AttemptResult)
}

// AttemptResult tells how an attempt ended.
type AttemptResult struct {
	// Err is nil if the answer was completed.
	Err error
	// Cancelled is true if the attempt ended because the caller went or its deadline passed while the engine was at
	// work; Err says nothing about the engine then.
	Cancelled bool
	// TTFT is the time to the first token, 0 if none came. Duration is the time of the whole attempt.
	TTFT, Duration time.Duration
	// Tokens is the number of tokens that the attempt delivered.
	Tokens ident.Tokens
	// PromptTokens and CachedTokens are known only if the answer was completed.
	PromptTokens, CachedTokens ident.Tokens
}

// Relay runs requests on engines. It is safe for use by several goroutines.
type Relay struct {
	Engine extern.Engine
	Picker Picker
	// RetryBudget bounds the retries; nil is no bound.
	RetryBudget *RetryBudget
	// MaxAttempts bounds the attempts that bring no token in a row; 0 is four.
	MaxAttempts int
	// FirstTokenTimeout and InterTokenTimeout bound the silence of an engine; 0 is 30 s and 10 s. A request with a
	// deadline waits for the first token for half of the time left at most, if the budget has a retry.
	FirstTokenTimeout, InterTokenTimeout time.Duration
	// MaxRetryWait is how long a request without a token waits for a retry of the budget; 0 is 1 s.
	MaxRetryWait time.Duration
	// MaxResumeWait is how long an interrupted answer waits for an engine that can resume it; 0 is 15 s.
	MaxResumeWait time.Duration
}

// Run answers a request. It calls emit for each chunk in order, without gaps and repetitions; the chunk is valid
// during the call, which may block. The error is a *RunError.
func (r *Relay) Run(ctx context.Context, req extern.EngineRequest, emit func(*extern.EngineChunk) error) (*extern.EngineDone, error) {
	if r.RetryBudget != nil {
		r.RetryBudget.Deposit()
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
