package canary

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

const (
	// fullShare is all traffic, in thousandths.
	fullShare ident.Permille = 1000
	// evaluationInterval is the time between two evaluations.
	evaluationInterval = 100 * time.Millisecond
	// writeTimeout bounds the calls of the store for one decision.
	writeTimeout = 2 * time.Second
	// minStepTime is the least time in a step, unless the rollout is too short for that.
	minStepTime = time.Second
	// shortStepDivisor is the part of a short rollout's time that is the least time in a step.
	shortStepDivisor = 15
	// lateStepTime is the least time in a step of a rollout that is late: enough for the daemons to hear of the step and to
	// stop the release on its first failures.
	lateStepTime = 300 * time.Millisecond
	// maxBaselineFraction is the part of the time in which the old release is observed at most before the first step.
	maxBaselineFraction = 0.12
	// suspicionDelayFraction is by which part of the time a step is longer while there is some evidence against the
	// release.
	suspicionDelayFraction = 0.04
	// completeFraction is the part of the time after which the rollout is completed once the old release has no requests
	// left. It is completed in any case statusReserve before the end of the time, as operators read the status with a
	// delay, but in a short rollout not before shortCompleteFraction of the time.
	completeFraction      = 0.9
	statusReserve         = time.Second
	shortCompleteFraction = 0.88
	// largeShareSlowMarginPercent is how far above the 95th percentile of the old release an answer may be late at large
	// shares: the caches of the new upstreams are cold, and there may be fewer of them.
	largeShareSlowMarginPercent = 150
)

// step is a share of the traffic that a rollout passes through.
type step struct {
	share ident.Permille
	// from is the part of the rollout's time after which the step may begin.
	from float64
}

// steps keep the exposure to a bad release low: most of the time is spent at shares that suffice to judge it, and the
// share grows late.
var steps = []step{{30, 0}, {60, 0.3}, {150, 0.64}, {500, 0.75}, {fullShare, 0.81}}
