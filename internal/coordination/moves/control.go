package moves

import (
	"math"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// trials holds one trial for each signal.
type trials [numSignals]trial

// forSignal returns the trial of a signal, an empty one for a nil receiver.
func (t *trials) forSignal(s signal) trial {
	if t == nil {
		return trial{}
	}
	return t[s]
}

func (t *trials) scale(factor float64) {
	for s := range t {
		t[s].scale(factor)
	}
}

// groupKey names a group of requests: those of an organisation on a route, or of the whole route if the organisation
// is empty.
type groupKey struct {
	route        ident.RouteID
	organisation ident.OrganisationID
}

// controlGroup holds how the old version performs, over a long time and recently.
type controlGroup struct {
	longTerm, recent map[groupKey]*trials
	// The totals of a route are kept apart, as an empty organisation in longTerm and recent stands for the
	// organisations without counters of their own.
	longTermByRoute, recentByRoute map[ident.RouteID]*trials
}

func newControlGroup() *controlGroup {
	return &controlGroup{
		longTerm:        map[groupKey]*trials{},
		recent:          map[groupKey]*trials{},
		longTermByRoute: map[ident.RouteID]*trials{},
		recentByRoute:   map[ident.RouteID]*trials{},
	}
}

// decayRecent applies recentHalfLife to the recent counts.
func (c *controlGroup) decayRecent(elapsed time.Duration) {
	factor := math.Exp2(-elapsed.Seconds() / recentHalfLife.Seconds())
	for _, t := range c.recent {
		t.scale(factor)
	}
	for _, t := range c.recentByRoute {
		t.scale(factor)
	}
}

// add counts answers of the old version.
func (c *controlGroup) add(key groupKey, delta counts) {
	addTrials(c.longTerm, key, delta)
	addTrials(c.recent, key, delta)
	addTrials(c.longTermByRoute, key.route, delta)
	addTrials(c.recentByRoute, key.route, delta)
}

func addTrials[K comparable](to map[K]*trials, key K, delta counts) {
	t := to[key]
	if t == nil {
		t = &trials{}
		to[key] = t
	}
	for s := range numSignals {
		t[s].add(delta.trialOf(s))
	}
	if t[signalFailure].answers > controlDecaySamples {
		t.scale(0.5)
	}
}

// allowedRate returns the rate of bad answers that a good version may have now in a group of requests.
func (c *controlGroup) allowedRate(key groupKey, s signal) float64 {
	floor := rateFloor(s)
	longTermRate := c.longTermByRoute[key.route].forSignal(s).rate(floor)
	routeRate := max(longTermRate, c.recentByRoute[key.route].forSignal(s).rateWithPrior(longTermRate, recentPriorWeight(s)))
	ownRate := c.longTerm[key].forSignal(s).rate(routeRate)
	ownRate = max(ownRate, c.recent[key].forSignal(s).rateWithPrior(ownRate, recentPriorWeight(s)))
	return min(max(floor, allowedRateFactor*routeRate, allowedRateFactor*ownRate), maxAllowedRate)
}

func rateFloor(s signal) float64 {
	if s == signalFailure {
		return failureRateFloor
	}
	return slowRateFloor
}

// recentPriorWeight returns the weight of the long-term rate, in samples. It is high for failures, so that a single
// failure of the old version doesn't excuse many of the new one. Slow answers are common enough to need less.
func recentPriorWeight(s signal) float64 {
	if s == signalFailure {
		return recentFailurePriorSamples
	}
	return priorSamples
}
