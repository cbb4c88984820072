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

// TestDecisionsKeepTheRules drives a router with events, reports, restarts, leaving engines and failures at random and
// checks each decision against what the test knows of the engines.
func TestDecisionsKeepTheRules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var stopped any
		synctest.Test(t, func(*testing.T) {
			defer func() { stopped = recover() }()
			checkRules(rt)
		})
		if stopped != nil {
			panic(stopped)
		}
	})
}

// truth is what the test knows of an engine.
type truth struct {
	incarnation ident.Incarnation
	sequence    ident.Sequence
	held        map[ident.BlockHash]bool
	versions    []ident.VersionID
	leaving     bool
}

func checkRules(rt *rapid.T) {
	n := rapid.IntRange(1, 6).Draw(rt, "engines")
	r := &Router{
		Policy: PrefixAware{}, Index: &prefix.Index{Capacity: 4096, ExpectedTTL: time.Second}, Health: &health.Table{}, FairShare: &FairShare{},
	}
	known := map[ident.UpstreamID]*truth{}
	for id := range upstreams(n) {
		known[id] = &truth{incarnation: 1, held: map[ident.BlockHash]bool{}, versions: []ident.VersionID{"v1"}}
	}
	configure := func() {
		cfg := upstreams(n)
		for id, e := range known {
			cfg[id].Leaving = e.leaving
		}
		r.Update(cfg)
	}
	configure()
	pick := rapid.Map(rapid.IntRange(0, n-1), func(i int) ident.UpstreamID { return ident.UpstreamID(fmt.Sprintf("e%02d", i)) })
	chains := rapid.SliceOfN(rapid.Map(rapid.Uint64Range(1, 5), func(v uint64) ident.BlockHash { return ident.BlockHash(v) }), 0, 4)
	tell := func(id ident.UpstreamID, queued int) {
		e := known[id]
		(&EventSink{Router: r, Upstream: id}).LoadReport(extern.LoadReport{
			Incarnation: e.incarnation, QueuedTokens: ident.Tokens(queued), Versions: e.versions,
		})
	}
	rt.Repeat(map[string]func(*rapid.T){
		"event": func(t *rapid.T) {
			id := pick.Draw(t, "engine")
			e := known[id]
			e.sequence++
			ev := extern.CacheEvent{Added: chains.Draw(t, "added"), Removed: chains.Draw(t, "removed")}
			ev.Position = extern.EnginePosition{Incarnation: e.incarnation, Sequence: e.sequence}
			for _, hash := range ev.Removed {
				delete(e.held, hash)
			}
			for _, hash := range ev.Added {
				e.held[hash] = true
			}
			(&EventSink{Router: r, Upstream: id}).CacheEvent(ev)
		},
		"report": func(t *rapid.T) {
			tell(pick.Draw(t, "engine"), rapid.IntRange(0, 100_000).Draw(t, "queued"))
		},
		"restart": func(t *rapid.T) {
			id := pick.Draw(t, "engine")
			e := known[id]
			e.incarnation++
			e.sequence, e.held = 0, map[ident.BlockHash]bool{}
			tell(id, 0)
		},
		"versions": func(t *rapid.T) {
			id := pick.Draw(t, "engine")
			known[id].versions = rapid.SampledFrom([][]ident.VersionID{{"v1"}, {"v2"}, {"v1", "v2"}, {}}).Draw(t, "versions")
			tell(id, 0)
		},
		"leave": func(t *rapid.T) {
			known[pick.Draw(t, "engine")].leaving = rapid.Bool().Draw(t, "leaving")
			configure()
		},
		"fail": func(t *rapid.T) {
			r.Health.RecordFailure(r.Health.Upstream(pick.Draw(t, "engine")), time.Now())
		},
		"sleep": func(t *rapid.T) {
			time.Sleep(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
		},
		"pick": func(t *rapid.T) { checkPick(t, r, known, chains.Draw(t, "chain")) },
	})
}

func checkPick(t *rapid.T, r *Router, known map[ident.UpstreamID]*truth, chain []ident.BlockHash) {
	d, err := r.Pick(request(chain...))
	if err != nil {
		return
	}
	e := known[d.Upstream]
	if e.leaving {
		t.Fatalf("%s is leaving", d.Upstream)
	}
	serves, reported := r.Health.Upstream(d.Upstream).Serves("v1")
	if reported && !serves {
		t.Fatalf("%s has not loaded the version", d.Upstream)
	}
	for i := range int(d.ExpectedCachedTokens / blockTokens) {
		if !e.held[chain[i]] {
			t.Fatalf("%s does not hold block %d of %v, incarnation %d", d.Upstream, i, chain, e.incarnation)
		}
	}
}

// TestLoadIsBounded sends one hot prefix many times before any answer and checks that no engine's queue grows far
// beyond the shortest one.
func TestLoadIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRouter(6, PrefixAware{})
		p := PrefixAware{}
		hold(r, "e03", 1, 2, 3, 4, 5, 6, 7, 8)
		req := request(1, 2, 3, 4, 5, 6, 7, 8, 9)
		for range 500 {
			d, err := r.Pick(req)
			require.NoError(t, err)
			r.StartAttempt(req, d)
			least, most := math.Inf(1), 0.0
			for _, u := range r.Health.Engines("m") {
				queued := float64(u.Load(time.Now()).Queued)
				least, most = min(least, queued), max(most, queued)
			}
			// A queue may be longer by what copying the prefix costs, the slack, and the request itself.
			bound := float64(req.PromptTokens) * (2 + p.recomputeWeight() + p.slack())
			require.LessOrEqual(t, most-least, bound)
		}
	})
}

