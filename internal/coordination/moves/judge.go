package moves

import (
	"maps"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Finding is what the evidence says of a new version.
type Finding string

// Findings.
const (
	// FindingUndecided: there are too few samples, or there is some evidence against the version.
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

// Judge turns the counts of a Watch into verdicts. Its methods are for one goroutine.
type Judge struct {
	Monitor *Monitor

	// table is the snapshot of the last tick.
	table *splitTable
	moves map[ident.MoveID]*caseFile
}

// evidenceScope tells whose answers a score covers.
type evidenceScope int

const (
	scopeFleet evidenceScope = iota
	scopeLocal
	scopes
)

type scoreKey struct {
	scope evidenceScope
	controlKey
	signal signal
}

// caseFile is the evidence on one move.
type caseFile struct {
	seen       [scopes]map[cellKey]counts
	seenBroken map[brokenKey]int64
	control    *control
	scores     map[scoreKey]*score
	suspects   map[controlKey]bool
	at         time.Time

	step     int
	permille ident.Permille
	// stepAt is when this daemon saw the step first.
	stepAt time.Time
	// warmed is set once the caches of the new version have had their time to fill since the step.
	warmed bool
	// samples are the answers of the new version on each route since the step began.
	samples map[ident.RouteID]int64
}

// Evaluate takes in what was counted since the last call and returns a verdict on every active move.
func (j *Judge) Evaluate(now time.Time, settings Settings) map[ident.MoveID]Verdict {
	t := j.Monitor.Splitter.table.Load()
	if t == nil {
		return nil
	}
	if j.moves == nil {
		j.moves = map[ident.MoveID]*caseFile{}
	}
	settings = settings.withDefaults()
	verdicts := make(map[ident.MoveID]Verdict, len(t.byMove))
	for id, sh := range t.byMove {
		verdicts[id] = j.judge(sh, now, settings)
	}
	if t != j.table {
		j.table = t
		j.forget(t)
	}
	return verdicts
}

func (j *Judge) forget(t *splitTable) {
	keep := make(map[ident.MoveID]bool, len(t.byMove))
	for id := range t.byMove {
		keep[id] = true
	}
	for id := range j.moves {
		if !keep[id] {
			delete(j.moves, id)
		}
	}
	j.Monitor.forget(keep)
	j.Monitor.forgetBases(t)
}

func (j *Judge) judge(sh *share, now time.Time, settings Settings) Verdict {
	cf := j.moves[sh.move.ID]
	if cf == nil {
		cf = newCaseFile(now)
		j.moves[sh.move.ID] = cf
	}
	f := j.Monitor.figuresOf(sh)
	f.refreshLimits(100 + settings.SlowMarginPercent)
	if f.countOverdue(now, sh.probes) {
		notify(j.Monitor.urgent)
	}
	cf.control.age(now.Sub(cf.at))
	cf.at = now
	cf.enter(sh)
	cf.endWarmUp()
	cf.takeFleet(f)
	cf.takeLocal(f)
	return cf.verdict(sh, settings)
}

func newCaseFile(now time.Time) *caseFile {
	return &caseFile{
		seen:       [scopes]map[cellKey]counts{{}, {}},
		seenBroken: map[brokenKey]int64{},
		control:    newControl(),
		scores:     map[scoreKey]*score{},
		suspects:   map[controlKey]bool{},
		samples:    map[ident.RouteID]int64{},
		at:         now,
	}
}

// enter starts a new count of samples when the step has changed.
func (cf *caseFile) enter(sh *share) {
	if cf.step == sh.move.Step && cf.permille == sh.permille {
		return
	}
	cf.step, cf.permille, cf.stepAt = sh.move.Step, sh.permille, cf.at
	clear(cf.samples)
	cf.warmed = false
}

// endWarmUp drops the evidence of slow answers from the time in which caches filled, once that is over, after a step
// that turned many caches cold. It would else meet the lower alarm that holds from then on.
func (cf *caseFile) endWarmUp() {
	if cf.warmed || cf.warming() {
		return
	}
	cf.warmed = true
	if cf.permille < coldPermille {
		return
	}
	maps.DeleteFunc(cf.scores, func(key scoreKey, _ *score) bool { return key.signal != signalFailure })
}

// takeFleet takes in the new counts of all daemons.
func (cf *caseFile) takeFleet(f *moveFigures) {
	delta := cf.delta(scopeFleet, f.totals(true))
	for key, d := range delta {
		if !key.isNew {
			cf.control.add(controlKey{key.route, key.organisation}, d)
		}
	}
	cf.takeBroken(f, delta)
	gains := gainSums{}
	for key, d := range delta {
		if !key.isNew {
			continue
		}
		cf.samples[key.route] += d.requests
		for s := range signals {
			cf.takeTrial(gains, controlKey{key.route, key.organisation}, s, d.trialOf(s))
		}
	}
	cf.addGains(scopeFleet, gains)
}

// takeLocal takes in the new counts of this daemon alone, by route.
func (cf *caseFile) takeLocal(f *moveFigures) {
	gains := gainSums{}
	for key, d := range cf.delta(scopeLocal, f.totals(false)) {
		if !key.isNew {
			continue
		}
		for s := range signals {
			t := d.trialOf(s)
			gains.add(key.route, s, gain(t, cf.control.base(controlKey{key.route, key.organisation}, s)), t)
		}
	}
	cf.addGains(scopeLocal, gains)
}

// takeBroken adds the engines that broke to the failures.
func (cf *caseFile) takeBroken(f *moveFigures, delta map[cellKey]counts) {
	for route := range *f.routes.Load() {
		for _, isNew := range []bool{false, true} {
			key := brokenKey{route, isNew}
			total := f.broken.total(route, isNew)
			n := total - cf.seenBroken[key]
			cf.seenBroken[key] = total
			if n == 0 {
				continue
			}
			if !isNew {
				cf.control.add(controlKey{route: route}, counts{requests: n, failures: n})
				continue
			}
			cell := cellKey{route: route, isNew: true}
			d := delta[cell]
			d.addAll(counts{requests: n, failures: n})
			delta[cell] = d
		}
	}
}

func (cf *caseFile) delta(sc evidenceScope, now map[cellKey]counts) map[cellKey]counts {
	delta := map[cellKey]counts{}
	for key, c := range now {
		if d := c.minus(cf.seen[sc][key]); d != (counts{}) {
			delta[key] = d
		}
	}
	cf.seen[sc] = now
	return delta
}

// takeTrial adds a trial to the evidence of its organisation and, for later, of its route.
func (cf *caseFile) takeTrial(gains gainSums, key controlKey, s signal, t trial) {
	if t.n == 0 {
		return
	}
	g := gain(t, cf.control.base(key, s))
	gains.add(key.route, s, g, t)
	if key.organisation != "" {
		cf.score(scoreKey{scopeFleet, key, s}).add(g, t)
	}
}

func (cf *caseFile) score(key scoreKey) *score {
	sc := cf.scores[key]
	if sc == nil {
		sc = &score{}
		cf.scores[key] = sc
	}
	return sc
}

func (cf *caseFile) addGains(sc evidenceScope, gains gainSums) {
	for key, sum := range gains {
		cf.score(scoreKey{sc, controlKey{route: key.route}, key.signal}).add(sum.gain, sum.trial)
	}
}

// gainSums sums the evidence of a route over its organisations.
type gainSums map[gainKey]*gainSum

type gainKey struct {
	route  ident.RouteID
	signal signal
}

type gainSum struct {
	gain  [len(worseBy)]float64
	trial trial
}

func (sums gainSums) add(route ident.RouteID, s signal, g [len(worseBy)]float64, t trial) {
	if t.n == 0 {
		return
	}
	sum := sums[gainKey{route, s}]
	if sum == nil {
		sum = &gainSum{}
		sums[gainKey{route, s}] = sum
	}
	for i := range g {
		sum.gain[i] += g[i]
	}
	sum.trial.add(t)
}
