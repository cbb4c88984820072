package route

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// TestSubsetsCoverEachEngine guards against engines that no daemon prefers, and against engines that several daemons prefer
// although there are enough for all.
func TestSubsetsCoverEachEngine(t *testing.T) {
	for _, c := range []struct{ daemons, engines int }{{2, 12}, {7, 12}, {6, 18}, {8, 3}} {
		for i := range c.engines {
			owners := 0
			for d := range c.daemons {
				if (&engineSubset{rank: d, daemons: c.daemons}).contains(i, c.engines) {
					owners++
				}
			}
			require.Positive(t, owners, "engine %d of %d, %d daemons", i, c.engines, c.daemons)
			if c.daemons <= c.engines {
				require.Equal(t, 1, owners)
			}
		}
	}
	require.False(t, (*engineSubset)(nil).contains(0, 3))
	require.False(t, (&engineSubset{daemons: 1}).contains(0, 3))
}

// TestUncachedPromptsGoToTheDaemonsSubset guards against daemons that choose the same idle engine at the same time, and
// against a subset that outweighs a cached prefix.
func TestUncachedPromptsGoToTheDaemonsSubset(t *testing.T) {
	r := newRouter(12, PrefixAware{})
	r.SetDaemonRank(3, 6)
	engines := r.Health.Engines("m")
	for i := range 50 {
		d, err := r.Pick(newRequest(ident.BlockHash(i), 77, 78, 79))
		require.NoError(t, err)
		inSubset := d.Upstream == engines[3].ID || d.Upstream == engines[9].ID
		require.True(t, inSubset, "request %d went to %s", i, d.Upstream)
	}
	addCachedBlocks(r, engines[0].ID, 5, 6, 7)
	d, err := r.Pick(newRequest(5, 6, 7, 8, 9))
	require.NoError(t, err)
	require.Equal(t, engines[0].ID, d.Upstream, "a cached prefix outweighs the subset")
}
