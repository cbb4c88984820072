package health

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

func engines(n int) map[ident.UpstreamID]*config.Upstream {
	all := map[ident.UpstreamID]*config.Upstream{}
	for i := range n {
		id := ident.UpstreamID(fmt.Sprintf("e%02d", i))
		all[id] = &config.Upstream{ID: id, Kind: config.UpstreamEngine, Model: "m"}
	}
	return all
}

func TestUpdateKeepsStateOfRemainingUpstreams(t *testing.T) {
	table := &Table{}
	require.Empty(t, table.Update(engines(3)))
	u := table.Upstream("e00")
	u.ApplyReport(extern.LoadReport{Incarnation: 4}, time.Now())
	removed := table.Update(engines(2))
	require.Equal(t, []ident.UpstreamID{"e02"}, removed)
	require.Same(t, u, table.Upstream("e00"))
	require.Len(t, table.Engines("m"), 2)
	require.Empty(t, table.Engines("other"))
}

func TestLoadCorrectsLaggingReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &Table{}
		table.Update(engines(1))
		u := table.Upstream("e00")
		u.ObservePrefill(1000, time.Second)
		beforeReport := u.Begin(300, time.Now())
		time.Sleep(time.Second)
		u.ApplyReport(extern.LoadReport{Incarnation: 1, QueuedTokens: 5000, Lag: 500 * time.Millisecond}, time.Now())
		require.EqualValues(t, 4500, u.Load(time.Now()).QueuedTokens, "500 tokens were computed since; the report includes the earlier request")
		afterReport := u.Begin(700, time.Now())
		require.EqualValues(t, 5200, u.Load(time.Now()).QueuedTokens)
		afterReport.FirstToken()
		require.EqualValues(t, 4500, u.Load(time.Now()).QueuedTokens)
		require.Equal(t, 1, u.Load(time.Now()).Requests)
		afterReport.End()
		beforeReport.End()
		beforeReport.End()
		require.Zero(t, u.Load(time.Now()).Requests)
		time.Sleep(ReportStaleAfter)
		require.Zero(t, u.Load(time.Now()).QueuedTokens)
		require.False(t, u.Load(time.Now()).Reported)
	})
}

// ObserveQueueWait raises the queue factor of a slow engine above 1. Load then counts the reported tokens several times, but
// OutstandingTokens must not: they are tokens, not time.
func TestOutstandingTokensLimitQueueFactorToOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &Table{}
		table.Update(engines(1))
		u := table.Upstream("e00")
		u.ObservePrefill(1000, time.Second)
		request := u.Begin(300, time.Now())
		require.EqualValues(t, 300, u.OutstandingTokens(time.Now()))
		time.Sleep(time.Second)
		u.ApplyReport(extern.LoadReport{Incarnation: 1, QueuedTokens: 5000}, time.Now())
		for range 50 {
			u.ObserveQueueWait(5000, time.Minute)
		}
		require.Greater(t, u.Load(time.Now()).QueuedTokens, ident.Tokens(15000))
		require.EqualValues(t, 5000, u.OutstandingTokens(time.Now()))
		request.End()
	})
}

func TestApplyReportIgnoresOlderIncarnationsAndFigures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &Table{}
		table.Update(engines(1))
		u := table.Upstream("e00")
		time.Sleep(time.Minute)
		require.False(t, u.ApplyReport(extern.LoadReport{Incarnation: 2, QueuedTokens: 7, Versions: []ident.VersionID{"v1"}}, time.Now()))
		u.ApplyReport(extern.LoadReport{Incarnation: 2, QueuedTokens: 9, Lag: time.Second}, time.Now())
		u.ApplyReport(extern.LoadReport{Incarnation: 1, QueuedTokens: 9}, time.Now())
		require.EqualValues(t, 7, u.Load(time.Now()).QueuedTokens)
		serves, known := u.Serves("v1")
		require.True(t, serves && known)
		require.True(t, u.ApplyReport(extern.LoadReport{Incarnation: 3}, time.Now()), "restarted")
		serves, known = u.Serves("v1")
		require.True(t, !serves && known)
		require.InDelta(t, minSlowStartShare, u.Weight(time.Now()), 1e-9)
		time.Sleep(SlowStartTime / 2)
		require.InDelta(t, 0.5, u.Weight(time.Now()), 0.01)
		time.Sleep(SlowStartTime)
		require.InDelta(t, 1, u.Weight(time.Now()), 1e-9)
	})
}

