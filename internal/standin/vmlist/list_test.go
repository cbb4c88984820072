package vmlist

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	adapter "github.com/gooseberryway/gooseberryway/internal/transport/vmlist"
)

// Each change becomes visible after its own lag, also when another change comes during it.
func TestChangesAreVisibleAfterLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &List{Lag: 10 * time.Second}
		visibleDaemons := func() (ids []string) {
			vms, err := l.List(t.Context())
			require.NoError(t, err)
			for _, vm := range vms {
				ids = append(ids, string(vm.Daemon))
			}
			return ids
		}
		l.Set([]extern.VM{{Daemon: "d1"}, {Daemon: "d2"}})
		require.Equal(t, []string{"d1", "d2"}, visibleDaemons(), "the first list is visible at once")
		l.Remove("d1")
		time.Sleep(5 * time.Second)
		l.Put(extern.VM{Daemon: "d3", Leaving: true})
		require.Equal(t, []string{"d1", "d2"}, visibleDaemons())
		time.Sleep(5 * time.Second)
		require.Equal(t, []string{"d2"}, visibleDaemons())
		time.Sleep(5 * time.Second)
		require.Equal(t, []string{"d2", "d3"}, visibleDaemons())
	})
}

func TestListOverHTTP(t *testing.T) {
	l := &List{}
	require.NoError(t, l.Start(t.Context()))
	c := &adapter.Client{BaseURL: l.URL()}
	t.Cleanup(func() {
		require.NoError(t, c.Close())
		require.NoError(t, l.Close())
	})
	vms := []extern.VM{{Daemon: "d1", PeerAddress: "10.0.0.1:7001", FailureDomain: "north", Leaving: true}}
	l.Set(vms)
	got, err := c.List(t.Context())
	require.NoError(t, err)
	require.Equal(t, vms, got)
	l.SetOutage(true)
	_, err = c.List(t.Context())
	var upstreamErr *extern.UpstreamError
	require.ErrorAs(t, err, &upstreamErr)
}
