package place

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/coordination/reject"
	"github.com/gooseberryway/gooseberryway/internal/coordination/uprate"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/rhash"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// Guards against sending more requests to an engine that hangs or is cut off, before any connection to it has failed.
func TestSilentEngineIsExcludedUntilReachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPlacer()
		c, err := p.Choose(requestFor(1))
		require.NoError(t, err)
		preferred := c.Upstream.ID
		tracker := p.Begin(c, requestFor(1))
		time.Sleep(silenceTimeout + prefillSlackFactor*p.upstreamStates[preferred].prefillTime(c.PrefillTokens) + time.Millisecond)
		require.False(t, tracker.ShouldAbort(), "it may be slow, and no connection has been tried")
		time.Sleep(unreachableConfirmTime)
		require.True(t, tracker.ShouldAbort())
		for range 20 {
			c, err := p.Choose(requestFor(1))
			require.NoError(t, err)
			require.NotEqual(t, preferred, c.Upstream.ID)
		}
		require.Contains(t, p.DownAddresses(), preferred)
		p.MarkReachable(preferred)
		require.Empty(t, p.DownAddresses())
	})
}

// Guards against taking an engine to be down because one of its requests is slow while it answers others.
func TestEngineThatSendsEventsOfAnotherRequestIsNotSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPlacer()
		c, err := p.Choose(requestFor(1))
		require.NoError(t, err)
		first, second := p.Begin(c, requestFor(1)), p.Begin(c, requestFor(1))
		for range 30 {
			time.Sleep(100 * time.Millisecond)
			first.MarkActive()
		}
		require.False(t, second.ShouldAbort(), "the engine sends events of another request")
		require.Empty(t, p.DownAddresses())
	})
}

// Guards against taking an engine to be down because it sends nothing while it loads weights.
func TestEngineThatLoadedWeightsIsNotSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPlacer()
		c, err := p.Choose(requestFor(1))
		require.NoError(t, err)
		tracker := p.Begin(c, requestFor(1))
		p.SetLoading(c.Upstream.ID, time.Second)
		time.Sleep(2 * silenceTimeout)
		p.SetLoading(c.Upstream.ID, 0)
		time.Sleep(silenceTimeout / 2)
		require.False(t, tracker.ShouldAbort(), "requests continue only after the load")
		require.Empty(t, p.DownAddresses())
	})
}

// Guards against requests that run on weights which were replaced longer ago than OldWeightsGrace.
func TestOldWeightsAreExcludedAfterGracePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPlacer()
		p.Snapshots.SetWeights(view.Weights{Model: "m", Version: 2, NamedAt: time.Now()})
		c, err := p.Choose(requestFor(1))
		require.NoError(t, err)
		require.EqualValues(t, 1, c.WeightVersion)
		time.Sleep(p.OldWeightsGrace / 2)
		// A third version must not extend the grace period of the first.
		p.Snapshots.SetWeights(view.Weights{Model: "m", Version: 3, NamedAt: time.Now()})
		time.Sleep(p.OldWeightsGrace/2 + time.Millisecond)
		_, err = p.Choose(requestFor(1))
		var blocked *BlockedError
		require.True(t, errors.As(err, &blocked))
		require.Equal(t, BlockedLoading, blocked.Reason)
		p.SetWeightVersion(engineAt(4), "m", 3)
		c, err = p.Choose(requestFor(1))
		require.NoError(t, err)
		require.EqualValues(t, "e04", c.Upstream.ID)
	})
}

// Guards against expecting a wrong weight version of an engine again after it has refused a request for that reason.
func TestMisdirectedOutcomeResetsWeightVersion(t *testing.T) {
	p := newTestPlacer()
	u := engineAt(3)
	p.Snapshots.SetWeights(view.Weights{Model: "m", Version: 2, NamedAt: time.Now()})
	p.SetWeightVersion(u, "m", 2)
	tracker := p.Begin(&Choice{Upstream: u, WeightVersion: 2}, requestFor(1))
	tracker.End(OutcomeMisdirected)
	require.EqualValues(t, 1, p.WeightVersion(u, "m"))
}

// Guards against excluding an engine because its former incarnation was unreachable.
func TestRestartedEngineIsNotDown(t *testing.T) {
	p := newTestPlacer()
	c, err := p.Choose(requestFor(1))
	require.NoError(t, err)
	p.Begin(c, requestFor(1)).End(OutcomeUnreachable)
	restarted := *c.Upstream
	restarted.Incarnation++
	byID := map[ident.UpstreamID]*view.Upstream{restarted.ID: &restarted}
	p.Snapshots.SetUpstreams(view.NewUpstreams(byID, 2))
	next, err := p.Choose(requestFor(1))
	require.NoError(t, err, "a new incarnation isn't down because the old one was")
	require.Equal(t, &restarted, next.Upstream)
}

