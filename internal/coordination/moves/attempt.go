package moves

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Attempt is one attempt of a request at an engine. Its methods are for one goroutine.
type Attempt struct {
	// Started is when the request was sent.
	Started time.Time

	target     Target
	monitor    *Monitor
	split      *moveSplit
	stats      *moveStats
	routeStats *routeStats
	// ttftClass is the work class of the tokens before the first token, itlClass that of the engine's outstanding
	// work for other requests when the first token came.
	ttftClass, itlClass int
	// baseline is where the latencies are added if the version is the one that serves, else nil.
	baseline *latencyBaseline
	isNew    bool
	counters *counters
	// pending is nil once the first token has come or the attempt has ended.
	pending *pendingNode
	// firstTokenSeen says that the first token has come, at firstTokenAt.
	firstTokenSeen bool
	firstTokenAt   time.Time
	// itlCounted says that the time between tokens has been counted.
	itlCounted bool
}

// Begin counts a request that is sent to an engine now. work is the number of tokens that the engine is expected to
// compute before the first token: those queued before the request and the uncached part of its prompt. End must be
// called on the result once.
func (m *Monitor) Begin(target Target, work ident.Tokens) Attempt {
	a := Attempt{Started: time.Now(), target: target, monitor: m, ttftClass: workClass(work)}
	m.checkNotStopped(target, a.Started)
	a.split, a.stats, a.isNew = m.statsForTarget(target)
	if a.stats == nil {
		a.baseline = m.baselineFor(baselineKey{routeKey{Model: target.Model, Route: target.Route}, target.Version})
		return a
	}
	a.routeStats = m.routeStatsFor(a.stats, target.Route)
	if !a.isNew {
		a.baseline = a.routeStats.baseline
	}
	a.counters = a.stats.countersFor(target, a.isNew)
	a.pending = &pendingNode{started: a.Started, class: a.ttftClass, counters: a.counters}
	a.routeStats.pending[versionIndex(a.isNew)].add(a.pending)
	return a
}

// FirstToken counts the first token, which has come now. queued is the number of tokens that the engine has yet to
// compute for other requests, which slow the answer down. The answer counts as good from here on, unless it ends
// otherwise. Counting it only at its end would make a version that fails fast look worse than it is, as its good
// answers take longer.
func (a *Attempt) FirstToken(queued ident.Tokens) {
	if a.firstTokenSeen {
		return
	}
	a.firstTokenSeen, a.firstTokenAt = true, time.Now()
	a.itlClass = workClass(queued)
	ttft := a.firstTokenAt.Sub(a.Started)
	if a.baseline != nil {
		a.baseline.ttft.add(a.ttftClass, ttft)
	}
	if a.stats == nil {
		return
	}
	a.counters.requests.Add(1)
	if overdue := a.removePending(); overdue {
		return
	}
	slow := a.routeStats.addTTFT(a.counters, ttft, a.ttftClass)
	a.notifyIfBad(slow)
}

// Tokens reports that n tokens have come so far. The time between tokens is counted as soon as there are enough of
// them, not only at the end of a long answer.
func (a *Attempt) Tokens(n ident.Tokens) {
	if a.itlCounted || !a.firstTokenSeen || n < itlMinTokens {
		return
	}
	a.addITL(time.Since(a.firstTokenAt) / time.Duration(n-1))
}

func (a *Attempt) addITL(itl time.Duration) {
	a.itlCounted = true
	if a.baseline != nil {
		a.baseline.itl.add(a.itlClass, itl)
	}
	if a.stats == nil {
		return
	}
	a.releaseProbe()
	slow := a.routeStats.addITL(a.counters, itl, a.itlClass)
	a.notifyIfBad(slow)
}

// notifyIfBad has the next digest sent soon when the new version has given a bad answer.
func (a *Attempt) notifyIfBad(bad bool) {
	if bad && a.isNew {
		a.monitor.notifyUrgent()
	}
}

// removePending removes the request from the pending ones and reports whether it was already counted as slow.
func (a *Attempt) removePending() bool {
	overdue := a.routeStats.pending[versionIndex(a.isNew)].remove(a.pending)
	a.pending = nil
	return overdue
}

// releaseProbe lets the next probe go, if this request was one.
func (a *Attempt) releaseProbe() {
	if a.isNew {
		a.split.probes.release(a.target.Route, a.target.Organisation)
	}
}

// End counts the outcome of an answer of n tokens.
func (a *Attempt) End(outcome Outcome, n ident.Tokens) {
	if a.firstTokenSeen && !a.itlCounted && n > 1 {
		a.addITL(time.Since(a.firstTokenAt) / time.Duration(n-1))
	}
	if a.stats == nil {
		return
	}
	if a.pending != nil {
		a.removePending()
	}
	a.releaseProbe()
	ended := endedAttempt{Target: a.target, Started: a.Started, Outcome: outcome}
	a.countEnd(&ended)
}

// countEnd counts the end of a request, which may have been counted at its first token.
func (a *Attempt) countEnd(ended *endedAttempt) {
	a.notifyIfBad(ended.Outcome > OutcomeComplete && ended.Outcome < OutcomeIgnored)
	switch ended.Outcome {
	case OutcomeIgnored:
	case OutcomeBroken, OutcomeUnreachable, OutcomeRefused:
		a.stats.outages.observe(ended, a.isNew)
	default:
		a.stats.outages.markAnswered(ended.Upstream, ended.Started)
		a.counters.add(ended.Outcome, a.firstTokenSeen)
	}
}

// checkNotStopped checks that no request goes to a version after its stop. Resumed requests are exempt.
func (m *Monitor) checkNotStopped(target Target, started time.Time) {
	if t := m.Splitter.table.Load(); t != nil && !target.Resumed {
		t.checkNotStopped(routeKey{Model: target.Model, Route: target.Route}, target.Version, started)
	}
}

// countOverdue counts requests that have been without a first token for longer than the limit as slow, and reports
// whether any of the new version have. A probe among them no longer blocks the next one.
func (s *moveStats) countOverdue(now time.Time, probes *probeSet) bool {
	newOverdue := false
	for id, r := range *s.routes.Load() {
		limits := r.limits()
		r.pending[versionIndex(false)].countOverdue(now, limits)
		if r.pending[versionIndex(true)].countOverdue(now, limits) > 0 {
			probes.releaseRoute(id)
			newOverdue = true
		}
	}
	return newOverdue
}

// addTTFT counts a time to first token and reports whether it was slow.
func (r *routeStats) addTTFT(c *counters, ttft time.Duration, class int) bool {
	c.ttftMicros.Add(ttft.Microseconds())
	limit := time.Duration(r.ttftLimits[class].Load())
	if limit == 0 {
		return false
	}
	c.ttftSamples.Add(1)
	if ttft <= limit {
		return false
	}
	c.ttftSlow.Add(1)
	return true
}

// addITL counts a time between tokens and reports whether it was slow.
func (r *routeStats) addITL(c *counters, itl time.Duration, class int) bool {
	c.itlMicros.Add(itl.Microseconds())
	limit := time.Duration(r.itlLimits[class].Load())
	if limit == 0 {
		return false
	}
	c.itlSamples.Add(1)
	if itl <= limit {
		return false
	}
	c.itlSlow.Add(1)
	return true
}
