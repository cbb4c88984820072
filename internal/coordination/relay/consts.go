package relay

import "time"

// Defaults of Relay and RetryBudget.
const (
	defaultMaxAttempts       = 4
	defaultFirstTokenTimeout = 30 * time.Second
	defaultInterTokenTimeout = 10 * time.Second
	defaultMaxResumeWait     = 15 * time.Second
	defaultMaxRetryWait      = time.Second

	// maxPartialAttempts bounds the attempts that delivered tokens of one answer, so that a request that makes every
	// engine crash is not resumed for ever.
	maxPartialAttempts = 16

	// minFirstEventTimeout is the least time that an attempt waits for its first event.
	minFirstEventTimeout = time.Second
	// silenceTick is how often a silent engine is looked at again while no other one can follow.
	silenceTick = 250 * time.Millisecond
	// engineFaultSilence is how long an engine must have been silent at a request's deadline for the attempt to count
	// as a failure of the engine.
	engineFaultSilence = 5 * time.Second

	backoffInitial = 20 * time.Millisecond
	backoffMax     = time.Second

	defaultRetrySharePermille = 100
	defaultMaxBalanceRetries  = 64
	permille                  = 1000

	finishReasonLength = "length"
)
