package moves

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

const (
	testModel = ident.ModelID("ledger")
	testMove  = ident.MoveID("m1")
	testTeam  = ident.TeamID("alder")
	oldV      = ident.VersionID("v1")
	newV      = ident.VersionID("v2")
	// families is the number of families of prefixes.
	families = 40
)

// unavailableError is the log being down.
type unavailableError struct{}

func (unavailableError) Error() string { return "the log is unavailable" }

// testLog is a log service that applies records to a configuration.
type testLog struct {
	mu    sync.Mutex
	state *config.State
	down  bool
	tried map[string]int
	moves []config.Move
}

func newTestLog(deadline time.Duration, routes ...ident.RouteID) *testLog {
	l := &testLog{state: config.NewState(), tried: map[string]int{}}
	l.put(&config.Version{ID: oldV, Model: testModel, Weights: "w1"})
	l.put(&config.Version{ID: newV, Model: testModel, Weights: "w2"})
	l.put(&config.Model{ID: testModel, CurrentVersion: oldV, BlockTokens: 1024})
	for _, id := range []ident.RouteID{"quote", "note", "rare"} {
		l.put(&config.Route{ID: id, Team: testTeam, Kind: config.RouteModel, Model: testModel, OnKeyWithdrawal: config.WithdrawalFinish})
	}
	if deadline > 0 {
		l.begin(deadline, routes...)
	}
	return l
}

// begin creates the move.
func (l *testLog) begin(deadline time.Duration, routes ...ident.RouteID) {
	l.put(&config.Move{
		ID: testMove, Team: testTeam, Model: testModel, From: oldV, To: newV, Routes: routes,
		Deadline: time.Now().Add(deadline), State: config.MoveRunning, StateSince: time.Now(),
	})
}

func (l *testLog) put(e config.Entity) {
	rec := config.NewRecord("setup", "test", l.state.Revision(config.PathOf(e)), e)
	if _, err := l.Write(context.Background(), rec); err != nil {
		panic(err)
	}
}

func (l *testLog) Write(_ context.Context, rec *wire.Record) (ident.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tried[rec.GetAuthor()]++
	if l.down {
		return 0, unavailableError{}
	}
	offset := l.state.Offset() + 1
	next, err := l.state.Apply(offset, rec)
	l.state = next
	if err != nil {
		return 0, err
	}
	if m, ok := next.Move(testMove); ok && rec.GetMove() != nil {
		l.moves = append(l.moves, *m)
	}
	return offset, nil
}

func (l *testLog) current() *config.State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state
}

// triedBy returns how many records a daemon has tried to write.
func (l *testLog) triedBy(id ident.DaemonID) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tried[string(id)]
}

func (l *testLog) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

func (l *testLog) move() config.Move {
	m, ok := l.current().Move(testMove)
	if !ok {
		return config.Move{}
	}
	return *m
}

// behaviour says how one request goes at an engine of a version.
type behaviour func(r request) answer

type request struct {
	Target
	at     time.Time
	share  ident.Permille
	rng    *rand.Rand
	uncach ident.Tokens
	// ahead are the tokens that the engine computes before the request's own.
	ahead ident.Tokens
}

type answer struct {
	ttft, itl time.Duration
	outcome   Outcome
	faulty    bool
}

// healthy is how a good version answers: a few failures, latencies with a long tail.
func healthy(r request) answer {
	base := 40*time.Millisecond + prefillTime(r.uncach+r.ahead)
	a := answer{outcome: OutcomeComplete}
	a.ttft = time.Duration(float64(base) * math.Exp(r.rng.NormFloat64()*0.35))
	a.itl = time.Duration(float64(25*time.Millisecond) * math.Exp(r.rng.NormFloat64()*0.15))
	if r.rng.Float64() < 0.002 {
		a.outcome = OutcomeFailed
	}
	return a
}

func prefillTime(n ident.Tokens) time.Duration { return time.Duration(n) * 60 * time.Microsecond }

// fleet is several daemons before one log, with traffic.
type fleet struct {
	log     *testLog
	daemons []*daemon
	rng     *rand.Rand
	rate    float64
	routes  []ident.RouteID
	orgs    []ident.OrganisationID
	answer  map[ident.VersionID]behaviour
	// rare is a route that gets few of the requests; average hides routes and organisations from the watch.
	rare    ident.RouteID
	average bool
	// caches gives the engines caches and queues; nil draws the uncached part of each prompt.
	caches *caches

	mu                sync.Mutex
	total, toNew, bad int
	firstFault        time.Time
	lastToNew         time.Time
	wg                sync.WaitGroup
}

// daemon is one daemon's decision code.
type daemon struct {
	id       ident.DaemonID
	fleet    *fleet
	splitter *Splitter
	watch    *Monitor
	owner    *Controller
	// picker takes the place of splitter for requests, in mutants.
	picker *Splitter

	mu     sync.Mutex
	frozen *config.State
	// gone daemons neither serve nor are seen; crashed ones never come back.
	gone, crashed bool
	cancel        context.CancelFunc
}

func newFleet(seed uint64, n int, rate float64, log *testLog, routes ...ident.RouteID) *fleet {
	f := &fleet{
		log: log, rng: rand.New(rand.NewPCG(seed, 1)), rate: rate, routes: routes,
		orgs:   []ident.OrganisationID{"survey", "mill", "ledger", "audit", "mirror"},
		answer: map[ident.VersionID]behaviour{oldV: healthy, newV: healthy},
	}
	for i := range n {
		f.daemons = append(f.daemons, f.newDaemon(ident.DaemonID(fmt.Sprintf("d%d", i)), 1))
	}
	return f
}

