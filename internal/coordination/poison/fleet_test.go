package poison

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/coordination/fleet"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

const (
	simTick = 20 * time.Millisecond
	// simFirstEvent and simWhole are the times to the first event and to the end of a simulated response.
	simFirstEvent = 80 * time.Millisecond
	simWhole      = 400 * time.Millisecond
	// simCrash is how long an engine takes to crash on a deadly part, simDown how long it is away.
	simCrash   = 100 * time.Millisecond
	simDown    = 3 * time.Second
	simDoc     = 170
	simSystem  = 4
	deadlyPart = Hash(0xdead)
	// deadlyRequest and popularRequest are requests that come again and again, of which the second is sound.
	deadlyRequest  = RequestHash(1 << 30)
	popularRequest = RequestHash(1<<30 + 1)
	// The users' bounds: three requests later than a stability window after the fifth crash.
	stabilityWindow = 3 * time.Second
	allowedRequests = 3
)

// simEngine is a simulated engine.
type simEngine struct {
	listed *view.Upstream
	upAt   time.Time
	starts int
	// cutUntil is until when the engine can't be reached though it runs.
	cutUntil time.Time
	requests []*simRequest
}

type simRequest struct {
	attempt *Attempt
	subject *Request
	daemon  int
	began   time.Time
	deadly  bool
	breaks  bool
	// again says that the request is a caller's repeat.
	again bool
}

// repeated reports whether it is deadlyRequest.
func (r *simRequest) repeated() bool {
	return r.subject.Fingerprint() == requestOf(deadlyRequest).Fingerprint()
}

// simFleet is a fleet of detectors that exchange news with delays and losses, before engines that crash.
type simFleet struct {
	rng *rand.Rand
	// mu guards the engines against checks of their liveness.
	mu      sync.Mutex
	daemons []*Detector
	gone    map[int]bool
	engines []*simEngine
	// loss is the share of messages that are lost, garbled the share of responses that break though the engine runs.
	loss, garbled float64
	// perSecond is the rate of all requests, deadlyShare the share of them with deadlyPart.
	perSecond, deadlyShare float64
	// repeatedShare is the share of requests that are deadlyRequest, popularShare of those that are popularRequest.
	repeatedShare, popularShare float64
	// plain says that requests have no parts, callersRepeat that callers send broken requests once more.
	plain, callersRepeat bool
	repeats              []*Request
	urgent               []atomic.Bool
	heartbeats           int
	sent                 int
	crashes              []time.Time
	// deadlySent holds when deadly requests were sent to engines, repeatsSent when deadlyRequest was, and repeatCrashes when
	// engines ended under it.
	deadlySent, repeatsSent, repeatCrashes []time.Time
	soundRefused, soundSent                int
}

func newSimFleet(t *testing.T, seed uint64, daemons, engines int) *simFleet {
	t.Helper()
	f := &simFleet{rng: rand.New(rand.NewPCG(seed, 27)), gone: map[int]bool{}, perSecond: 70, urgent: make([]atomic.Bool, daemons)}
	for i := range daemons {
		d := &Detector{
			CheckLiveness: f.liveness,
			OnChange:      func() { f.urgent[i].Store(true) },
			NewsDelay:     func() time.Duration { return fleet.ScaledTimeout(0, 2.5, min(daemons, 20)) },
		}
		f.daemons = append(f.daemons, d)
	}
	for i := range engines {
		e := &simEngine{}
		f.engines = append(f.engines, e)
		f.restart(i, e)
	}
	return f
}

func (f *simFleet) restart(i int, e *simEngine) {
	e.starts++
	e.listed = &view.Upstream{ID: ident.UpstreamID(fmt.Sprintf("e%d-%d", i, e.starts)), Incarnation: ident.Incarnation(e.starts), State: view.UpstreamReady}
}

// liveness answers a check at once: a reset and a refused connection are a few milliseconds apart.
func (f *simFleet) liveness(u *view.Upstream) Liveness {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.engines {
		switch now := time.Now(); {
		case e.listed != u:
		case now.Before(e.cutUntil):
			return LivenessUnknown
		case now.Before(e.upAt):
			return LivenessEnded
		default:
			return LivenessAlive
		}
	}
	return LivenessEnded
}

// run advances the fleet. Each tick calls each, if it is not nil.
func (f *simFleet) run(d time.Duration, each func()) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		f.mu.Lock()
		if each != nil {
			each()
		}
		f.arrive()
		f.serve()
		f.gossip()
		f.mu.Unlock()
		time.Sleep(simTick)
		synctest.Wait()
	}
}

