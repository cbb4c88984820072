package moves

import (
	"cmp"
	"maps"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Finding is the conclusion from the evidence on a new version.
type Finding string

// Findings.
const (
	// FindingUndecided means that there are too few samples or that there is some evidence against the version.
	FindingUndecided Finding = "undecided"
	FindingGood      Finding = "good"
	FindingBad       Finding = "bad"
)

// Verdict is the judgement of a move at its present step.
type Verdict struct {
	Finding Finding `json:"finding"`
	// Reason is one sentence for operators when the finding is bad.
	Reason string `json:"reason,omitempty"`
	// Suspicious says that there is some evidence against the version.
	Suspicious bool `json:"suspicious"`
	// HasBaseline says that the old version's latencies are known.
	HasBaseline bool `json:"baseline"`
	// Samples is the number of answers of the new version since the step began.
	Samples int64 `json:"samples"`
}

// Judge turns the counts of a Monitor into verdicts. Its methods are for one goroutine.
type Judge struct {
	Monitor *Monitor
	// LargeShareSlowMarginPercent, if set, returns what replaces Settings.SlowMarginPercent for a model from
	// coldStepPermille on; 0 for no replacement. It is for moves to fewer engines with empty caches, which answer later
	// than the old ones while the version is as good.
	LargeShareSlowMarginPercent func(ident.ModelID) int

	// table is the snapshot of the last evaluation.
	table    *splitTable
	evidence map[ident.MoveID]*moveEvidence
}

// evidenceScope says whether a score covers the counts of all daemons or of this one alone.
type evidenceScope int

const (
	scopeFleet evidenceScope = iota
	scopeLocal
	numScopes
)

type scoreKey struct {
	scope evidenceScope
	groupKey
	signal signal
}

// moveEvidence is the evidence on one move.
type moveEvidence struct {
	lastCounts       [numScopes]map[countersKey]counts
	countedOutages   map[outageKey]int64
	control          *controlGroup
	scores           map[scoreKey]*cusumScore
	suspiciousGroups map[groupKey]bool
	evaluatedAt      time.Time

	step     int
	permille ident.Permille
	// stepStartedAt is when this daemon first saw the step.
	stepStartedAt time.Time
	// warmUpEnded is set once the warm-up time since the step has passed.
	warmUpEnded bool
	// samples holds the number of answers of the new version on each route since the step began.
	samples map[ident.RouteID]int64
}

// Evaluate adds the counts since the last call to the evidence and returns a verdict on every active move.
func (j *Judge) Evaluate(now time.Time, settings Settings) map[ident.MoveID]Verdict {
	t := j.Monitor.Splitter.table.Load()
	if t == nil {
		return nil
	}
	if j.evidence == nil {
		j.evidence = map[ident.MoveID]*moveEvidence{}
	}
	settings = settings.withDefaults()
	verdicts := make(map[ident.MoveID]Verdict, len(t.byMove))
	for id, split := range t.byMove {
		verdicts[id] = j.judgeMove(split, now, settings)
	}
	if t != j.table {
		j.table = t
		j.dropEndedMoves(t)
	}
	return verdicts
}

func (j *Judge) dropEndedMoves(t *splitTable) {
	keep := make(map[ident.MoveID]bool, len(t.byMove))
	for id := range t.byMove {
		keep[id] = true
	}
	for id := range j.evidence {
		if !keep[id] {
			delete(j.evidence, id)
		}
	}
	j.Monitor.retainMoves(keep)
	j.Monitor.dropStaleBaselines(t)
}

func (j *Judge) judgeMove(split *moveSplit, now time.Time, settings Settings) Verdict {
	e := j.evidence[split.move.ID]
	if e == nil {
		e = newMoveEvidence(now)
		j.evidence[split.move.ID] = e
	}
	stats := j.Monitor.statsFor(split)
	stats.refreshLimits(100 + j.slowMarginPercent(split, settings))
	if stats.countOverdue(now, split.probes) {
		notify(j.Monitor.urgent)
	}
	e.control.decayRecent(now.Sub(e.evaluatedAt))
	e.evaluatedAt = now
	e.resetOnNewStep(split)
	e.dropWarmUpEvidence()
	e.addFleetCounts(stats)
	e.addLocalCounts(stats)
	return e.verdict(split, settings)
}

// slowMarginPercent returns how far above the old version's 95th percentile an answer counts as slow at the move's share.
func (j *Judge) slowMarginPercent(split *moveSplit, settings Settings) int {
	if split.permille >= coldStepPermille && j.LargeShareSlowMarginPercent != nil {
		return cmp.Or(j.LargeShareSlowMarginPercent(split.move.Model), settings.SlowMarginPercent)
	}
	return settings.SlowMarginPercent
}

func newMoveEvidence(now time.Time) *moveEvidence {
	return &moveEvidence{
		lastCounts:       [numScopes]map[countersKey]counts{{}, {}},
		countedOutages:   map[outageKey]int64{},
		control:          newControlGroup(),
		scores:           map[scoreKey]*cusumScore{},
		suspiciousGroups: map[groupKey]bool{},
		samples:          map[ident.RouteID]int64{},
		evaluatedAt:      now,
	}
}

// resetOnNewStep starts a new count of samples when the step has changed.
func (e *moveEvidence) resetOnNewStep(split *moveSplit) {
	if e.step == split.move.Step && e.permille == split.permille {
		return
	}
	e.step, e.permille, e.stepStartedAt = split.move.Step, split.permille, e.evaluatedAt
	clear(e.samples)
	e.warmUpEnded = false
}

// dropWarmUpEvidence drops the evidence of slow answers from the warm-up time, once that is over, after a step that
// moved many prefixes to cold caches. That evidence would otherwise be compared with the lower alarm threshold that
// holds after the warm-up.
func (e *moveEvidence) dropWarmUpEvidence() {
	if e.warmUpEnded || e.inWarmUp() {
		return
	}
	e.warmUpEnded = true
	if e.permille < coldStepPermille {
		return
	}
	maps.DeleteFunc(e.scores, func(key scoreKey, _ *cusumScore) bool { return key.signal != signalFailure })
}

// addFleetCounts adds the new counts of all daemons.
func (e *moveEvidence) addFleetCounts(stats *moveStats) {
	delta := e.newCounts(scopeFleet, stats.totals(true))
	for key, d := range delta {
		if !key.isNew {
			e.control.add(groupKey{key.route, key.organisation}, d)
		}
	}
	e.addOutages(stats, delta)
	evidence := routeEvidence{}
	for key, d := range delta {
		if !key.isNew {
			continue
		}
		e.samples[key.route] += d.requests
		for s := range numSignals {
			e.addTrial(evidence, groupKey{key.route, key.organisation}, s, d.trialOf(s))
		}
	}
	e.addRouteEvidence(scopeFleet, evidence)
}

// addLocalCounts adds the new counts of this daemon alone, by route.
func (e *moveEvidence) addLocalCounts(stats *moveStats) {
	evidence := routeEvidence{}
	for key, d := range e.newCounts(scopeLocal, stats.totals(false)) {
		if !key.isNew {
			continue
		}
		for s := range numSignals {
			t := d.trialOf(s)
			evidence.add(key.route, s, logLikelihoodRatios(t, e.control.allowedRate(groupKey{key.route, key.organisation}, s)), t)
		}
	}
	e.addRouteEvidence(scopeLocal, evidence)
}

// addOutages adds the new outages of engines to the failures of their route.
func (e *moveEvidence) addOutages(stats *moveStats, delta map[countersKey]counts) {
	for route := range *stats.routes.Load() {
		for _, isNew := range []bool{false, true} {
			key := outageKey{route, isNew}
			total := stats.outages.total(route, isNew)
			n := total - e.countedOutages[key]
			e.countedOutages[key] = total
			if n == 0 {
				continue
			}
			if !isNew {
				e.control.add(groupKey{route: route}, counts{requests: n, failures: n})
				continue
			}
			routeCounters := countersKey{route: route, isNew: true}
			d := delta[routeCounters]
			d.addCounts(counts{requests: n, failures: n})
			delta[routeCounters] = d
		}
	}
}

func (e *moveEvidence) newCounts(scope evidenceScope, current map[countersKey]counts) map[countersKey]counts {
	delta := map[countersKey]counts{}
	for key, c := range current {
		if d := c.sub(e.lastCounts[scope][key]); d != (counts{}) {
			delta[key] = d
		}
	}
	e.lastCounts[scope] = current
	return delta
}

// addTrial adds a trial to the evidence of its organisation and to the sum for its route.
func (e *moveEvidence) addTrial(evidence routeEvidence, key groupKey, s signal, t trial) {
	if t.answers == 0 {
		return
	}
	logRatios := logLikelihoodRatios(t, e.control.allowedRate(key, s))
	evidence.add(key.route, s, logRatios, t)
	if key.organisation != "" {
		e.scoreFor(scoreKey{scopeFleet, key, s}).add(logRatios, t)
	}
}

func (e *moveEvidence) scoreFor(key scoreKey) *cusumScore {
	score := e.scores[key]
	if score == nil {
		score = &cusumScore{}
		e.scores[key] = score
	}
	return score
}

func (e *moveEvidence) addRouteEvidence(scope evidenceScope, evidence routeEvidence) {
	for key, sum := range evidence {
		e.scoreFor(scoreKey{scope, groupKey{route: key.route}, key.signal}).add(sum.logRatios, sum.trial)
	}
}

// routeEvidence sums the evidence of a route over its organisations.
type routeEvidence map[routeSignal]*evidenceSum

type routeSignal struct {
	route  ident.RouteID
	signal signal
}

type evidenceSum struct {
	logRatios [len(degradationLevels)]float64
	trial     trial
}

func (sums routeEvidence) add(route ident.RouteID, s signal, logRatios [len(degradationLevels)]float64, t trial) {
	if t.answers == 0 {
		return
	}
	sum := sums[routeSignal{route, s}]
	if sum == nil {
		sum = &evidenceSum{}
		sums[routeSignal{route, s}] = sum
	}
	for i := range logRatios {
		sum.logRatios[i] += logRatios[i]
	}
	sum.trial.add(t)
}