func (f *fleet) newDaemon(id ident.DaemonID, incarnation ident.Incarnation) *daemon {
	d := &daemon{id: id, fleet: f, splitter: &Splitter{}}
	d.watch = &Monitor{Splitter: d.splitter}
	d.owner = &Controller{
		Daemon: id, Incarnation: incarnation, State: d.state, Writer: f.log, LiveDaemons: f.live,
		HoldsLease: func() bool { return !d.isGone() },
		Splitter:   d.splitter, Monitor: d.watch,
	}
	return d
}

func (d *daemon) state() *config.State {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.frozen != nil {
		return d.frozen
	}
	return d.fleet.log.current()
}

func (d *daemon) isGone() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.gone
}

// freeze makes the daemon see nothing newer and the others not see it.
func (d *daemon) freeze() {
	state := d.fleet.log.current()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.frozen, d.gone = state, true
}

func (d *daemon) thaw() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.frozen, d.gone = nil, d.crashed
}

func (f *fleet) live() []ident.DaemonID {
	var ids []ident.DaemonID
	for _, d := range f.daemons {
		if !d.isGone() {
			ids = append(ids, d.id)
		}
	}
	return ids
}

// run starts all daemons and the traffic until ctx ends.
func (f *fleet) run(ctx context.Context) {
	for _, d := range f.daemons {
		d.run(ctx)
	}
	f.wg.Go(func() { f.drive(ctx) })
}

func (d *daemon) run(ctx context.Context) {
	ctx, d.cancel = context.WithCancel(ctx)
	d.splitter.Update(d.state())
	d.fleet.wg.Go(func() { d.owner.Run(ctx) })
	d.fleet.wg.Go(func() { d.gossip(ctx) })
}

// crash ends the daemon for good.
func (d *daemon) crash() {
	d.mu.Lock()
	d.gone, d.crashed = true, true
	d.mu.Unlock()
	d.cancel()
}

func (d *daemon) gossip(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-d.watch.UrgentDigest():
			time.Sleep(50 * time.Millisecond)
		}
		if d.isGone() {
			continue
		}
		rows := d.watch.Digest()
		time.Sleep(3 * time.Millisecond)
		for _, peer := range d.fleet.daemons {
			if peer != d && !peer.isGone() {
				peer.watch.Merge(d.id, d.owner.Incarnation, rows)
			}
		}
	}
}

// drive sends requests with exponential gaps.
func (f *fleet) drive(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(time.Duration(f.rng.ExpFloat64() / f.currentRate() * float64(time.Second)))
		d := f.daemons[f.rng.IntN(len(f.daemons))]
		if d.isGone() {
			continue
		}
		org := f.orgs[min(int(f.rng.ExpFloat64()*1.5), len(f.orgs)-1)]
		route := f.routes[f.rng.IntN(len(f.routes))]
		if f.rare != "" && f.rng.IntN(30) == 0 {
			route = f.rare
		}
		rng := rand.New(rand.NewPCG(f.rng.Uint64(), 2))
		id := ident.RequestID(fmt.Sprintf("r%d", n))
		f.wg.Go(func() { f.serve(d, id, org, route, rng) })
	}
}

func (f *fleet) serve(d *daemon, id ident.RequestID, org ident.OrganisationID, route ident.RouteID, rng *rand.Rand) {
	family := ident.BlockHash(rng.IntN(families) + 1)
	v := f.pickerOf(d).Version(SplitKey{Model: testModel, Route: route, Organisation: org, Request: id, PrefixHash: family})
	at := Target{
		Model: testModel, Route: route, Version: v, Organisation: org,
		Upstream: ident.UpstreamID(fmt.Sprintf("%s-e%d", v, rng.IntN(3))),
	}
	r := request{Target: at, at: time.Now(), share: f.log.move().Share, rng: rng, uncach: ident.Tokens(rng.IntN(4)) * 1024}
	f.mu.Lock()
	work := r.uncach
	if f.caches != nil {
		work = f.caches.take(&r, family)
	}
	a := f.answer[v](r)
	f.mu.Unlock()
	f.count(r, a)
	if f.average {
		r.Route, r.Organisation = "quote", ""
	}
	fl := d.watch.Begin(r.Target, work)
	time.Sleep(a.ttft)
	n := 0
	if a.outcome == OutcomeComplete || a.outcome == OutcomeTruncated {
		fl.FirstToken(0)
		n = 20
		if a.outcome == OutcomeTruncated {
			n = 1 + rng.IntN(19)
		}
		for i := range n - 1 {
			time.Sleep(a.itl)
			fl.Tokens(ident.Tokens(i + 2))
		}
	}
	fl.End(a.outcome, ident.Tokens(n))
}

func (f *fleet) pickerOf(d *daemon) *Splitter {
	f.mu.Lock()
	defer f.mu.Unlock()
	if d.picker != nil {
		return d.picker
	}
	return d.splitter
}

func (f *fleet) count(r request, a answer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.log.move().ID == "" {
		return
	}
	f.total++
	if r.Version == newV {
		f.toNew++
		f.lastToNew = time.Now()
	}
	if !a.faulty {
		return
	}
	f.bad++
	if f.firstFault.IsZero() {
		f.firstFault = time.Now()
	}
}

func (f *fleet) setAnswer(v ident.VersionID, b behaviour) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answer[v] = b
}

// faultToLast is the time from the first faulty request to the last one sent to the new version.
func (f *fleet) faultToLast() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastToNew.Sub(f.firstFault)
}

func (f *fleet) setRate(perSecond float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rate = perSecond
}

func (f *fleet) currentRate() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rate
}
