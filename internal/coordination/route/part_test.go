package route

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

func TestPartsCoverAllEnginesOnce(t *testing.T) {
	for _, c := range []struct{ daemons, engines int }{{2, 12}, {7, 12}, {6, 18}, {8, 3}} {
		for i := range c.engines {
			owners := 0
			for d := range c.daemons {
				if (&part{rank: d, daemons: c.daemons}).owns(i, c.engines) {
					owners++
				}
			}
			require.Positive(t, owners, "engine %d of %d, %d daemons", i, c.engines, c.daemons)
			if c.daemons <= c.engines {
				require.Equal(t, 1, owners)
			}
		}
	}
	require.False(t, (*part)(nil).owns(0, 3))
	require.False(t, (&part{daemons: 1}).owns(0, 3))
}

func TestColdPromptsGoToTheDaemonsOwnPart(t *testing.T) {
	r := newRouter(12, PrefixAware{})
	r.SetDaemonRank(3, 6)
	engines := r.Health.Engines("m")
	for i := range 50 {
		d, err := r.Pick(request(ident.BlockHash(i), 77, 78, 79))
		require.NoError(t, err)
		own := d.Upstream == engines[3].ID || d.Upstream == engines[9].ID
		require.True(t, own, "request %d went to %s", i, d.Upstream)
	}
	hold(r, engines[0].ID, 5, 6, 7)
	d, err := r.Pick(request(5, 6, 7, 8, 9))
	require.NoError(t, err)
	require.Equal(t, engines[0].ID, d.Upstream, "a holder goes before the own part")
}