// arrive sends new requests to engines that are up.
func (f *simFleet) arrive() {
	for n := f.perSecond * simTick.Seconds(); f.rng.Float64() < n; n-- {
		daemon := f.rng.IntN(len(f.daemons))
		if f.gone[daemon] {
			continue
		}
		r := &simRequest{daemon: daemon, began: time.Now(), deadly: f.rng.Float64() < f.deadlyShare, breaks: f.rng.Float64() < f.garbled}
		r.subject = f.newSubject(r)
		e := f.engines[f.rng.IntN(len(f.engines))]
		if time.Now().Before(e.upAt) || time.Now().Before(e.cutUntil) {
			continue
		}
		f.sent++
		a, err := f.daemons[daemon].Begin(e.listed, r.subject)
		if _, refused := errors.AsType[*QuarantinedError](err); refused {
			if !r.deadly {
				f.soundRefused++
			}
			continue
		}
		if r.deadly {
			f.deadlySent = append(f.deadlySent, time.Now())
			if r.repeated() {
				f.repeatsSent = append(f.repeatsSent, time.Now())
			}
		} else {
			f.soundSent++
		}
		r.attempt = a
		e.requests = append(e.requests, r)
	}
}

// newSubject returns what is judged of a new request.
func (f *simFleet) newSubject(r *simRequest) *Request {
	if len(f.repeats) > 0 {
		s := f.repeats[0]
		f.repeats, r.again, r.deadly = f.repeats[1:], true, false
		return s
	}
	parts := []Hash{Hash(1 + f.rng.IntN(simSystem)), Hash(100 + f.rng.IntN(simDoc))}
	if r.deadly {
		parts = append(parts, deadlyPart)
	}
	if f.plain {
		parts = nil
	}
	id := RequestHash(f.sent)
	switch share := f.rng.Float64(); {
	case share < f.repeatedShare:
		id, r.deadly = deadlyRequest, true
	case share < f.repeatedShare+f.popularShare:
		id = popularRequest
	}
	return requestOf(id, parts...)
}

// serve lets engines answer, break responses and crash.
func (f *simFleet) serve() {
	now := time.Now()
	for i, e := range f.engines {
		if !e.upAt.IsZero() && !now.Before(e.upAt) {
			e.upAt = time.Time{}
			f.restart(i, e)
		}
		if now.Before(e.cutUntil) {
			continue
		}
		var running []*simRequest
		crash := false
		for _, r := range e.requests {
			took := now.Sub(r.began)
			if took >= simFirstEvent && !r.deadly {
				r.attempt.MarkFirstEvent()
			}
			switch {
			case r.deadly && took >= simCrash:
				crash = true
				running = append(running, r)
			case r.breaks && took >= simFirstEvent:
				r.attempt.End(OutcomeBroken)
			case took >= simWhole:
				r.attempt.End(OutcomeAnswered)
			default:
				running = append(running, r)
			}
		}
		e.requests = running
		if crash {
			f.crash(e)
		}
	}
}

// crash ends an engine: all its requests break.
func (f *simFleet) crash(e *simEngine) {
	if time.Now().Before(e.upAt) {
		return
	}
	e.upAt = time.Now().Add(simDown)
	f.crashes = append(f.crashes, time.Now())
	for _, r := range e.requests {
		r.attempt.End(OutcomeBroken)
		if r.repeated() && time.Since(r.began) >= simCrash {
			f.repeatCrashes = append(f.repeatCrashes, time.Now())
		}
		if f.callersRepeat && !r.deadly && !r.again {
			f.repeats = append(f.repeats, r.subject)
		}
	}
	e.requests = nil
}

// crashEach returns a function for run that ends a random engine each period.
func (f *simFleet) crashEach(period time.Duration) func() {
	next := time.Now()
	return func() {
		if !time.Now().Before(next) {
			f.crash(f.engines[f.rng.IntN(len(f.engines))])
			next = time.Now().Add(period)
		}
	}
}

// gossip exchanges heartbeats: every 100 ms, or at once if there is news.
func (f *simFleet) gossip() {
	f.heartbeats++
	for i, d := range f.daemons {
		if f.gone[i] {
			continue
		}
		due := f.heartbeats%5 == 0
		if due {
			d.Tick()
		}
		if !due && !f.urgent[i].Load() {
			continue
		}
		f.urgent[i].Store(false)
		news := d.News(f.heartbeats%50 == 0)
		for j, peer := range f.daemons {
			if j != i && !f.gone[j] && f.rng.Float64() >= f.loss {
				peer.Apply(news)
			}
		}
	}
}

