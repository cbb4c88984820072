package route

import (
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/guard"
	"github.com/gooseberryway/gooseberryway/internal/state/health"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/prefix"
)

// TestRandomDecisionsChooseValidEngines applies random cache events, load reports, restarts, configuration changes and
// failures to a router. It checks that no decision chooses a leaving engine or one without the version, or counts on
// blocks that are not in the engine's cache.
func TestRandomDecisionsChooseValidEngines(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var panicked any
		synctest.Test(t, func(*testing.T) {
			defer func() { panicked = recover() }()
			checkRandomDecisions(rt)
		})
		if panicked != nil {
			panic(panicked)
		}
	})
}

// engineState is the true state of an engine.
type engineState struct {
	incarnation  ident.Incarnation
	sequence     ident.Sequence
	cachedBlocks map[ident.BlockHash]bool
	versions     []ident.VersionID
	leaving      bool
}

func checkRandomDecisions(rt *rapid.T) {
	n := rapid.IntRange(1, 6).Draw(rt, "engines")
	r := &Router{
		Policy: PrefixAware{}, Index: &prefix.Index{Capacity: 4096, ExpectedTTL: time.Second}, Health: &health.Table{}, FairShare: &FairShare{},
	}
	engines := map[ident.UpstreamID]*engineState{}
	for id := range upstreams(n) {
		engines[id] = &engineState{incarnation: 1, cachedBlocks: map[ident.BlockHash]bool{}, versions: []ident.VersionID{"v1"}}
	}
	configure := func() {
		cfg := upstreams(n)
		for id, e := range engines {
			cfg[id].Leaving = e.leaving
		}
		r.Update(cfg)
	}
	configure()
	pick := rapid.Map(rapid.IntRange(0, n-1), func(i int) ident.UpstreamID { return ident.UpstreamID(fmt.Sprintf("e%02d", i)) })
	chains := rapid.SliceOfN(rapid.Map(rapid.Uint64Range(1, 5), func(v uint64) ident.BlockHash { return ident.BlockHash(v) }), 0, 4)
	sendReport := func(id ident.UpstreamID, queued int) {
		e := engines[id]
		(&EventSink{Router: r, Upstream: id}).LoadReport(extern.LoadReport{
			Incarnation: e.incarnation, QueuedTokens: ident.Tokens(queued), Versions: e.versions,
		})
	}
	rt.Repeat(map[string]func(*rapid.T){
		"event": func(t *rapid.T) {
			id := pick.Draw(t, "engine")
			e := engines[id]
			e.sequence++
			ev := extern.CacheEvent{Added: chains.Draw(t, "added"), Removed: chains.Draw(t, "removed")}
			ev.Position = extern.EnginePosition{Incarnation: e.incarnation, Sequence: e.sequence}
			for _, hash := range ev.Removed {
				delete(e.cachedBlocks, hash)
			}
			for _, hash := range ev.Added {
				e.cachedBlocks[hash] = true
			}
			(&EventSink{Router: r, Upstream: id}).CacheEvent(ev)
		},
		"report": func(t *rapid.T) {
			sendReport(pick.Draw(t, "engine"), rapid.IntRange(0, 100_000).Draw(t, "queued"))
		},
		"restart": func(t *rapid.T) {
			id := pick.Draw(t, "engine")
			e := engines[id]
			e.incarnation++
			e.sequence, e.cachedBlocks = 0, map[ident.BlockHash]bool{}
			sendReport(id, 0)
		},
		"versions": func(t *rapid.T) {
			id := pick.Draw(t, "engine")
			engines[id].versions = rapid.SampledFrom([][]ident.VersionID{{"v1"}, {"v2"}, {"v1", "v2"}, {}}).Draw(t, "versions")
			sendReport(id, 0)
		},
		"leave": func(t *rapid.T) {
			engines[pick.Draw(t, "engine")].leaving = rapid.Bool().Draw(t, "leaving")
			configure()
		},
		"fail": func(t *rapid.T) {
			r.Health.RecordFailure(r.Health.Upstream(pick.Draw(t, "engine")), time.Now())
		},
		"sleep": func(t *rapid.T) {
			time.Sleep(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
		},
		"pick": func(t *rapid.T) { checkPick(t, r, engines, chains.Draw(t, "chain")) },
	})
}

func checkPick(t *rapid.T, r *Router, engines map[ident.UpstreamID]*engineState, chain []ident.BlockHash) {
	d, err := r.Pick(newRequest(chain...))
	if err != nil {
		return
	}
	e := engines[d.Upstream]
	if e.leaving {
		t.Fatalf("%s is leaving", d.Upstream)
	}
	serves, reported := r.Health.Upstream(d.Upstream).Serves("v1")
	if reported && !serves {
		t.Fatalf("%s has not loaded the version", d.Upstream)
	}
	for i := range int(d.ExpectedCachedTokens / blockTokens) {
		if !e.cachedBlocks[chain[i]] {
			t.Fatalf("%s does not cache block %d of %v, incarnation %d", d.Upstream, i, chain, e.incarnation)
		}
	}
}

// TestHotPrefixDoesNotOverloadItsEngine sends requests with one prefix many times before any load report. It guards against
// queueing them all at the engine that has the prefix in its cache.
func TestHotPrefixDoesNotOverloadItsEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRouter(6, PrefixAware{})
		p := PrefixAware{}
		addCachedBlocks(r, "e03", 1, 2, 3, 4, 5, 6, 7, 8)
		req := newRequest(1, 2, 3, 4, 5, 6, 7, 8, 9)
		for range 500 {
			d, err := r.Pick(req)
			require.NoError(t, err)
			r.StartAttempt(req, d)
			least, most := math.Inf(1), 0.0
			for _, u := range r.Health.Engines("m") {
				queued := float64(u.Load(time.Now()).QueuedTokens)
				least, most = min(least, queued), max(most, queued)
			}
			// A queue may be longer by the cost of computing the prefix again, the tie tolerance and the request itself.
			bound := float64(req.PromptTokens) * (2 + p.recomputeWeight() + p.tieTolerance())
			require.LessOrEqual(t, most-least, bound)
		}
	})
}