// Guards against cache hits across weight versions, across isolated organisations and across pools, also if the name of one looks like
// the digits of a version or like another scope.
func TestCacheSaltsDifferBetweenVersionsAndScopes(t *testing.T) {
	seen := map[string]bool{}
	for _, version := range []int64{1, 2, 12} {
		for _, scope := range []view.CacheScope{{}, {Owner: "2"}, {Owner: "a"}, {Owner: "p."}, {Pool: "2"}, {Pool: "a"}} {
			salt := CacheSalt(version, scope)
			require.False(t, seen[salt], salt)
			seen[salt] = true
		}
	}
}

// Guards against daemons that send the same prefix to different engines.
func TestDaemonsAgreeOnPreferredEngine(t *testing.T) {
	a, b := newTestPlacer(), newTestPlacer()
	for chain := range 50 {
		choiceA, errA := a.Choose(requestFor(chain))
		choiceB, errB := b.Choose(requestFor(chain))
		require.NoError(t, errors.Join(errA, errB))
		require.Equal(t, choiceA.Upstream.ID, choiceB.Upstream.ID)
	}
}

// Guards against ignoring the work of peers, and against counting that of a peer which no longer sends heartbeats.
func TestPeerWorkCountsUntilReportExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPlacer()
		c, err := p.Choose(requestFor(1))
		require.NoError(t, err)
		p.SetPeerWork("peer", map[ident.UpstreamID]OutstandingWork{c.Upstream.ID: {Requests: 20, PrefillTokens: 60000}}, 0)
		next, err := p.Choose(requestFor(1))
		require.NoError(t, err)
		require.NotEqual(t, c.Upstream.ID, next.Upstream.ID)
		time.Sleep(peerReportTTL)
		next, err = p.Choose(requestFor(1))
		require.NoError(t, err)
		require.Equal(t, c.Upstream.ID, next.Upstream.ID)
	})
}

func BenchmarkChoose(b *testing.B) {
	p := newTestPlacer()
	w := requestFor(3)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := p.Choose(w); err != nil {
			b.Fatal(err)
		}
	}
}

// Guards against computing a prefix again that another engine has cached.
func TestSharedPartsAreFetchedFromEngineThatComputedThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPlacer()
		c, err := p.Choose(requestFor(1))
		require.NoError(t, err)
		preferred := c.Upstream
		require.Equal(t, CachedLocal, c.Locality, "the preferred engine is assumed to have the prefixes in use cached")
		peerWork := map[ident.UpstreamID]OutstandingWork{preferred.ID: {PrefillTokens: 60000}}
		p.SetPeerWork("peer", peerWork, 0)
		c, err = p.Choose(requestFor(1))
		require.NoError(t, err)
		require.NotEqual(t, preferred.ID, c.Upstream.ID)
		require.Equal(t, CachedPreferred, c.Locality)
		require.Equal(t, FetchFromEngine, c.Fetch)
		require.Equal(t, preferred.Address, c.SourceAddress)

		// A chain is still fetched from an engine that computed it longer ago than the cache retention.
		second := c.Upstream
		p.Begin(c, requestFor(1)).End(OutcomeSucceeded)
		time.Sleep(defaultCacheRetention + time.Second)
		peerWork[second.ID] = OutstandingWork{PrefillTokens: 60000}
		p.SetPeerWork("peer", peerWork, 0)
		c, err = p.Choose(requestFor(1))
		require.NoError(t, err)
		require.NotContains(t, []ident.UpstreamID{preferred.ID, second.ID}, c.Upstream.ID)
		require.Equal(t, second.Address, c.SourceAddress)
		require.Equal(t, CachedOtherEngine, c.Locality)
	})
}

// Guards against fetching a prefix that was computed with other weights.
func TestNoFetchFromEngineWithNewerWeights(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPlacer()
		c, err := p.Choose(requestFor(1))
		require.NoError(t, err)
		preferred := c.Upstream
		p.Begin(c, requestFor(1)).End(OutcomeSucceeded)
		time.Sleep(time.Second)
		p.Snapshots.SetWeights(view.Weights{Model: "m", Version: 2, NamedAt: time.Now()})
		p.SetWeightVersion(preferred, "m", 2)
		c, err = p.Choose(requestFor(1))
		require.NoError(t, err)
		require.NotEqual(t, preferred.Address, c.SourceAddress)
	})
}

// Guards against taking an engine that has just appeared, as in a rollout, to have the prefixes in use cached.
func TestEngineThatAppearsLaterIsCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPlacer()
		_, err := p.Choose(requestFor(1))
		require.NoError(t, err)
		time.Sleep(startupTime + time.Second)
		started := engineAt(99)
		p.Snapshots.SetUpstreams(view.NewUpstreams(map[ident.UpstreamID]*view.Upstream{started.ID: started}, 2))
		c, err := p.Choose(requestFor(1))
		require.NoError(t, err)
		require.Equal(t, CachedMiss, c.Locality)
		require.Equal(t, requestFor(1).Input, c.PrefillTokens)
	})
}

