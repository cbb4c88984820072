package engine

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Faults are the faults that the whole engine shows. The zero value is none. Shares are from 0 to 1.
type Faults struct {
	// SlowFactor multiplies the time of each step; below 1 it has no effect.
	SlowFactor float64 `json:"slowFactor"`
	// Errors is the share of requests that fail after the engine took them.
	Errors float64 `json:"errors"`
	// Truncated is the share of answers that end in the middle without their last event.
	Truncated float64 `json:"truncated"`
	// Stalled is the share of answers that stop in the middle and stay open.
	Stalled float64 `json:"stalled"`
	// Mismatched is the share of answers that belong to another request.
	Mismatched float64 `json:"crossed"`
	// Late is the share of answers that start LateBy later.
	Late   float64       `json:"late"`
	LateBy time.Duration `json:"lateByNanos"`
	// EventGaps is the share of cache events that are lost.
	EventGaps float64 `json:"eventGaps"`
}

func (f *Faults) slow() float64 { return max(f.SlowFactor, 1) }

// Behaviour makes a version bad. The zero value is a good version.
type Behaviour struct {
	// Errors and Truncated are shares as in Faults; SlowFactor divides the version's speed.
	Errors     float64 `json:"errors"`
	Truncated  float64 `json:"truncated"`
	SlowFactor float64 `json:"slowFactor"`
	// After is how long the version stays good after SetBehaviour, in unscaled time.
	After time.Duration `json:"afterNanos"`
	// MinRunning is the number of running requests from which on the version is bad.
	MinRunning int `json:"minRunning"`
	// Route is the only route on which the version is bad; empty is every route.
	Route ident.RouteID `json:"route"`
}

type activeBehaviour struct {
	Behaviour
	from time.Time
}

// SetFaults replaces the faults of the engine.
func (e *Engine) SetFaults(f Faults) {
	e.init()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	e.feed.SetLossRate(max(f.EventGaps, e.EventGaps))
}

// SetBehaviour replaces the behaviour of a version.
func (e *Engine) SetBehaviour(version ident.VersionID, b Behaviour) {
	e.init()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.behaviours[version] = activeBehaviour{Behaviour: b, from: time.Now().Add(e.scaled(b.After))}
}

// Crash ends all answers without a last event, empties the cache and raises the incarnation. The engine takes
// requests again after the given unscaled time. It forgets loaded versions other than those of its settings.
func (e *Engine) Crash(down time.Duration) {
	e.init()
	e.lose(down)
	if e.server != nil {
		e.server.Suspend()
	}
}

// lose makes the engine forget everything.
func (e *Engine) lose(down time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Crashes++
	e.incarnation++
	e.upAt = time.Now().Add(e.scaled(down))
	e.cache = newCache(e.CacheBlocks)
	e.pieces = e.pieces[:0]
	e.versions = map[ident.VersionID]*loadedVersion{}
	for _, v := range e.Versions {
		e.versions[v] = &loadedVersion{}
	}
	for _, j := range append(e.waiting, e.running...) {
		j.blocks = nil
		j.out.end(extern.EngineDone{}, &CrashError{})
	}
	e.waiting, e.running = nil, nil
	e.feed.Reset(e.incarnation)
}

// behaviour returns the behaviour of the job's version if it shows now; e.mu is held.
func (e *Engine) behaviour(j *job) Behaviour {
	b, ok := e.behaviours[j.req.Version]
	if !ok || time.Now().Before(b.from) || len(e.running) < b.MinRunning {
		return Behaviour{}
	}
	if b.Route != "" && b.Route != j.req.Route {
		return Behaviour{}
	}
	return b.Behaviour
}

func (e *Engine) slowness(j *job) float64 {
	return max(e.behaviour(j).SlowFactor, 1)
}

func (e *Engine) fails(j *job) bool {
	return e.chance(max(e.faults.Errors, e.behaviour(j).Errors))
}

// applyFaults decides which faults the answer will show; e.mu is held.
func (e *Engine) applyFaults(j *job) {
	middle := j.next + (j.limit-j.next)/2
	if e.chance(max(e.faults.Truncated, e.behaviour(j).Truncated)) {
		j.truncateAt = middle
	}
	if e.chance(e.faults.Stalled) {
		j.stallAt = middle
	}
	if e.chance(e.faults.Late) {
		j.out.holdFor = e.scaled(e.faults.LateBy)
	}
	if e.chance(e.faults.Mismatched) {
		e.stats.Mismatched++
		e.cross(j)
	}
}

// cross makes the answer that of another request: of one that runs or else of an invented one.
func (e *Engine) cross(j *job) {
	other := extern.EngineRequest{Request: j.req.Request + "-other", Model: j.req.Model, Version: j.req.Version}
	if len(e.running) > 0 {
		other = e.running[e.random.IntN(len(e.running))].req
	}
	j.out.answers = other
	j.out.key = answerKeyOf(&other)
}

func (e *Engine) chance(share float64) bool {
	return share > 0 && e.random.Float64() < share
}