func TestADecisionServesOnlyItsOwnScope(t *testing.T) {
	r := newRouter(2, PrefixAware{})
	d, err := r.Pick(request(1))
	require.NoError(t, err)
	var seen []*guard.ViolationError
	defer guard.Capture(func(v *guard.ViolationError) { seen = append(seen, v) })()
	other := request(1)
	other.Scope.Organisation = "audit"
	r.StartAttempt(other, d)
	require.Len(t, seen, 1)
	require.Equal(t, guard.CacheFresh, seen[0].Invariant)
}

func TestNewWorkForAnUpstreamThatLeftIsAViolation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRouter(1, PrefixAware{})
		cfg := upstreams(1)
		cfg["e00"].Leaving = true
		r.Update(cfg)
		time.Sleep(health.LeavingGrace)
		var seen []*guard.ViolationError
		defer guard.Capture(func(v *guard.ViolationError) { seen = append(seen, v) })()
		u := r.Health.Upstream("e00")
		_, refused := r.decide(&candidate{upstream: u, incarnation: u.Incarnation()}, ReasonHolder, request(1), time.Now())
		require.NotNil(t, refused, "a violation is refused, too")
		require.Equal(t, RefusedStale, refused.Reason)
		require.Len(t, seen, 1)
		require.Equal(t, guard.UpstreamLeft, seen[0].Invariant)
	})
}

func TestLargeFleetsAreSampled(t *testing.T) {
	r := newRouter(FullScanLimit*4, PrefixAware{})
	hold(r, "e77", 1, 2, 3)
	d, err := r.Pick(request(1, 2, 3, 4))
	require.NoError(t, err)
	require.EqualValues(t, "e77", d.Upstream, "holders are always weighed")
	cold := request(100, 101)
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

func TestBlocksAreIgnoredWhileOnlyHealthKnowsOfTheRestart(t *testing.T) {
	r := newRouter(2, PrefixAware{})
	hold(r, "e01", 1, 2, 3)
	r.Health.Upstream("e01").UpdateIncarnation(2, time.Now())
	d, err := r.Pick(request(1, 2, 3))
	require.NoError(t, err)
	require.Zero(t, d.ExpectedCachedTokens)
}

func TestADecisionForARestartedEngineIsMadeAgain(t *testing.T) {
	r := newRouter(1, PrefixAware{})
	u := r.Health.Upstream("e00")
	_, refused := r.decide(&candidate{upstream: u, incarnation: u.Incarnation() - 1}, ReasonHolder, request(1), time.Now())
	require.Equal(t, RefusedStale, refused.Reason)
}

func TestOfTwoHoldersTheShorterQueueIsTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRouter(2, PrefixAware{})
		hold(r, "e00", 1, 2, 3)
		hold(r, "e01", 1, 2, 3)
		report(r, "e01", 1, 300)
		for i := range 50 {
			d, err := r.Pick(request(1, 2, 3, ident.BlockHash(100+i)))
			require.NoError(t, err)
			require.EqualValues(t, "e00", d.Upstream)
		}
	})
}
