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
	turn   chan struct{}
	cached map[string]bool
	dark   bool
}

type pattern struct {
	// hot is the share of requests for one chain.
	hot float64
	// dark engines answer nothing from the second second on.
	dark int
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

// chooser picks an engine for a chain; done is called when the prompt is read and when the answer ends.
type chooser func(chain int) (engine int, fetch bool, started func(), ended func(lost bool))

func replay(t *testing.T, p pattern, seed uint64, choose chooser) *result {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 1))
	sims := make([]*simEngine, engines)
	for i := range sims {
		sims[i] = &simEngine{turn: make(chan struct{}, 1), cached: map[string]bool{}}
	}
	var mu sync.Mutex
	res, seen := &result{}, map[string]bool{}
	var wg sync.WaitGroup
	begun := time.Now()
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
		e, fetch, started, ended := choose(chain)
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
			key := fmt.Sprint(chain)
			work := time.Duration(ownTokens) * time.Millisecond / readPerMs
			mu.Lock()
			switch known := seen[key]; {
			case sim.cached[key]:
			case fetch && known:
				work += chainTokens * time.Millisecond / fetchPerMs
			default:
				work += chainTokens * time.Millisecond / readPerMs
				if known {
					res.reread++
				}
			}
			mu.Unlock()
			time.Sleep(work)
			sim.cached[key] = true
			<-sim.turn
			mu.Lock()
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
	b := &view.Board{}
	byID := map[ident.UpstreamID]*view.Upstream{}
	for i := range engines {
		u := engineAt(i)
		byID[u.ID] = u
	}
	b.SetUpstreams(view.NewUpstreams(byID, 1))
	b.SetWeights(view.Weights{Model: "m", Version: 1, NamedAt: time.Now()})
	return &Placer{Board: b, OlderLimit: 7 * time.Second}
}

func engineAt(i int) *view.Upstream {
	return &view.Upstream{
		ID: ident.UpstreamID(fmt.Sprintf("e%02d", i)), Service: "llm", Address: fmt.Sprintf("10.0.0.%d:1", i), Slots: 64,
		State: view.UpstreamReady, Weights: map[ident.ModelID]int64{"m": 1}, Started: 1,
	}
}

func workFor(chain int) *Work {
	return &Work{
		Service: "llm", Model: "m", Input: chainTokens + ownTokens,
		Parts: []Part{{"sys", 2500}, {fmt.Sprint("chain", chain), 3800}, {"own", ownTokens}},
	}
}

func placed(t *testing.T, p *Placer) chooser {
	t.Helper()
	return func(chain int) (int, bool, func(), func(bool)) {
		w := workFor(chain)
		c, err := p.Choose(w)
		require.NoError(t, err)
		ticket := p.Begin(c, w)
		var e int
		_, err = fmt.Sscanf(string(c.Upstream.ID), "e%d", &e)
		require.NoError(t, err)
		return e, c.Fetch != FetchNone, func() { ticket.Heard(); ticket.Started() }, func(lost bool) {
			if lost {
				ticket.End(OutcomeSilent)
				return
			}
			ticket.End(OutcomeGood)
		}
	}
}

// baselines are what the placer is compared with, on the same arrivals.
func baselines() map[string]func() chooser {
	free := func() {}
	return map[string]func() chooser{
		"random": func() chooser {
			rng := rand.New(rand.NewPCG(9, 9))
			return func(int) (int, bool, func(), func(bool)) { return rng.IntN(engines), false, free, func(bool) {} }
		},
		"leastLoad": func() chooser {
			var mu sync.Mutex
			load := make([]int, engines)
			return func(int) (int, bool, func(), func(bool)) {
				mu.Lock()
				defer mu.Unlock()
				e := 0
				for i := range load {
					if load[i] < load[e] {
						e = i
					}
				}
				load[e]++
				return e, false, free, func(bool) { mu.Lock(); load[e]--; mu.Unlock() }
			}
		},
		"hash": func() chooser {
			return func(chain int) (int, bool, func(), func(bool)) {
				return int(chainKey("", fmt.Sprint(chain)) % engines), false, free, func(bool) {}
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
	}
	for name, p := range patterns {
		t.Run(name, func(t *testing.T) {
			var got *result
			synctest.Test(t, func(t *testing.T) { got = replay(t, p, 7, placed(t, newPlacer())) })
			t.Logf("placer: p95 %v, read again %d, lost %d", got.p95(), got.reread, got.lost)
			for base, start := range baselines() {
				var other *result
				synctest.Test(t, func(t *testing.T) { other = replay(t, p, 7, start()) })
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
