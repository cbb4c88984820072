package reload

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/coordination/place"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

func engine(id string, currentVersion int64, requests int) candidate {
	return candidate{engine: &view.Upstream{ID: ident.UpstreamID(id)}, currentVersion: currentVersion, version: 9, requests: requests}
}

func TestOldestVersionLoadsFirstThenLeastBusyEngine(t *testing.T) {
	all := []candidate{engine("idle", 3, 0), engine("busy", 2, 9), engine("calm", 3, 1), engine("old", 2, 4)}
	picked := nextToDrain(12, 4, unavailableCounts{}, all)
	var ids []string
	for _, c := range picked {
		ids = append(ids, string(c.engine.ID))
	}
	require.Equal(t, []string{"old", "busy", "idle", "calm"}, ids)
}

func TestNumberOfUnavailableEnginesIsLimited(t *testing.T) {
	for total, loads := range map[int]int{1: 1, 2: 1, 3: 1, 8: 2, 9: 2, 12: 2, 18: 3, 60: 10, 117: 20, 140: 24} {
		require.Equal(t, loads, new(pacer).allowedConcurrency(total), "%d engines", total)
	}
	two := []candidate{engine("a", 1, 0), engine("b", 1, 0)}
	require.Len(t, nextToDrain(2, 1, unavailableCounts{}, two), 1, "one of two engines stays available")
	require.Empty(t, nextToDrain(2, 1, unavailableCounts{loading: 1, endingSoon: 1, total: 1}, two),
		"the second waits until the first is back")
	require.Empty(t, nextToDrain(12, 2, unavailableCounts{draining: 2, total: 2}, two))
	require.Empty(t, nextToDrain(12, 2, unavailableCounts{draining: 1, loading: 1, total: 2}, two))
	require.Len(t, nextToDrain(12, 2, unavailableCounts{loading: 2, endingSoon: 1, total: 2}, two), 1, "one engine drains while a load ends")
	require.Empty(t, nextToDrain(12, 2, unavailableCounts{draining: 1, loading: 2, endingSoon: 1, total: 3}, two))
}

func TestEngineLoadsWhenIdleOrAfterMaxDrainTime(t *testing.T) {
	now := time.Now()
	j := &job{phaseSince: now.Add(-100 * time.Millisecond)}
	require.True(t, mayLoad(j, 0, 0, 2, now))
	require.False(t, mayLoad(j, 1, 0, 2, now), "requests are outstanding")
	require.False(t, mayLoad(j, 0, 2, 2, now), "two engines are loading")
	require.True(t, mayLoad(&job{phaseSince: now.Add(-maxDrainTime)}, 3, 0, 2, now))
	require.False(t, mayLoad(&job{phaseSince: now}, 0, 0, 2, now), "the other daemons may not know yet")
}

func TestReportLagDoesNotDelayNextLoad(t *testing.T) {
	now := time.Now()
	p := &pacer{expectedTime: 1500 * time.Millisecond}
	j := &job{phase: phaseLoading, phaseSince: now.Add(-p.expectedTime + reportLag)}
	require.True(t, j.expectedToEndWithin(0, p, now))
	require.Zero(t, countUnavailable(map[ident.UpstreamID]*job{"a": j}, p, now).loading)
	require.False(t, j.expectedToEndWithin(0, p, now.Add(2*reportLag+time.Millisecond)),
		"a load that takes longer than expected may end at any time")
	require.False(t, j.expectedToEndWithin(0, &pacer{}, now), "without an estimate a load counts until it is seen to end")
	j.phase = phaseDraining
	require.False(t, j.expectedToEndWithin(0, p, now))
}

func TestLoadReportedInProgressIsNotOverdue(t *testing.T) {
	now, p := time.Now(), &pacer{}
	j := &job{phase: phaseLoading, phaseSince: now.Add(-2 * minOverdueTime)}
	require.True(t, j.overdue(p, now))
	j.lastBusyAt = now.Add(-reportLag)
	require.False(t, j.overdue(p, now))
	j.lastBusyAt = time.Time{}
	require.False(t, j.overdue(&pacer{expectedTime: minOverdueTime}, now), "the limit grows with the expected load time")
}

// loadTimeModel returns the time of a load by concurrency, for a weight store that serves fullSpeedLoads loads at full
// speed.
func loadTimeModel(load time.Duration, fullSpeedLoads int) func(concurrentLoads int) time.Duration {
	return func(concurrentLoads int) time.Duration {
		return load*time.Duration(max(fullSpeedLoads, concurrentLoads))/time.Duration(fullSpeedLoads) + 2*reportLag
	}
}

func TestPacerLearnsConcurrencyFromLoadTimes(t *testing.T) {
	for name, c := range map[string]struct {
		engines, allowedConcurrency int
		load                        time.Duration
	}{
		"9 engines":             {9, 2, 1300 * time.Millisecond},
		"140 engines":           {140, 28, 1300 * time.Millisecond},
		"12 engines":            {12, 2, 570 * time.Millisecond},
		"one full-speed load":   {12, 1, 2 * time.Second},
		"a third at full speed": {60, 20, 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			p, took := &pacer{}, loadTimeModel(c.load, c.allowedConcurrency)
			for range 40 {
				concurrency := p.allowedConcurrency(c.engines)
				for range concurrency {
					p.observe(took(concurrency), concurrency, c.engines)
				}
				p.observe(took(1), 1, c.engines)
			}
			concurrency := p.allowedConcurrency(c.engines)
			require.GreaterOrEqual(t, concurrency+concurrencyStep(c.allowedConcurrency), c.allowedConcurrency)
			require.LessOrEqual(t, took(concurrency), time.Duration(slowdownFactor*float64(took(1))))
			require.InEpsilon(t, took(concurrency), p.expectedTime, slowdownFactor-1)
		})
	}
}

