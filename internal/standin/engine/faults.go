package engine

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Faults are the faults of the whole engine, of all versions. The zero value has no faults. Shares are from 0 to 1.
type Faults struct {
	// SlowFactor multiplies the duration of each step; values below 1 have no effect.
	SlowFactor float64 `json:"slowFactor"`
	// Errors is the share of requests that fail with status 500 after passing the checks.
	Errors float64 `json:"errors"`
	// Truncated is the share of answers that end halfway without their last event.
	Truncated float64 `json:"truncated"`
	// Stalled is the share of answers that stop halfway while their stream stays open.
	Stalled float64 `json:"stalled"`
	// Mismatched is the share of answers that have the id and the tokens of another request.
	Mismatched float64 `json:"crossed"`
	// Late is the share of answers whose first event is delayed by LateBy, in unscaled time.
	Late   float64       `json:"late"`
	LateBy time.Duration `json:"lateByNanos"`
	// EventGaps is the share of cache events that are lost, if larger than that of Settings.
	EventGaps float64 `json:"eventGaps"`
}

func (f *Faults) stepTimeFactor() float64 { return max(f.SlowFactor, 1) }

// Behaviour describes the faults of one weight version and the conditions under which they show. The zero value is a
// version without faults.
type Behaviour struct {
	// Errors and Truncated are shares as in Faults; SlowFactor divides the speed of prefill and generation.
	Errors     float64 `json:"errors"`
	Truncated  float64 `json:"truncated"`
	SlowFactor float64 `json:"slowFactor"`
	// After is the unscaled time from SetBehaviour until the faults begin.
	After time.Duration `json:"afterNanos"`
	// MinRunning is the number of running requests at or above which the faults show.
	MinRunning int `json:"minRunning"`
	// Route is the only route on which the faults show; empty means every route.
	Route ident.RouteID `json:"route"`
}

type activeBehaviour struct {
	Behaviour
	activeFrom time.Time
}

// SetFaults replaces the faults of the engine. Requests that are already queued keep theirs, except for SlowFactor.
func (e *Engine) SetFaults(f Faults) {
	e.init()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	e.feed.SetLossRate(max(f.EventGaps, e.EventGaps))
}

// SetBehaviour replaces the behaviour of a version and restarts the time of its After.
func (e *Engine) SetBehaviour(version ident.VersionID, b Behaviour) {
	e.init()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.behaviours[version] = activeBehaviour{Behaviour: b, activeFrom: time.Now().Add(e.scaled(b.After))}
}

// Crash ends all answers without a last event, empties the cache, increments the incarnation and unloads all versions
// but those of Settings. The engine accepts requests again after the given unscaled time.
func (e *Engine) Crash(down time.Duration) {
	e.init()
	e.resetState(down)
	if e.server != nil {
		e.server.Suspend()
	}
}

// resetState changes the state as a crash does and sets the end of the downtime.
func (e *Engine) resetState(down time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Crashes++
	e.incarnation++
	e.downUntil = time.Now().Add(e.scaled(down))
	e.cache = newCache(e.CacheBlocks)
	e.completedBlocks = e.completedBlocks[:0]
	e.versions = map[ident.VersionID]*loadedVersion{}
	for _, v := range e.Versions {
		e.versions[v] = &loadedVersion{}
	}
	for _, j := range append(e.waiting, e.running...) {
		j.pinnedBlocks = nil
		j.completion.end(extern.EngineDone{}, &CrashError{})
	}
	e.waiting, e.running = nil, nil
	e.feed.Reset(e.incarnation)
}

// behaviour returns the behaviour of the job's version, or the zero value if its conditions are not met now. The caller
// holds e.mu.
func (e *Engine) behaviour(j *job) Behaviour {
	b, ok := e.behaviours[j.req.Version]
	if !ok || time.Now().Before(b.activeFrom) || len(e.running) < b.MinRunning {
		return Behaviour{}
	}
	if b.Route != "" && b.Route != j.req.Route {
		return Behaviour{}
	}
	return b.Behaviour
}

func (e *Engine) slowFactor(j *job) float64 {
	return max(e.behaviour(j).SlowFactor, 1)
}

func (e *Engine) shouldFail(j *job) bool {
	return e.chance(max(e.faults.Errors, e.behaviour(j).Errors))
}

// applyFaults draws the faults of the job's answer at random. The caller holds e.mu.
func (e *Engine) applyFaults(j *job) {
	middleToken := j.nextToken + (j.maxTokens-j.nextToken)/2
	if e.chance(max(e.faults.Truncated, e.behaviour(j).Truncated)) {
		j.truncateAt = middleToken
	}
	if e.chance(e.faults.Stalled) {
		j.stallAt = middleToken
	}
	if e.chance(e.faults.Late) {
		j.completion.startDelay = e.scaled(e.faults.LateBy)
	}
	if e.chance(e.faults.Mismatched) {
		e.stats.Mismatched++
		e.mismatch(j)
	}
}

// mismatch gives the job the answer of another request: that of a running one or, if none runs, of an invented one.
func (e *Engine) mismatch(j *job) {
	other := extern.EngineRequest{Request: j.req.Request + "-other", Model: j.req.Model, Version: j.req.Version}
	if len(e.running) > 0 {
		other = e.running[e.random.IntN(len(e.running))].req
	}
	j.completion.servedRequest = other
	j.completion.answerKey = requestAnswerKey(&other)
}

// chance returns true with the given probability. It draws no random number if the probability is 0.
func (e *Engine) chance(share float64) bool {
	return share > 0 && e.random.Float64() < share
}
