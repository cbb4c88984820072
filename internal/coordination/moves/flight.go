package moves

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Attempt is a request under way at an engine. Its methods are for one goroutine.
type Attempt struct {
	// Started is when the request was sent.
	Started time.Time

	target  Target
	watch   *Monitor
	share   *share
	figures *moveFigures
	route   *routeFigures
	// class is that of the work before the first token, pace that of the work for others after it.
	class, pace int
	// base is where the latencies of the version that serves are kept.
	base  *latencyBase
	isNew bool
	cell  *cell
	// waiting is nil once the first token has come.
	waiting *pendingNode
	// first says that the first token has come, at firstAt.
	first   bool
	firstAt time.Time
	// paced says that the time between tokens has been counted.
	paced bool
}

// Begin counts a request that is sent to an engine now. work are the tokens that the engine is expected to compute
// before the first token: those queued before the request and the part of its prompt that is not cached. End must be
// called on the result once.
func (w *Monitor) Begin(at Target, work ident.Tokens) Attempt {
	fl := Attempt{Started: time.Now(), target: at, watch: w, class: workClass(work)}
	w.checkSent(at, fl.Started)
	fl.share, fl.figures, fl.isNew = w.find(at)
	if fl.figures == nil {
		fl.base = w.base(baseKey{routeKey{Model: at.Model, Route: at.Route}, at.Version})
		return fl
	}
	fl.route = w.routeOf(fl.figures, at.Route)
	if !fl.isNew {
		fl.base = fl.route.base
	}
	fl.cell = fl.figures.cell(at, fl.isNew)
	fl.waiting = &pendingNode{started: fl.Started, class: fl.class, cell: fl.cell}
	fl.route.pending[sideOf(fl.isNew)].add(fl.waiting)
	return fl
}

// FirstToken counts the first token, which has come now. queued are the tokens that the engine has yet to compute for other
// requests, which slow the answer down.
// The answer counts as good from here on, unless it ends otherwise: a version that fails at once would else seem
// worse than it is, as its good answers take longer.
func (fl *Attempt) FirstToken(queued ident.Tokens) {
	if fl.first {
		return
	}
	fl.first, fl.firstAt = true, time.Now()
	fl.pace = workClass(queued)
	ttft := fl.firstAt.Sub(fl.Started)
	if fl.base != nil {
		fl.base.ttft.add(fl.class, ttft)
	}
	if fl.figures == nil {
		return
	}
	fl.cell.requests.Add(1)
	if overdue := fl.endWait(); overdue {
		return
	}
	slow := fl.route.addTTFT(fl.cell, ttft, fl.class)
	fl.signalIf(slow)
}

// Tokens tells how many tokens have come so far. The time between tokens is counted as soon as there are enough of
// them, and not only at the end of a long answer.
func (fl *Attempt) Tokens(n ident.Tokens) {
	if fl.paced || !fl.first || n < pacedTokens {
		return
	}
	fl.addITL(time.Since(fl.firstAt) / time.Duration(n-1))
}

func (fl *Attempt) addITL(itl time.Duration) {
	fl.paced = true
	if fl.base != nil {
		fl.base.itl.add(fl.pace, itl)
	}
	if fl.figures == nil {
		return
	}
	fl.freeProbe()
	slow := fl.route.addITL(fl.cell, itl, fl.pace)
	fl.signalIf(slow)
}

// signalIf tells the other daemons soon when the new version does badly.
func (fl *Attempt) signalIf(bad bool) {
	if bad && fl.isNew {
		fl.watch.signal()
	}
}

// endWait takes the request off the waiting ones and reports whether it was counted as slow while it waited.
func (fl *Attempt) endWait() bool {
	overdue := fl.route.pending[sideOf(fl.isNew)].remove(fl.waiting)
	fl.waiting = nil
	return overdue
}

// freeProbe lets the next probe go, if this was one.
func (fl *Attempt) freeProbe() {
	if fl.isNew {
		fl.share.probes.answered(fl.target.Route, fl.target.Organisation)
	}
}

// End counts the outcome of an answer of n tokens.
func (fl *Attempt) End(outcome Outcome, n ident.Tokens) {
	if fl.first && !fl.paced && n > 1 {
		fl.addITL(time.Since(fl.firstAt) / time.Duration(n-1))
	}
	if fl.figures == nil {
		return
	}
	if fl.waiting != nil {
		fl.endWait()
	}
	fl.freeProbe()
	s := sample{Target: fl.target, Started: fl.Started, Outcome: outcome}
	fl.ended(&s)
}

// ended counts the end of a request, which may have been counted at its first token.
func (fl *Attempt) ended(s *sample) {
	fl.signalIf(s.Outcome > OutcomeComplete && s.Outcome < OutcomeIgnored)
	switch s.Outcome {
	case OutcomeIgnored:
	case OutcomeBroken, OutcomeUnreachable, OutcomeRefused:
		fl.figures.broken.saw(s, fl.isNew)
	default:
		fl.figures.broken.answered(s.Upstream, s.Started)
		fl.cell.add(s.Outcome, fl.first)
	}
}

// checkSent checks that nothing goes to a version after its stop.
func (w *Monitor) checkSent(at Target, started time.Time) {
	if t := w.Splitter.table.Load(); t != nil && !at.Resumed {
		t.checkSent(routeKey{Model: at.Model, Route: at.Route}, at.Version, started)
	}
}

// countOverdue counts requests that wait for their first token longer than the limit as slow, and reports whether
// any of the new version do. The place of a probe that is late is free for the next one.
func (f *moveFigures) countOverdue(now time.Time, probes *probeSet) bool {
	late := false
	for id, r := range *f.routes.Load() {
		limits := r.limits()
		r.pending[sideOf(false)].countOverdue(now, limits)
		if r.pending[sideOf(true)].countOverdue(now, limits) > 0 {
			probes.freeRoute(id)
			late = true
		}
	}
	return late
}

// addTTFT counts a time to first token and reports whether it was slow.
func (r *routeFigures) addTTFT(c *cell, ttft time.Duration, class int) bool {
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
func (r *routeFigures) addITL(c *cell, itl time.Duration, class int) bool {
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