// TestDecisionForAnotherScopeIsAViolation guards against using the cache of one organisation for another's request.
func TestDecisionForAnotherScopeIsAViolation(t *testing.T) {
	r := newRouter(2, PrefixAware{})
	d, err := r.Pick(newRequest(1))
	require.NoError(t, err)
	var violations []*guard.ViolationError
	defer guard.Capture(func(v *guard.ViolationError) { violations = append(violations, v) })()
	other := newRequest(1)
	other.Scope.Organisation = "audit"
	r.StartAttempt(other, d)
	require.Len(t, violations, 1)
	require.Equal(t, guard.CacheFresh, violations[0].Invariant)
}

// TestDecisionForAnEngineThatLeftIsAViolation guards against new requests to an engine whose leaving grace has passed.
func TestDecisionForAnEngineThatLeftIsAViolation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRouter(1, PrefixAware{})
		cfg := upstreams(1)
		cfg["e00"].Leaving = true
		r.Update(cfg)
		time.Sleep(health.LeavingGrace)
		var violations []*guard.ViolationError
		defer guard.Capture(func(v *guard.ViolationError) { violations = append(violations, v) })()
		u := r.Health.Upstream("e00")
		_, refused := r.decide(&candidate{upstream: u, incarnation: u.Incarnation()}, ReasonPrefixHit, newRequest(1), time.Now())
		require.NotNil(t, refused, "a decision that violates the invariant is also refused")
		require.Equal(t, RefusedStale, refused.Reason)
		require.Len(t, violations, 1)
		require.Equal(t, guard.UpstreamLeft, violations[0].Invariant)
	})
}

// TestManyEnginesAreSampled guards against sampling that misses cached prefixes, sends an uncached prefix to a new engine
// each time, or refuses a request although an engine that was not sampled serves the version.
func TestManyEnginesAreSampled(t *testing.T) {
	r := newRouter(FullScanLimit*4, PrefixAware{})
	addCachedBlocks(r, "e77", 1, 2, 3)
	d, err := r.Pick(newRequest(1, 2, 3, 4))
	require.NoError(t, err)
	require.EqualValues(t, "e77", d.Upstream, "engines with a prefix hit are always considered")
	cold := newRequest(100, 101)
	first, err := r.Pick(cold)
	require.NoError(t, err)
	for range 20 {
		again, refused := r.Pick(cold)
		require.NoError(t, refused)
		require.Equal(t, first.Upstream, again.Upstream)
	}
	for id := range r.Health.Upstreams() {
		if id != "e200" {
			(&EventSink{Router: r, Upstream: id}).LoadReport(extern.LoadReport{Incarnation: 1})
		}
	}
	d, err = r.Pick(cold)
	require.NoError(t, err)
	require.EqualValues(t, "e200", d.Upstream, "the only one that serves the version is found")
}

// TestBlocksAreIgnoredWhenOnlyHealthKnowsOfTheRestart guards against counting on the cache of a restarted engine while the
// index still has the old incarnation.
func TestBlocksAreIgnoredWhenOnlyHealthKnowsOfTheRestart(t *testing.T) {
	r := newRouter(2, PrefixAware{})
	addCachedBlocks(r, "e01", 1, 2, 3)
	r.Health.Upstream("e01").UpdateIncarnation(2, time.Now())
	d, err := r.Pick(newRequest(1, 2, 3))
	require.NoError(t, err)
	require.Zero(t, d.ExpectedCachedTokens)
}

// TestDecisionForARestartedEngineIsStale guards against a decision based on the cache of an engine that restarts during it.
func TestDecisionForARestartedEngineIsStale(t *testing.T) {
	r := newRouter(1, PrefixAware{})
	u := r.Health.Upstream("e00")
	_, refused := r.decide(&candidate{upstream: u, incarnation: u.Incarnation() - 1}, ReasonPrefixHit, newRequest(1), time.Now())
	require.Equal(t, RefusedStale, refused.Reason)
}

// TestShorterQueueOfTwoEnginesWithThePrefixWins guards against sending all requests with hardly any missed block to the
// engine that the hash prefers.
func TestShorterQueueOfTwoEnginesWithThePrefixWins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRouter(2, PrefixAware{})
		addCachedBlocks(r, "e00", 1, 2, 3)
		addCachedBlocks(r, "e01", 1, 2, 3)
		sendLoadReport(r, "e01", 1, 300)
		for i := range 50 {
			d, err := r.Pick(newRequest(1, 2, 3, ident.BlockHash(100+i)))
			require.NoError(t, err)
			require.EqualValues(t, "e00", d.Upstream)
		}
	})
}