// Guards against a request that is charged to a limit and not sent, and against giving back what was not charged.
func TestDiscardedChoiceIsNotChargedToLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPlacer()
		u := engineAt(3)
		p.Snapshots.SetUpstreams(view.NewUpstreams(map[ident.UpstreamID]*view.Upstream{u.ID: u}, 2))
		p.UpstreamLimits = &uprate.Table{Self: "d"}
		p.UpstreamLimits.SetMembers([]rhash.Node{{ID: "d"}})
		unlimited, err := p.Choose(requestFor(1))
		require.NoError(t, err)
		p.UpstreamLimits.Observe(u, time.Now(), &view.RateLimit{Rate: 1})
		p.Discard(unlimited)
		_, err = p.Choose(requestFor(1))
		var blocked *BlockedError
		require.ErrorAs(t, err, &blocked)
		require.Equal(t, BlockedLimited, blocked.Reason)
		_, err = p.Choose(requestFor(1))
		var next *BlockedError
		require.ErrorAs(t, err, &next)
		require.Greater(t, next.RetryAfter, blocked.RetryAfter, "callers return one after the other")
		time.Sleep(time.Second)
		c, err := p.Choose(requestFor(1))
		require.NoError(t, err)
		_, err = p.Choose(requestFor(1))
		require.Error(t, err)
		p.Discard(c)
		_, err = p.Choose(requestFor(1))
		require.NoError(t, err)
	})
}

// Guards against computing a prefix at two engines when its second request arrives during the prefill of the first.
func TestConcurrentRequestsShareOnePrefill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPlacer()
		// All engines have just changed their weights: nothing is cached.
		p.Snapshots.SetWeights(view.Weights{Model: "m", Version: 2, NamedAt: time.Now()})
		for i := range engineCount {
			p.SetWeightVersion(engineAt(i), "m", 2)
		}
		first, err := p.Choose(requestFor(1))
		require.NoError(t, err)
		require.Equal(t, CachedMiss, first.Locality)
		p.Begin(first, requestFor(1))
		second, err := p.Choose(requestFor(1))
		require.NoError(t, err)
		require.Equal(t, first.Upstream.ID, second.Upstream.ID)
		require.Equal(t, CachedLocal, second.Locality)
	})
}

// Guards against a notice that is forgotten while the registration of the upstream is missing, and one that outlives a restart.
func TestLeavingNoticeLastsUntilRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPlacer()
		all := p.Snapshots.Upstreams()
		c, err := p.Choose(requestFor(1))
		require.NoError(t, err)
		leaver := c.Upstream
		p.MarkLeaving(leaver)
		p.Snapshots.SetUpstreams(view.NewUpstreams(map[ident.UpstreamID]*view.Upstream{}, 2))
		p.RemoveUnlisted()
		p.Snapshots.SetUpstreams(all)
		for n := range 40 {
			c, err = p.Choose(requestFor(n))
			require.NoError(t, err)
			require.NotEqual(t, leaver.ID, c.Upstream.ID)
		}
		restarted := *leaver
		restarted.Incarnation++
		p.Snapshots.SetUpstreams(view.NewUpstreams(map[ident.UpstreamID]*view.Upstream{leaver.ID: &restarted}, 3))
		p.MarkLeaving(leaver)
		c, err = p.Choose(requestFor(1))
		require.NoError(t, err, "a late answer of the incarnation before says nothing")
		require.Equal(t, leaver.ID, c.Upstream.ID)
		require.False(t, p.IsLeaving(leaver))
		p.Snapshots.SetUpstreams(view.NewUpstreams(map[ident.UpstreamID]*view.Upstream{}, 4))
		time.Sleep(noticeTTL + time.Second)
		p.RemoveUnlisted()
		require.NotContains(t, p.upstreamStates, leaver.ID)
	})
}

// Guards against choices that are not counted at an upstream that falls over until they are sent, and against those that
// are given up and still counted.
func TestChoicesCountAtUpstreamThatFallsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPlacer()
		u := *engineAt(3)
		u.Slots = 2
		p.Snapshots.SetUpstreams(view.NewUpstreams(map[ident.UpstreamID]*view.Upstream{u.ID: &u}, 2))
		p.RejectionLimits = &reject.Table{Self: "d"}
		p.RejectionLimits.SetMembers([]rhash.Node{{ID: "d"}})
		p.RejectionLimits.Observe(&u, time.Now(), &view.RejectionLimit{PerSecond: 4})
		choose := func() *Choice {
			c, err := p.Choose(requestFor(1))
			require.NoError(t, err)
			return c
		}
		requireFull := func() {
			t.Helper()
			_, err := p.Choose(requestFor(1))
			var blocked *BlockedError
			require.ErrorAs(t, err, &blocked)
			require.Equal(t, BlockedFull, blocked.Reason)
			require.Positive(t, blocked.RetryAfter)
		}
		first, second := choose(), choose()
		requireFull()
		p.Discard(second)
		running := p.Begin(first, requestFor(1))
		accepted := p.Begin(choose(), requestFor(1))
		requireFull()
		running.End(OutcomeRejected)
		p.MarkFull(&u)
		requireFull()
		time.Sleep(time.Minute)
		accepted.MarkActive()
		choose()
		requireFull()
	})
}
