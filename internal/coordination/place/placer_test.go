package place

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

func TestASilentEngineGetsNoWorkUntilItIsReached(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlacer()
		c, err := p.Choose(workFor(1))
		require.NoError(t, err)
		home := c.Upstream.ID
		ticket := p.Begin(c, workFor(1))
		time.Sleep(silentAfter + slowRead*p.nodes[home].readIn(c.PrefillTokens) + time.Millisecond)
		require.False(t, ticket.ShouldAbort(), "it may be slow, and has not been asked")
		time.Sleep(confirmFor)
		require.True(t, ticket.ShouldAbort())
		for range 20 {
			c, err := p.Choose(workFor(1))
			require.NoError(t, err)
			require.NotEqual(t, home, c.Upstream.ID)
		}
		require.Contains(t, p.DownAddresses(), home)
		p.MarkReachable(home)
		require.Empty(t, p.DownAddresses())
	})
}

func TestAnEngineThatStillSendsIsNotSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlacer()
		c, err := p.Choose(workFor(1))
		require.NoError(t, err)
		first, second := p.Begin(c, workFor(1)), p.Begin(c, workFor(1))
		for range 30 {
			time.Sleep(100 * time.Millisecond)
			first.MarkActive()
		}
		require.False(t, second.ShouldAbort(), "the engine sends events of another request")
		require.Empty(t, p.DownAddresses())
	})
}

func TestAnEngineIsNotSilentBecauseItHasJustLoaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlacer()
		c, err := p.Choose(workFor(1))
		require.NoError(t, err)
		ticket := p.Begin(c, workFor(1))
		p.SetLoading(c.Upstream.ID, time.Second)
		time.Sleep(2 * silentAfter)
		p.SetLoading(c.Upstream.ID, 0)
		time.Sleep(silentAfter / 2)
		require.False(t, ticket.ShouldAbort(), "runs go on only after the load")
		require.Empty(t, p.DownAddresses())
	})
}

func TestOlderWeightsAreUsedUpToTheirLimitOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlacer()
		p.Snapshots.SetWeights(view.Weights{Model: "m", Version: 2, NamedAt: time.Now()})
		c, err := p.Choose(workFor(1))
		require.NoError(t, err)
		require.EqualValues(t, 1, c.WeightVersion)
		time.Sleep(p.OldWeightsGrace / 2)
		// A third version must not lengthen the time of the first.
		p.Snapshots.SetWeights(view.Weights{Model: "m", Version: 3, NamedAt: time.Now()})
		time.Sleep(p.OldWeightsGrace/2 + time.Millisecond)
		_, err = p.Choose(workFor(1))
		var blocked *BlockedError
		require.True(t, errors.As(err, &blocked))
		require.Equal(t, BlockedLoading, blocked.Reason)
		p.SetWeightVersion(engineAt(4), "m", 3)
		c, err = p.Choose(workFor(1))
		require.NoError(t, err)
		require.EqualValues(t, "e04", c.Upstream.ID)
	})
}

func TestARefusalForOtherWeightsForgetsWhatTheEngineWasTakenToHave(t *testing.T) {
	p := newPlacer()
	u := engineAt(3)
	p.Snapshots.SetWeights(view.Weights{Model: "m", Version: 2, NamedAt: time.Now()})
	p.SetWeightVersion(u, "m", 2)
	ticket := p.Begin(&Choice{Upstream: u, WeightVersion: 2}, workFor(1))
	ticket.End(OutcomeMisdirected)
	require.EqualValues(t, 1, p.WeightVersion(u, "m"))
}

func TestARestartedEngineIsColdAndGetsAChance(t *testing.T) {
	p := newPlacer()
	c, err := p.Choose(workFor(1))
	require.NoError(t, err)
	p.Begin(c, workFor(1)).End(OutcomeUnreachable)
	again := *c.Upstream
	again.Incarnation++
	byID := map[ident.UpstreamID]*view.Upstream{again.ID: &again}
	p.Snapshots.SetUpstreams(view.NewUpstreams(byID, 2))
	next, err := p.Choose(workFor(1))
	require.NoError(t, err, "a new incarnation isn't down because the old one was")
	require.Equal(t, &again, next.Upstream)
}

