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
	testModel  = ident.ModelID("ledger")
	testMove   = ident.MoveID("m1")
	testTeam   = ident.TeamID("alder")
	oldVersion = ident.VersionID("v1")
	newVersion = ident.VersionID("v2")
	// testPrefixes is the number of different prefixes of the requests.
	testPrefixes = 40
)

// unavailableError is returned while the log is down.
type unavailableError struct{}

func (unavailableError) Error() string { return "the log is unavailable" }

// testLog is a stand-in for the log service that applies records to a configuration.
type testLog struct {
	mu            sync.Mutex
	state         *config.State
	down          bool
	writeAttempts map[string]int
	history       []config.Move
}

func newTestLog(deadline time.Duration, routes ...ident.RouteID) *testLog {
	l := &testLog{state: config.NewState(), writeAttempts: map[string]int{}}
	l.put(&config.Version{ID: oldVersion, Model: testModel, Weights: "w1"})
	l.put(&config.Version{ID: newVersion, Model: testModel, Weights: "w2"})
	l.put(&config.Model{ID: testModel, CurrentVersion: oldVersion, BlockTokens: 1024})
	for _, id := range []ident.RouteID{"quote", "note", "rare"} {
		l.put(&config.Route{ID: id, Team: testTeam, Kind: config.RouteModel, Model: testModel, OnKeyWithdrawal: config.WithdrawalFinish})
	}
	if deadline > 0 {
		l.createMove(deadline, routes...)
	}
	return l
}

// createMove creates the test move.
func (l *testLog) createMove(deadline time.Duration, routes ...ident.RouteID) {
	l.put(&config.Move{
		ID: testMove, Team: testTeam, Model: testModel, From: oldVersion, To: newVersion, Routes: routes,
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
	l.writeAttempts[rec.GetAuthor()]++
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
		l.history = append(l.history, *m)
	}
	return offset, nil
}

func (l *testLog) current() *config.State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state
}

// writeAttemptsBy returns how many records a daemon has tried to write.
func (l *testLog) writeAttemptsBy(id ident.DaemonID) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.writeAttempts[string(id)]
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

// behaviour returns the answer of an engine of a version to one request.
type behaviour func(r request) answer

type request struct {
	Target
	at             time.Time
	share          ident.Permille
	rng            *rand.Rand
	uncachedTokens ident.Tokens
	// queuedTokens are the tokens that the engine computes before the request's own.
	queuedTokens ident.Tokens
}

type answer struct {
	ttft, itl time.Duration
	outcome   Outcome
	faulty    bool
}

// healthyAnswer is how a good version answers: 0.2 % failures, latencies with a long tail.
func healthyAnswer(r request) answer {
	base := 40*time.Millisecond + prefillTime(r.uncachedTokens+r.queuedTokens)
	a := answer{outcome: OutcomeComplete}
	a.ttft = time.Duration(float64(base) * math.Exp(r.rng.NormFloat64()*0.35))
	a.itl = time.Duration(float64(25*time.Millisecond) * math.Exp(r.rng.NormFloat64()*0.15))
	if r.rng.Float64() < 0.002 {
		a.outcome = OutcomeFailed
	}
	return a
}

func prefillTime(n ident.Tokens) time.Duration { return time.Duration(n) * 60 * time.Microsecond }

// fleet is several daemons that share one log, with traffic.
type fleet struct {
	log        *testLog
	daemons    []*daemon
	rng        *rand.Rand
	rate       float64
	routes     []ident.RouteID
	orgs       []ident.OrganisationID
	behaviours map[ident.VersionID]behaviour
	// rareRoute gets few of the requests. aggregate counts all requests on one route without an organisation.
	rareRoute ident.RouteID
	aggregate bool
	// caches simulates the engines' caches and queues; if it is nil, the uncached part of each prompt is random.
	caches *engineCaches

	mu                          sync.Mutex
	total, toNewVersion, faulty int
	firstFaultAt                time.Time
	lastToNewAt                 time.Time
	wg                          sync.WaitGroup
}

// daemon holds the parts of one daemon that decide on moves.
type daemon struct {
	id         ident.DaemonID
	fleet      *fleet
	splitter   *Splitter
	monitor    *Monitor
	controller *Controller
	// requestSplitter replaces splitter for requests if it is set, to simulate a defect.
	requestSplitter *Splitter

	mu          sync.Mutex
	frozenState *config.State
	// offline daemons neither serve nor are seen by others; crashed ones never come back.
	offline, crashed bool
	cancel           context.CancelFunc
}

func newFleet(seed uint64, n int, rate float64, log *testLog, routes ...ident.RouteID) *fleet {
	f := &fleet{
		log: log, rng: rand.New(rand.NewPCG(seed, 1)), rate: rate, routes: routes,
		orgs:       []ident.OrganisationID{"survey", "mill", "ledger", "audit", "mirror"},
		behaviours: map[ident.VersionID]behaviour{oldVersion: healthyAnswer, newVersion: healthyAnswer},
	}
	for i := range n {
		f.daemons = append(f.daemons, f.newDaemon(ident.DaemonID(fmt.Sprintf("d%d", i)), 1))
	}
	return f
}

