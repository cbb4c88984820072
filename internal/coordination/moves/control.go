package moves

import (
	"math"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// trials are the trials of each signal.
type trials [signals]trial

// of returns the trial of a signal; a nil receiver has none.
func (t *trials) of(s signal) trial {
	if t == nil {
		return trial{}
	}
	return t[s]
}

func (t *trials) scale(by float64) {
	for s := range t {
		t[s].scale(by)
	}
}

// controlKey names what the old version's rates are kept by; the organisation is empty for the whole route.
type controlKey struct {
	route        ident.RouteID
	organisation ident.OrganisationID
}

// control holds how the old version does: over a long time and recently.
type control struct {
	long, recent map[controlKey]*trials
	// wholeRoute is separate from the organisations that are not counted one by one.
	longRoute, recentRoute map[ident.RouteID]*trials
}

func newControl() *control {
	return &control{
		long:        map[controlKey]*trials{},
		recent:      map[controlKey]*trials{},
		longRoute:   map[ident.RouteID]*trials{},
		recentRoute: map[ident.RouteID]*trials{},
	}
}

// age lets the recent counts fade.
func (c *control) age(passed time.Duration) {
	by := math.Exp2(-passed.Seconds() / recentHalfLife.Seconds())
	for _, t := range c.recent {
		t.scale(by)
	}
	for _, t := range c.recentRoute {
		t.scale(by)
	}
}

// add counts answers of the old version.
func (c *control) add(key controlKey, delta counts) {
	addTrials(c.long, key, delta)
	addTrials(c.recent, key, delta)
	addTrials(c.longRoute, key.route, delta)
	addTrials(c.recentRoute, key.route, delta)
}

func addTrials[K comparable](to map[K]*trials, key K, delta counts) {
	t := to[key]
	if t == nil {
		t = &trials{}
		to[key] = t
	}
	for s := range signals {
		t[s].add(delta.trialOf(s))
	}
	if t[signalFailure].n > controlDecaySamples {
		t.scale(0.5)
	}
}

// base returns the rate of bad answers that a good version may have for the organisation at this time.
func (c *control) base(key controlKey, s signal) float64 {
	floor := floorOf(s)
	long := c.longRoute[key.route].of(s).rate(floor)
	rate := max(long, c.recentRoute[key.route].of(s).rateWith(long, recentPriorOf(s)))
	own := c.long[key].of(s).rate(rate)
	own = max(own, c.recent[key].of(s).rateWith(own, recentPriorOf(s)))
	return min(max(floor, baseMargin*rate, baseMargin*own), highestBase)
}

func floorOf(s signal) float64 {
	if s == signalFailure {
		return failureFloor
	}
	return slowFloor
}

// recentPriorOf keeps a single failure of the old version from excusing many of the new one. Slow answers are common
// enough to be trusted sooner.
func recentPriorOf(s signal) float64 {
	if s == signalFailure {
		return recentPriorSamples
	}
	return priorSamples
}
