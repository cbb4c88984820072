package place

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// Guards against a wave of requests that are admitted because their prefixes are taken to be cached, just after the shared pool became
// another one and nothing is.
func TestEstimatesAfterPoolChangeCountSharedParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPlacer()
		setIsolated(p, 0)
		choose := func() *Choice {
			t.Helper()
			r := requestFor(1)
			r.CacheScope = p.Snapshots.Config().CacheScope("")
			c, err := p.Choose(r)
			require.NoError(t, err)
			return c
		}
		require.EqualValues(t, unsharedTokens, choose().PrefillTokens, "the engines had their weights when the daemon started")
		before := choose().Upstream
		setIsolated(p, 1)
		cold := choose()
		require.Equal(t, CachedMiss, cold.Locality)
		require.EqualValues(t, unsharedTokens+chainTokens, cold.PrefillTokens)
		require.Equal(t, before, cold.Upstream, "the chain moved to another engine")
		r := requestFor(1)
		r.CacheScope = p.Snapshots.Config().CacheScope("")
		p.Begin(cold, r)
		require.EqualValues(t, unsharedTokens, choose().PrefillTokens)
		time.Sleep(fetchSourceTTL + defaultCacheRetention)
		require.EqualValues(t, unsharedTokens, choose().PrefillTokens)
		owner := requestFor(1)
		owner.CacheScope = view.CacheScope{Owner: ident.OrganisationID("o0")}
		c, err := p.Choose(owner)
		require.NoError(t, err)
		require.EqualValues(t, unsharedTokens, c.PrefillTokens)
	})
}
