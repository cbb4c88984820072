package place

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

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