// lateAfter returns how many requests were sent later than a stability window after the nth crash.
func lateAfter(sent, crashes []time.Time, nth int) int {
	n := 0
	for _, at := range sent {
		if len(crashes) >= nth && at.After(crashes[nth-1].Add(stabilityWindow)) {
			n++
		}
	}
	return n
}

// quarantined returns the sets in quarantine at any daemon.
func (f *simFleet) quarantined() map[string]Set {
	out := map[string]Set{}
	for _, d := range f.daemons {
		for _, q := range d.Quarantines() {
			if !q.Released {
				out[q.Subjects.Key()] = q.Subjects
			}
		}
	}
	return out
}

// Guards against crashes of which each is seen by another daemon, so that none of them sees the pattern.
func TestCrashesSeenByDifferentDaemonsAreOneEvidence(t *testing.T) {
	for _, size := range []struct {
		daemons, engines       int
		seconds                time.Duration
		perSecond, deadlyShare float64
		loss                   float64
	}{
		{8, 12, 20, 70, 0.02, 0}, {8, 12, 20, 70, 0.02, 0.3}, {8, 12, 40, 70, 0.005, 0}, {87, 145, 8, 700, 0.02, 0.1}, {195, 124, 8, 1000, 0.02, 0.1},
		{8, 2000, 4, 3000, 0.05, 0}, {410, 700, 6, 1500, 0.01, 0.1},
	} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newSimFleet(t, 1, size.daemons, size.engines)
				f.loss, f.perSecond = size.loss, size.perSecond
				f.run(time.Second, nil)
				f.deadlyShare = size.deadlyShare
				f.run(size.seconds*time.Second, nil)
				require.LessOrEqual(t, lateAfter(f.deadlySent, f.crashes, 5), allowedRequests, "%d crashes", len(f.crashes))
				require.NotEmpty(t, f.quarantined())
				for _, set := range f.quarantined() {
					require.Contains(t, set, deadlyPart)
				}
				require.LessOrEqual(t, f.soundRefused, f.soundSent/1000)
				for _, d := range f.daemons {
					require.Error(t, check(d, 1, 101, 102, deadlyPart), "a part alone is found in the end")
				}
			})
		})
	}
}

// Guards against a request that crashes upstreams again and again under new ids, at any daemon.
func TestRepeatsAtDifferentDaemonsAreOneRequest(t *testing.T) {
	for _, c := range []struct {
		name             string
		daemons, engines int
		seconds          time.Duration
		perSecond, share float64
		loss             float64
		plain            bool
		each             func(f *simFleet) func()
	}{
		{"streams", 8, 12, 20, 70, 0.02, 0.1, false, nil},
		{"plain", 8, 4, 20, 70, 0.01, 0.1, true, nil},
		{"seldom", 8, 12, 60, 70, 0.004, 0.1, false, nil},
		{"large", 195, 124, 5, 600, 0.006, 0.1, false, nil},
		{"few see it", 410, 400, 4, 600, 0.01, 0.1, true, nil},
		{"beside a deadly part", 8, 24, 20, 70, 0.02, 0.1, false, func(f *simFleet) func() {
			f.deadlyShare = 0.03
			return nil
		}},
		{"beside crashes", 8, 24, 30, 70, 0.01, 0.1, false, func(f *simFleet) func() {
			return f.crashEach(700 * time.Millisecond)
		}},
		{"seldom beside crashes of few", 8, 4, 30, 30, 0.03, 0, true, func(f *simFleet) func() {
			f.popularShare, f.callersRepeat = 0.15, true
			return f.crashEach(700 * time.Millisecond)
		}},
		{"seldom beside crashes of many", 8, 12, 30, 30, 0.03, 0, true, func(f *simFleet) func() {
			f.popularShare, f.callersRepeat = 0.15, true
			return f.crashEach(1500 * time.Millisecond)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			seeds := uint64(15)
			if c.daemons > 8 {
				seeds = 1
			}
			for seed := range seeds {
				synctest.Test(t, func(t *testing.T) {
					f := newSimFleet(t, seed, c.daemons, c.engines)
					f.loss, f.perSecond, f.plain = c.loss, c.perSecond, c.plain
					f.run(time.Second, nil)
					f.repeatedShare = c.share
					var each func()
					if c.each != nil {
						each = c.each(f)
					}
					f.run(c.seconds*time.Second, each)
					require.LessOrEqual(t, lateAfter(f.repeatsSent, f.repeatCrashes, 3), allowedRequests, "seed %d, %d crashes", seed, len(f.crashes))
					for _, d := range f.daemons {
						require.Error(t, d.Check(requestOf(deadlyRequest)), "seed %d", seed)
					}
					require.LessOrEqual(t, f.soundRefused, f.soundSent/1000, "seed %d", seed)
				})
			}
		})
	}
}