func TestOneHangingLoadDoesNotChangeEstimate(t *testing.T) {
	p, took := &pacer{}, loadTimeModel(time.Second, 2)
	for range 20 {
		p.observe(took(2), 2, 12)
	}
	concurrency := p.allowedConcurrency(12)
	p.observe(30*time.Second, concurrency, 12)
	require.Equal(t, took(2), p.expectedTime)
	require.Equal(t, concurrency, p.allowedConcurrency(12))
}

func TestNextLeaderStartsFromPeerEstimate(t *testing.T) {
	p, took := &pacer{}, loadTimeModel(1300*time.Millisecond, 2)
	for range 20 {
		p.observe(took(p.allowedConcurrency(12)), p.allowedConcurrency(12), 12)
		p.observe(took(1), 1, 12)
	}
	next := &pacer{}
	next.setPrior(Estimate{})
	require.False(t, next.hasEstimate(), "an estimate without a load time is ignored")
	next.setPrior(p.estimate())
	require.Equal(t, p.expectedTime, next.expectedTime)
	require.Equal(t, p.allowedConcurrency(12), next.allowedConcurrency(12))
	next.observe(2*time.Second, 1, 12)
	next.setPrior(Estimate{LoadTime: time.Minute, Concurrency: 9})
	require.Equal(t, 2*time.Second, next.expectedTime, "own observations take precedence")
	implausible := &pacer{}
	implausible.setPrior(Estimate{LoadTime: time.Second, Concurrency: 1 << 30})
	require.LessOrEqual(t, implausible.allowedConcurrency(12), 4)
}

// A load that another daemon ordered may end just after this daemon's order and then seems to have taken no time.
func TestImplausiblyShortLoadsDoNotChangeEstimate(t *testing.T) {
	for _, engines := range []int{9, 12, 117} {
		p, took := &pacer{}, loadTimeModel(time.Second, (engines+4)/5)
		for i := range 60 {
			concurrency := p.allowedConcurrency(engines)
			if i%9 == 4 {
				p.observe(50*time.Millisecond, 1+i%concurrency, engines)
			}
			p.observe(took(concurrency), concurrency, engines)
		}
		require.GreaterOrEqual(t, p.allowedConcurrency(engines), new(pacer).allowedConcurrency(engines)/2)
		require.InEpsilon(t, took(p.allowedConcurrency(engines)), p.expectedTime, 0.3)
	}
}

// Guards against loads of weights by engines that leave, or want nothing for a while.
func TestEngineWithNoticeGetsNoOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &view.Upstream{ID: "e", Service: "llm", Incarnation: 1, State: view.UpstreamReady, Weights: map[ident.ModelID]int64{"m": 1}}
		snapshots := &view.Snapshots{}
		snapshots.SetUpstreams(view.NewUpstreams(map[ident.UpstreamID]*view.Upstream{u.ID: u}, 1))
		r := &Runner{Snapshots: snapshots, Placer: &place.Placer{Snapshots: snapshots}}
		outdated := func() int { return len(r.outdatedEngines([]*view.Upstream{u}, "m", 2)) }
		require.Equal(t, 1, outdated())
		r.Placer.Pause(u, time.Second)
		require.Zero(t, outdated())
		time.Sleep(time.Second)
		require.Equal(t, 1, outdated())
		r.Placer.MarkLeaving(u)
		require.Zero(t, outdated())
	})
}

// Guards against a leader that tells of an engine's load after the engine has restarted, perhaps with the weights from before it.
func TestLoadIsNotReportedAfterRestartOfEngine(t *testing.T) {
	engine := func(incarnation ident.Incarnation) *view.Upstream {
		return &view.Upstream{ID: "e", Service: "llm", Incarnation: incarnation, State: view.UpstreamReady, Weights: map[ident.ModelID]int64{"m": 1}}
	}
	snapshots := &view.Snapshots{}
	list := func(u *view.Upstream) {
		snapshots.SetUpstreams(view.NewUpstreams(map[ident.UpstreamID]*view.Upstream{u.ID: u}, 1))
	}
	list(engine(1))
	r := &Runner{Snapshots: snapshots, Placer: &place.Placer{Snapshots: snapshots}, OnChange: func() {}, finishedLoads: map[ident.UpstreamID]finishedLoad{}}
	r.finishLoad(&job{engine: engine(1), model: "m", version: 2}, 2)
	require.Equal(t, []EngineStatus{{Engine: "e", Model: "m", Version: 2}}, r.EngineStatuses())
	require.Empty(t, r.outdatedEngines([]*view.Upstream{engine(1)}, "m", 2))
	list(engine(2))
	require.Empty(t, r.EngineStatuses())
	require.Len(t, r.outdatedEngines([]*view.Upstream{engine(2)}, "m", 2), 1, "it has to load again")
}
