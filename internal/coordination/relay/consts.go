package relay

import "time"

// Defaults of Relay and Budget.
const (
	defaultMaxAttempts       = 4
	defaultFirstTokenTimeout = 30 * time.Second
	defaultInterTokenTimeout = 10 * time.Second
	defaultResumePatience    = 15 * time.Second
	defaultRetryPatience     = time.Second

	// maxParts bounds the attempts that brought tokens of one answer, so that a request which makes engines crash
	// ends.
	maxParts = 16

	// minFirstPatience is the least time that an attempt may wait for its first event.
	minFirstPatience = time.Second
	// blamedSilence is the silence at a request's deadline that counts as a failure of the engine.
	blamedSilence = 5 * time.Second

	backoffInitial = 20 * time.Millisecond
	backoffMax     = time.Second

	defaultBudgetShare   = 100 // permille
	defaultBudgetReserve = 64  // retries
	permille             = 1000

	finishLength = "length"
)
