package place

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// The replay drives the placer with the load of a service: engines that read one prompt after the other at 50 tokens a
// millisecond, prompts of which two thirds are shared, and a fetch that takes a fifth of the time of reading.
const (
	engines     = 12
	readPerMs   = 50
	fetchPerMs  = 250
	chainTokens = 6300
	ownTokens   = 2900
	chains      = 160
)

type simEngine struct {
	// turn is a lock that synctest knows to wait for.
	turn chan struct{}
	// cached are the chains that were read since the engine has its version of the weights.
	cached  map[string]bool
	version int64
	dark    bool
}

type pattern struct {
	// hot is the share of requests for one chain.
	hot float64
	// dark engines answer nothing from the second second on.
	dark int
	// newWeights are named after one second and then loaded by two engines after the other.
	newWeights bool
	// perSecond requests arrive for so long.
	perSecond int
	length    time.Duration
}

type result struct {
	first  []time.Duration
	reread int
	lost   int
}

func (r *result) p95() time.Duration {
	slices.Sort(r.first)
	return r.first[len(r.first)*95/100]
}

// chooser picks an engine for a chain and the engine from which it is fetched, -1 for none; started and ended are called
// when the prompt is read and when the answer ends.
type chooser func(chain int) (engine, from int, started func(), ended func(lost bool))

// noFetch says that a prompt is read.
const noFetch = -1

// loads tells a chooser of engines that load weights; nil where it doesn't heed them.
type loads struct {
	named, begun, done func(engine int)
}

// loadTime is how long an engine loads weights.
const loadTime = 600 * time.Millisecond

// loadWeights lets all engines load new weights, two at a time.
func loadWeights(sims []*simEngine, mu *sync.Mutex, tell *loads) {
	time.Sleep(time.Second)
	if tell != nil {
		tell.named(0)
	}
	var wg sync.WaitGroup
	for first := range 2 {
		wg.Go(func() {
			for i := first; i < len(sims); i += 2 {
				if tell != nil {
					tell.begun(i)
				}
				sims[i].turn <- struct{}{}
				time.Sleep(loadTime)
				mu.Lock()
				sims[i].cached = map[string]bool{}
				sims[i].version = 2
				mu.Unlock()
				<-sims[i].turn
				if tell != nil {
					tell.done(i)
				}
			}
		})
	}
	wg.Wait()
}

func replay(t *testing.T, p pattern, seed uint64, choose chooser, tell *loads) *result {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 1))
	sims := make([]*simEngine, engines)
	for i := range sims {
		sims[i] = &simEngine{turn: make(chan struct{}, 1), cached: map[string]bool{}, version: 1}
	}
	var mu sync.Mutex
	res, seen := &result{}, map[string]bool{}
	var wg sync.WaitGroup
	begun := time.Now()
	if p.newWeights {
		wg.Go(func() { loadWeights(sims, &mu, tell) })
	}
	for time.Since(begun) < p.length {
		time.Sleep(time.Second / time.Duration(p.perSecond))
		if time.Since(begun) > time.Second {
			for i := range p.dark {
				sims[i].dark = true
			}
		}
		chain := rng.IntN(chains)
		if rng.Float64() < p.hot {
			chain = 0
		}
		arrived := time.Now()
		e, from, started, ended := choose(chain)
		sim := sims[e]
		dark := sim.dark
		wg.Go(func() {
			if dark {
				time.Sleep(3 * time.Second)
				ended(true)
				mu.Lock()
				res.lost++
				// A lost request has waited in vain, which counts as much as a late one.
				res.first = append(res.first, time.Since(arrived))
				mu.Unlock()
				return
			}
			sim.turn <- struct{}{}
			mu.Lock()
			key := fmt.Sprint(sim.version, " ", chain)
			work := time.Duration(ownTokens) * time.Millisecond / readPerMs
			switch {
			case sim.cached[key]:
			case from >= 0 && sims[from].cached[key]:
				work += chainTokens * time.Millisecond / fetchPerMs
			default:
				work += chainTokens * time.Millisecond / readPerMs
				if seen[key] {
					res.reread++
				}
			}
			mu.Unlock()
			time.Sleep(work)
			mu.Lock()
			sim.cached[key] = true
			<-sim.turn
			seen[key] = true
			res.first = append(res.first, time.Since(arrived))
			mu.Unlock()
			started()
			time.Sleep(200 * time.Millisecond)
			ended(false)
		})
	}
	wg.Wait()
	return res
}

func newPlacer() *Placer {
	b := &view.Snapshots{}
	byID := map[ident.UpstreamID]*view.Upstream{}
	for i := range engines {
		u := engineAt(i)
		byID[u.ID] = u
	}
	b.SetUpstreams(view.NewUpstreams(byID, 1))
	b.SetWeights(view.Weights{Model: "m", Version: 1, NamedAt: time.Now()})
	return &Placer{Snapshots: b, OldWeightsGrace: 7 * time.Second}
}