func TestSaltsKeepVersionsAndIsolatedOrganisationsApart(t *testing.T) {
	seen := map[string]bool{}
	for _, version := range []int64{1, 2, 12} {
		for _, scope := range []string{"", "2", "a"} {
			salt := CacheSalt(version, scope)
			require.False(t, seen[salt], salt)
			seen[salt] = true
		}
	}
}

func TestDaemonsAgreeOnTheHomeOfAChain(t *testing.T) {
	a, b := newPlacer(), newPlacer()
	for chain := range 50 {
		ca, errA := a.Choose(workFor(chain))
		cb, errB := b.Choose(workFor(chain))
		require.NoError(t, errors.Join(errA, errB))
		require.Equal(t, ca.Upstream.ID, cb.Upstream.ID)
	}
}

func TestAPeersLoadCountsUntilItsDigestIsOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlacer()
		c, err := p.Choose(workFor(1))
		require.NoError(t, err)
		p.SetPeerWork("peer", map[ident.UpstreamID]OutstandingWork{c.Upstream.ID: {Requests: 20, PrefillTokens: 60000}}, 0)
		next, err := p.Choose(workFor(1))
		require.NoError(t, err)
		require.NotEqual(t, c.Upstream.ID, next.Upstream.ID)
		time.Sleep(digestFor)
		next, err = p.Choose(workFor(1))
		require.NoError(t, err)
		require.Equal(t, c.Upstream.ID, next.Upstream.ID)
	})
}

func BenchmarkChoose(b *testing.B) {
	p := newPlacer()
	w := workFor(3)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := p.Choose(w); err != nil {
			b.Fatal(err)
		}
	}
}

func TestSharedPartsAreFetchedFromWhereTheyWereRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlacer()
		c, err := p.Choose(workFor(1))
		require.NoError(t, err)
		home := c.Upstream
		require.Equal(t, CachedLocal, c.Locality, "the home is taken to have read what is in use")
		busy := map[ident.UpstreamID]OutstandingWork{home.ID: {PrefillTokens: 60000}}
		p.SetPeerWork("peer", busy, 0)
		c, err = p.Choose(workFor(1))
		require.NoError(t, err)
		require.NotEqual(t, home.ID, c.Upstream.ID)
		require.Equal(t, CachedPreferred, c.Locality)
		require.Equal(t, FetchEngine, c.Fetch)
		require.Equal(t, home.Address, c.SourceAddress)

		// What was read elsewhere long ago is still asked for there.
		second := c.Upstream
		p.Begin(c, workFor(1)).End(OutcomeSucceeded)
		time.Sleep(recentFor + time.Second)
		busy[second.ID] = OutstandingWork{PrefillTokens: 60000}
		p.SetPeerWork("peer", busy, 0)
		c, err = p.Choose(workFor(1))
		require.NoError(t, err)
		require.NotContains(t, []ident.UpstreamID{home.ID, second.ID}, c.Upstream.ID)
		require.Equal(t, second.Address, c.SourceAddress)
		require.Equal(t, CachedOtherEngine, c.Locality)
	})
}

func TestNothingIsFetchedFromAnEngineThatHasLoadedNewerWeights(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlacer()
		c, err := p.Choose(workFor(1))
		require.NoError(t, err)
		home := c.Upstream
		p.Begin(c, workFor(1)).End(OutcomeSucceeded)
		time.Sleep(time.Second)
		p.Snapshots.SetWeights(view.Weights{Model: "m", Version: 2, NamedAt: time.Now()})
		p.SetWeightVersion(home, "m", 2)
		c, err = p.Choose(workFor(1))
		require.NoError(t, err)
		require.NotEqual(t, home.Address, c.SourceAddress)
	})
}

func TestNoTwoEnginesReadAPromptAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlacer()
		// All engines have just changed their weights: nobody has read anything.
		p.Snapshots.SetWeights(view.Weights{Model: "m", Version: 2, NamedAt: time.Now()})
		for i := range engines {
			p.SetWeightVersion(engineAt(i), "m", 2)
		}
		first, err := p.Choose(workFor(1))
		require.NoError(t, err)
		require.Equal(t, CachedMiss, first.Locality)
		p.Begin(first, workFor(1))
		second, err := p.Choose(workFor(1))
		require.NoError(t, err)
		require.Equal(t, first.Upstream.ID, second.Upstream.ID)
		require.Equal(t, CachedLocal, second.Locality)
	})
}