func TestLeavingReturnsTimeSinceLeavingBegan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &Table{}
		table.Update(engines(1))
		_, leaving := table.Upstream("e00").LeavingFor(time.Now())
		require.False(t, leaving)
		cfg := engines(1)
		cfg["e00"].Leaving = true
		table.Update(cfg)
		time.Sleep(time.Second)
		table.Update(cfg)
		leavingFor, leaving := table.Upstream("e00").LeavingFor(time.Now())
		require.True(t, leaving)
		require.Equal(t, time.Second, leavingFor)
		table.Update(engines(1))
		_, leaving = table.Upstream("e00").LeavingFor(time.Now())
		require.False(t, leaving)
	})
}

func TestEjectionTimeDoublesUntilSuccess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &Table{}
		table.Update(engines(3))
		u := table.Upstream("e00")
		fail := func() bool { return table.RecordFailure(u, time.Now()) }
		require.False(t, fail())
		table.RecordSuccess(u, time.Now())
		require.False(t, fail())
		require.False(t, fail())
		require.True(t, fail())
		require.True(t, u.Ejected(time.Now()))
		time.Sleep(BaseEjectionTime)
		require.False(t, u.Ejected(time.Now()))
		require.InDelta(t, minSlowStartShare, u.Weight(time.Now()), 1e-9)
		require.True(t, table.RecordUnreachable(u, time.Now()))
		time.Sleep(BaseEjectionTime)
		require.True(t, u.Ejected(time.Now()), "the second ejection is longer")
		time.Sleep(BaseEjectionTime + SlowStartTime)
		table.RecordSuccess(u, time.Now())
		require.True(t, table.RecordUnreachable(u, time.Now()))
		time.Sleep(BaseEjectionTime)
		require.False(t, u.Ejected(time.Now()), "a success resets the ejection time")
	})
}

// A fault that hits all engines of a model must not eject all of them. Engines fail at random; at most a third of them, or
// one of two, may be ejected at the same time, and a single engine never.
func TestEjectedShareIsBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(rt, "engines")
		table := &Table{}
		table.Update(engines(n))
		all := table.Engines("m")
		now := time.Now()
		for range rapid.IntRange(1, 100).Draw(rt, "steps") {
			u := rapid.SampledFrom(all).Draw(rt, "engine")
			switch rapid.IntRange(0, 3).Draw(rt, "what") {
			case 0:
				table.RecordUnreachable(u, now)
			case 1:
				table.RecordFailure(u, now)
			case 2:
				now = now.Add(time.Second)
			default:
				table.RecordSuccess(u, now)
			}
			ejected := 0
			for _, e := range all {
				if e.Ejected(now) {
					ejected++
				}
			}
			bound := max(1, n/3)
			if n == 1 {
				bound = 0
			}
			if ejected > bound {
				rt.Fatalf("%d of %d engines are ejected", ejected, n)
			}
		}
	})
}

func TestObservationsUpdateEstimates(t *testing.T) {
	table := &Table{}
	table.Update(engines(1))
	u := table.Upstream("e00")
	require.EqualValues(t, DefaultPrefillTokensPerSecond, u.PrefillRate())
	u.SetPeerPrefillRate(500)
	require.EqualValues(t, 500, u.PrefillRate())
	for range 200 {
		u.ObservePrefill(4000, time.Second)
		u.ObserveCacheHits(1000, 500)
	}
	require.InDelta(t, 4000, u.PrefillRate(), 40)
	require.InDelta(t, 0.5, u.CacheHitAccuracy(), 0.01)
	u.SetPeerPrefillRate(1)
	u.ObservePrefill(0, time.Second)
	u.ObserveCacheHits(0, 0)
	require.InDelta(t, 4000, u.PrefillRate(), 40)
}