func engineAt(i int) *view.Upstream {
	return &view.Upstream{
		ID: ident.UpstreamID(fmt.Sprintf("e%02d", i)), Service: "llm", Address: fmt.Sprintf("10.0.0.%d:1", i), Slots: 64,
		State: view.UpstreamReady, Weights: map[ident.ModelID]int64{"m": 1}, Incarnation: 1,
	}
}

func workFor(chain int) *Request {
	return &Request{
		Service: "llm", Model: "m", Input: chainTokens + ownTokens,
		Parts: []Part{{"sys", 2500}, {fmt.Sprint("chain", chain), 3800}, {"own", ownTokens}},
	}
}

func placed(t *testing.T, p *Placer) chooser {
	t.Helper()
	return func(chain int) (int, int, func(), func(bool)) {
		w := workFor(chain)
		c, err := p.Choose(w)
		require.NoError(t, err)
		ticket := p.Begin(c, w)
		var e int
		_, err = fmt.Sscanf(string(c.Upstream.ID), "e%d", &e)
		require.NoError(t, err)
		from := noFetch
		if c.Fetch == FetchEngine {
			_, err = fmt.Sscanf(c.SourceAddress, "10.0.0.%d:", &from)
			require.NoError(t, err)
		}
		return e, from, func() { ticket.MarkActive(); ticket.MarkFirstEvent() }, func(lost bool) {
			if lost {
				ticket.End(OutcomeTimeout)
				return
			}
			ticket.End(OutcomeSucceeded)
		}
	}
}

// heeded tells a placer of engines that load weights, as the holder of the duty does.
func heeded(p *Placer) *loads {
	return &loads{
		named: func(int) { p.Snapshots.SetWeights(view.Weights{Model: "m", Version: 2, NamedAt: time.Now()}) },
		begun: func(i int) { p.SetLoading(engineAt(i).ID, time.Minute) },
		done: func(i int) {
			p.SetWeightVersion(engineAt(i), "m", 2)
			p.SetLoading(engineAt(i).ID, 0)
		},
	}
}

// baselines are what the placer is compared with, on the same arrivals.
func baselines() map[string]func() chooser {
	free := func() {}
	return map[string]func() chooser{
		"random": func() chooser {
			rng := rand.New(rand.NewPCG(9, 9))
			return func(int) (int, int, func(), func(bool)) { return rng.IntN(engines), noFetch, free, func(bool) {} }
		},
		"leastLoad": func() chooser {
			var mu sync.Mutex
			load := make([]int, engines)
			return func(int) (int, int, func(), func(bool)) {
				mu.Lock()
				defer mu.Unlock()
				e := 0
				for i := range load {
					if load[i] < load[e] {
						e = i
					}
				}
				load[e]++
				return e, noFetch, free, func(bool) { mu.Lock(); load[e]--; mu.Unlock() }
			}
		},
		"hash": func() chooser {
			return func(chain int) (int, int, func(), func(bool)) {
				return int(chainKey("", fmt.Sprint(chain)) % engines), noFetch, free, func(bool) {}
			}
		},
	}
}

func TestPlacingBeatsTheBaselinesUnderTheWorstLoads(t *testing.T) {
	patterns := map[string]pattern{
		"steady":              {perSecond: 40, length: 20 * time.Second},
		"burst":               {perSecond: 100, length: 8 * time.Second},
		"one hot chain":       {perSecond: 40, length: 20 * time.Second, hot: 0.3},
		"a quarter goes dark": {perSecond: 40, length: 20 * time.Second, dark: 3},
		"new weights":         {perSecond: 40, length: 20 * time.Second, newWeights: true},
	}
	for name, p := range patterns {
		t.Run(name, func(t *testing.T) {
			var got *result
			synctest.Test(t, func(t *testing.T) {
				placer := newPlacer()
				got = replay(t, p, 7, placed(t, placer), heeded(placer))
			})
			t.Logf("placer: p95 %v, read again %d, lost %d", got.p95(), got.reread, got.lost)
			for base, start := range baselines() {
				var other *result
				synctest.Test(t, func(t *testing.T) { other = replay(t, p, 7, start(), nil) })
				t.Logf("%s: p95 %v, read again %d, lost %d", base, other.p95(), other.reread, other.lost)
				require.LessOrEqual(t, got.p95(), other.p95(), base)
				require.LessOrEqual(t, got.lost, other.lost, base)
				if base != "hash" {
					require.Less(t, got.reread, other.reread, base)
				}
			}
		})
	}
}
