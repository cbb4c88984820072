package place

import (
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// failConnects fails a connection to each upstream that takes the test's requests, but for the last n.
func failConnects(t *testing.T, p *Placer, n int) {
	t.Helper()
	for {
		c, err := p.Choose(requestFor(1))
		if err != nil || c.Candidates <= n {
			return
		}
		p.Begin(c, requestFor(1)).End(OutcomeUnreachable)
	}
}

// Guards against taking one lost upstream, or a silent one that accepts connections, for a cut.
func TestServiceIsUnreachableOnlyIfAllItsUpstreamsAre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPlacer()
		c, err := p.Choose(requestFor(1))
		require.NoError(t, err)
		service := c.Upstream.Service
		p.Discard(c)
		require.Empty(t, p.UnreachableServices())
		failConnects(t, p, 1)
		require.False(t, p.IsUnreachable(service), "one upstream has not failed")
		failConnects(t, p, 0)
		require.True(t, p.IsUnreachable(service))
		require.Equal(t, []view.ServiceID{service}, p.UnreachableServices())
		p.MarkReachable(c.Upstream.ID)
		require.False(t, p.IsUnreachable(service), "one connection is enough")
		require.Empty(t, p.UnreachableServices())
		require.False(t, p.IsUnreachable("without upstreams"))
	})
}