func (f *fleet) newDaemon(id ident.DaemonID, incarnation ident.Incarnation) *daemon {
	d := &daemon{id: id, fleet: f, splitter: &Splitter{}}
	d.monitor = &Monitor{Splitter: d.splitter}
	d.controller = &Controller{
		Daemon: id, Incarnation: incarnation, State: d.state, Writer: f.log, LiveDaemons: f.live,
		HoldsLease: func() bool { return !d.isOffline() },
		Splitter:   d.splitter, Monitor: d.monitor,
	}
	return d
}

func (d *daemon) state() *config.State {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.frozenState != nil {
		return d.frozenState
	}
	return d.fleet.log.current()
}

func (d *daemon) isOffline() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.offline
}

// freeze stops the daemon from seeing new records and takes it offline, like a paused process.
func (d *daemon) freeze() {
	state := d.fleet.log.current()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.frozenState, d.offline = state, true
}

func (d *daemon) thaw() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.frozenState, d.offline = nil, d.crashed
}

func (f *fleet) live() []ident.DaemonID {
	var ids []ident.DaemonID
	for _, d := range f.daemons {
		if !d.isOffline() {
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
	f.wg.Go(func() { f.sendRequests(ctx) })
}

func (d *daemon) run(ctx context.Context) {
	ctx, d.cancel = context.WithCancel(ctx)
	d.splitter.Update(d.state())
	d.fleet.wg.Go(func() { d.controller.Run(ctx) })
	d.fleet.wg.Go(func() { d.gossip(ctx) })
}

// crash ends the daemon for good.
func (d *daemon) crash() {
	d.mu.Lock()
	d.offline, d.crashed = true, true
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
		case <-d.monitor.UrgentDigest():
			time.Sleep(50 * time.Millisecond)
		}
		if d.isOffline() {
			continue
		}
		rows := d.monitor.Digest()
		time.Sleep(3 * time.Millisecond)
		for _, peer := range d.fleet.daemons {
			if peer != d && !peer.isOffline() {
				peer.monitor.Merge(d.id, d.controller.Incarnation, rows)
			}
		}
	}
}

// sendRequests sends requests with exponentially distributed gaps.
func (f *fleet) sendRequests(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(time.Duration(f.rng.ExpFloat64() / f.currentRate() * float64(time.Second)))
		d := f.daemons[f.rng.IntN(len(f.daemons))]
		if d.isOffline() {
			continue
		}
		org := f.orgs[min(int(f.rng.ExpFloat64()*1.5), len(f.orgs)-1)]
		route := f.routes[f.rng.IntN(len(f.routes))]
		if f.rareRoute != "" && f.rng.IntN(30) == 0 {
			route = f.rareRoute
		}
		rng := rand.New(rand.NewPCG(f.rng.Uint64(), 2))
		id := ident.RequestID(fmt.Sprintf("r%d", n))
		f.wg.Go(func() { f.serve(d, id, org, route, rng) })
	}
}

func (f *fleet) serve(d *daemon, id ident.RequestID, org ident.OrganisationID, route ident.RouteID, rng *rand.Rand) {
	prefix := ident.BlockHash(rng.IntN(testPrefixes) + 1)
	version := f.splitterFor(d).Version(SplitKey{Model: testModel, Route: route, Organisation: org, RequestID: id, PrefixHash: prefix})
	at := Target{
		Model: testModel, Route: route, Version: version, Organisation: org,
		Upstream: ident.UpstreamID(fmt.Sprintf("%s-e%d", version, rng.IntN(3))),
	}
	r := request{Target: at, at: time.Now(), share: f.log.move().Share, rng: rng, uncachedTokens: ident.Tokens(rng.IntN(4)) * 1024}
	f.mu.Lock()
	work := r.uncachedTokens
	if f.caches != nil {
		work = f.caches.assign(&r, prefix)
	}
	a := f.behaviours[version](r)
	f.mu.Unlock()
	f.count(r, a)
	if f.aggregate {
		r.Route, r.Organisation = "quote", ""
	}
	attempt := d.monitor.Begin(r.Target, work)
	time.Sleep(a.ttft)
	n := 0
	if a.outcome == OutcomeComplete || a.outcome == OutcomeTruncated {
		attempt.FirstToken(0)
		n = 20
		if a.outcome == OutcomeTruncated {
			n = 1 + rng.IntN(19)
		}
		for i := range n - 1 {
			time.Sleep(a.itl)
			attempt.Tokens(ident.Tokens(i + 2))
		}
	}
	attempt.End(a.outcome, ident.Tokens(n))
}

func (f *fleet) splitterFor(d *daemon) *Splitter {
	f.mu.Lock()
	defer f.mu.Unlock()
	if d.requestSplitter != nil {
		return d.requestSplitter
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
	if r.Version == newVersion {
		f.toNewVersion++
		f.lastToNewAt = time.Now()
	}
	if !a.faulty {
		return
	}
	f.faulty++
	if f.firstFaultAt.IsZero() {
		f.firstFaultAt = time.Now()
	}
}

func (f *fleet) setBehaviour(version ident.VersionID, b behaviour) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.behaviours[version] = b
}

// faultToLastRequest is the time from the first faulty request to the last one sent to the new version.
func (f *fleet) faultToLastRequest() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastToNewAt.Sub(f.firstFaultAt)
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