// Guards against a quarantine of parts that did not cause the crashes, cuts and broken responses under them.
func TestFaultsWithoutDeadlyPartQuarantineNone(t *testing.T) {
	faults := map[string]func(f *simFleet) func(){
		"crashes one after the other": func(f *simFleet) func() {
			return f.crashEach(700 * time.Millisecond)
		},
		"all crash at once, again and again": func(f *simFleet) func() {
			next := time.Now()
			return func() {
				if !time.Now().Before(next) {
					for _, e := range f.engines {
						f.crash(e)
					}
					next = time.Now().Add(5 * time.Second)
				}
			}
		},
		"an engine crashes whenever it is back": func(f *simFleet) func() {
			return func() {
				if e := f.engines[0]; len(e.requests) > 3 {
					f.crash(e)
				}
			}
		},
		"cut off, then unregistered": func(f *simFleet) func() {
			next := time.Now()
			return func() {
				if time.Now().Before(next) {
					return
				}
				next = time.Now().Add(2 * time.Second)
				e := f.engines[f.rng.IntN(len(f.engines))]
				e.cutUntil = time.Now().Add(4 * time.Second)
				for _, r := range e.requests {
					r.attempt.End(OutcomeBroken)
				}
				e.requests = nil
				for _, d := range f.daemons {
					d.ApplyList(&view.Upstreams{})
				}
			}
		},
		"a popular request beside crashes": func(f *simFleet) func() {
			f.plain, f.popularShare = true, 0.2
			return f.crashEach(400 * time.Millisecond)
		},
		"callers repeat what broke": func(f *simFleet) func() {
			f.callersRepeat = true
			return f.crashEach(700 * time.Millisecond)
		},
		"garbled responses": func(f *simFleet) func() {
			f.garbled = 0.2
			return nil
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(8) {
				synctest.Test(t, func(t *testing.T) {
					f := newSimFleet(t, seed, 8, 12)
					f.run(2*time.Second, nil)
					f.run(60*time.Second, fault(f))
					require.Empty(t, f.quarantined(), "seed %d", seed)
				})
			}
		})
	}
}

// Guards against evidence that is lost with the daemon that saw it, and against daemons that start too late to have heard it.
func TestEvidenceOutlivesDaemonAndReachesLateStarter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimFleet(t, 3, 8, 12)
		f.gone[7] = true
		f.run(2*time.Second, nil)
		f.deadlyShare = 0.02
		f.run(10*time.Second, func() {
			// A daemon that has seen crashes is gone soon after.
			if len(f.crashes) >= 2 && time.Since(f.crashes[1]) > 200*time.Millisecond {
				f.gone[0] = true
			}
		})
		require.NotEmpty(t, f.quarantined())
		f.daemons[7] = &Detector{OnChange: func() {}}
		delete(f.gone, 7)
		f.run(1200*time.Millisecond, nil)
		require.Error(t, check(f.daemons[7], 1, 101, 102, deadlyPart))
		require.LessOrEqual(t, lateAfter(f.deadlySent, f.crashes, 5), allowedRequests)
	})
}

// Guards against a sound request that is quarantined because it was at the ends of upstreams of a service that answered nobody.
func TestPopularRequestOutlivesOutageOfItsService(t *testing.T) {
	for _, perSecond := range []float64{10, 70} {
		for seed := range uint64(12) {
			synctest.Test(t, func(t *testing.T) {
				f := newSimFleet(t, seed, 8, 3)
				f.callersRepeat, f.perSecond, f.plain, f.popularShare = true, perSecond, true, 0.15
				f.run(time.Second, nil)
				f.run(time.Minute, f.crashEach(500*time.Millisecond))
				require.Empty(t, f.quarantined(), "%.0f requests a second, seed %d", perSecond, seed)
			})
		}
	}
}
