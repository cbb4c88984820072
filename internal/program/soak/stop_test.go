package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/scope"
	"github.com/gooseberryway/gooseberryway/platform/standin"
)

const (
	stopDaemons          = 6
	stopCallersPerDaemon = 20
	stopGrace            = 8 * time.Second
	// keptPerDaemon is the number of connections to each daemon that callers keep open for further requests.
	keptPerDaemon = 300
	// restartGap is how long a stopped daemon is away, and stopAgainAfter how long some run until they are stopped again.
	restartGap     = 500 * time.Millisecond
	stopAgainAfter = 4 * time.Second
	// rareShares says, by the seed, one in how many answers takes longAnswer instead of shortAnswer, is silent for a while or is a long stream.
	shortAnswer = 150 * time.Millisecond
	longAnswer  = 3500 * time.Millisecond
	// Streams of streamEvents events take longStreamTime to twice that.
	streamEvents   = 300
	longStreamTime = 5 * time.Second
	shortDeadline  = 4 * time.Second
	longDeadline   = 12 * time.Second
	minUpload      = 1 << 20
	// Percentages of requests with an unframed answer and an early one.
	unframedPercent = 8
	earlyPercent    = 4
	// badPercent is the share of answers that no caller may get, half of which are cut while the request is sent; where such are played.
	badPercent          = 50
	defaultStopSeconds  = 18
	defaultMixedSeconds = 8
)

var rareShares = [...]int{60, 20, 25}

// stopRun plays planned stops and changes of configuration, without other faults, and judges each answer.
type stopRun struct {
	*checker
	*cluster
	upstreams []*standin.FaultyUpstream
	// bad adds answers that no caller may get.
	bad bool

	stopMu sync.Mutex
	// kept holds the idle connections to each daemon, terms and hups the times of its signals.
	kept        map[*process][]*keptConn
	terms, hups map[*process][]time.Time
	calls       []*call
	// callersDone is closed once all callers have ended.
	callersDone chan struct{}
}

// Guards against answers that daemons cut, or give up for an upstream's silence, as they are stopped. SOAK_SEED, SOAK_SEEDS, SOAK_SECONDS,
// SOAK_DAEMONS and SOAK_FROM choose what is played.
func TestPlannedStopsLoseNoAnswer(t *testing.T) { runStopSeeds(t, false, defaultStopSeconds) }

// Guards against answers that upstreams break off, or that are malformed, and reach callers as sound ones. The same variables hold.
func TestNoBrokenAnswerReachesCallersAsWhole(t *testing.T) {
	runStopSeeds(t, true, defaultMixedSeconds)
}

func runStopSeeds(t *testing.T, bad bool, seconds int) {
	t.Helper()
	binary := buildBinary(t)
	older := buildOlder(t)
	if n, err := strconv.Atoi(os.Getenv("SOAK_SECONDS")); err == nil && n > 0 {
		seconds = n
	}
	for _, seed := range versionSeeds() {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			newStopRun(t, cmp.Or(older, binary), seed, bad).run(binary, time.Duration(seconds)*time.Second, older != "")
		})
	}
}

func newStopRun(t *testing.T, binary string, seed uint64, bad bool) *stopRun {
	t.Helper()
	s := &stopRun{
		checker: &checker{t: t, seed: seed}, cluster: startStore(t, binary, 8*time.Second), bad: bad, callersDone: make(chan struct{}),
		kept: map[*process][]*keptConn{}, terms: map[*process][]time.Time{}, hups: map[*process][]time.Time{},
	}
	s.grace = stopGrace
	s.routeTimeouts = map[string]time.Duration{"note": longDeadline, "draft": shortDeadline, "order": shortDeadline, "lookup": shortDeadline}
	s.configure(2, "key-a")
	for i := range 2 * workersPerService {
		service := [...]string{"llm", "app"}[i%2]
		u := &standin.FaultyUpstream{Address: standin.FreeAddress(), Scripted: true, Rand: rand.New(rand.NewPCG(seed, uint64(4000+i)))}
		if service == "llm" {
			u.Model = "m"
		}
		require.NoError(t, u.Start(fmt.Sprint(service, "-", i)))
		t.Cleanup(u.Close)
		id, registration := u.Registration(service, u.Address, "ready")
		s.store.Put("keyed.servers", id, registration)
		s.upstreams = append(s.upstreams, u)
	}
	daemons := stopDaemons
	if n, err := strconv.Atoi(os.Getenv("SOAK_DAEMONS")); err == nil && n > 0 {
		daemons = n
	}
	for i := range daemons {
		s.addDaemon(fmt.Sprint("d", i), false)
	}
	return s
}

func (s *stopRun) run(binary string, d time.Duration, upgrades bool) {
	t := s.cluster.t
	t.Cleanup(func() { s.keepLogsOnFailure(s.seed) })
	s.waitReady()
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	rng := func(n int) *rand.Rand { return rand.New(rand.NewPCG(s.seed, uint64(n))) }
	var wg, callers sync.WaitGroup
	for i, p := range s.processes {
		for j := range stopCallersPerDaemon {
			callers.Go(func() { s.runStopCaller(ctx, p, j%4 == 0, rng(100+i*stopCallersPerDaemon+j)) })
		}
	}
	wg.Go(func() { s.playStops(ctx, rng(1)) })
	wg.Go(func() { s.playChanges(ctx, rng(2)) })
	wg.Go(func() { s.slowEngines(ctx, rng(3)) })
	if upgrades {
		// What is started later is the present build.
		time.AfterFunc(d/2, func() {
			for _, p := range s.processes {
				p.mu.Lock()
				p.binary = binary
				p.mu.Unlock()
			}
		})
	}
	callers.Wait()
	close(s.callersDone)
	wg.Wait()
	s.judge()
}

// playStops stops daemons in series that overlap, at times all of them at once.
func (s *stopRun) playStops(ctx context.Context, rng *rand.Rand) {
	var wg sync.WaitGroup
	defer wg.Wait()
	scope.Sleep(ctx, stopAgainAfter)
	for first := 0; ctx.Err() == nil; {
		n, gap := 1+rng.IntN(seriesLength), time.Duration(rng.IntN(1500))*time.Millisecond
		if rng.IntN(5) == 0 {
			n, gap = len(s.processes), 0
		}
		for range n {
			p, again := s.processes[first%len(s.processes)], rng.IntN(3) == 0
			first++
			wg.Go(func() { s.stop(ctx, p, again) })
			scope.Sleep(ctx, gap)
		}
		scope.Sleep(ctx, time.Duration(1500+rng.IntN(2500))*time.Millisecond)
	}
}

// stop ends a daemon as planned and starts it again, twice on request. It does nothing while the daemon is stopped already.
func (s *stopRun) stop(ctx context.Context, p *process, again bool) {
	p.mu.Lock()
	if p.restarting {
		p.mu.Unlock()
		return
	}
	p.restarting = true
	age := time.Since(p.startedAt)
	p.mu.Unlock()
	time.Sleep(startTime - age)
	s.noteSignal(s.terms, p)
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(stopGrace):
		p.kill()
	case <-s.callersDone:
		return
	}
	s.closeKept(p)
	time.Sleep(restartGap)
	s.startDaemon(p)
	if again && scope.Sleep(ctx, stopAgainAfter) {
		s.stop(ctx, p, false)
	}
}

func (s *stopRun) noteSignal(times map[*process][]time.Time, p *process) {
	s.stopMu.Lock()
	defer s.stopMu.Unlock()
	times[p] = append(times[p], time.Now())
}

// playChanges writes configurations and lets daemons read their settings again, also while they stop.
func (s *stopRun) playChanges(ctx context.Context, rng *rand.Rand) {
	for version := 3; scope.Sleep(ctx, time.Duration(500+rng.IntN(1500))*time.Millisecond); version++ {
		if rng.IntN(2) == 0 {
			s.configure(version, "key-a")
			continue
		}
		if p := s.processes[rng.IntN(len(s.processes))]; p.signalIfRunning(syscall.SIGHUP) {
			s.noteSignal(s.hups, p)
		}
	}
}

// slowEngines lets some engines, as many as the seed says, be silent for long before they answer, and then others.
func (s *stopRun) slowEngines(ctx context.Context, rng *rand.Rand) {
	for i := 0; ctx.Err() == nil; i++ {
		for j := range workersPerService {
			d := time.Duration(0)
			if j <= int(s.seed%3) {
				d = silence(rng)
			}
			s.upstreams[2*((i+j)%workersPerService)].SetSlow(d)
		}
		scope.Sleep(ctx, time.Duration(1500+rng.IntN(2500))*time.Millisecond)
	}
}

// silence returns how long a sound upstream sends nothing.
func silence(rng *rand.Rand) time.Duration {
	return time.Duration(1600+rng.IntN(1800)) * time.Millisecond
}

// newCall draws a request and what the upstream does with it.
func (s *stopRun) newCall(rng *rand.Rand) *call {
	q := &call{kind: [...]string{"note", "draft", "order", "lookup"}[rng.IntN(4)], deadline: shortDeadline}
	x, share := &q.script, rareShares[s.seed%uint64(len(rareShares))]
	x.Time = shortAnswer
	if isGeneration(q.kind) {
		x.Events = 2
	}
	if rng.IntN(100) < unframedPercent {
		x.Form = standin.FormUnframed
	}
	switch {
	case rng.IntN(share) == 0:
		x.Time, x.Silence, x.QuietEvent = longAnswer, longAnswer, x.Events
	case isGeneration(q.kind) && rng.IntN(share) == 0:
		x.Events, x.Silence, x.QuietEvent = 6, silence(rng), 3+3*rng.IntN(2)
		x.Time = x.Silence + shortAnswer
	case q.kind == "note" && !s.bad && rng.IntN(share) == 0:
		x.Events, x.Time = streamEvents, longStreamTime+time.Duration(rng.Int64N(int64(longStreamTime)))
		q.deadline = longDeadline
	case !isGeneration(q.kind) && rng.IntN(100) < earlyPercent:
		x.Form, x.Time, q.upload = standin.FormEarly, 0, minUpload*(1+rng.IntN(3))
	}
	if n := rng.IntN(100); s.bad && n < badPercent {
		x.Form = standin.MalformedForms[rng.IntN(len(standin.MalformedForms))]
		if n < badPercent/2 {
			x.Form, x.Time, q.upload = standin.FormEarlyReset, 0, minUpload*(1+rng.IntN(3))
		}
	}
	return q
}
