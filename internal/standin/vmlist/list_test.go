package vmlist

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	adapter "github.com/gooseberryway/gooseberryway/internal/transport/vmlist"
)

func TestChangesShowLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &List{Lag: 10 * time.Second}
		names := func() (names []string) {
			vms, err := l.List(t.Context())
			require.NoError(t, err)
			for _, vm := range vms {
				names = append(names, string(vm.Daemon))
			}
			return names
		}
		l.Set([]extern.VM{{Daemon: "d1"}, {Daemon: "d2"}})
		require.Equal(t, []string{"d1", "d2"}, names(), "the first list shows at once")
		l.Remove("d1")
		time.Sleep(5 * time.Second)
		l.Put(extern.VM{Daemon: "d3", Leaving: true})
		require.Equal(t, []string{"d1", "d2"}, names())
		time.Sleep(5 * time.Second)
		require.Equal(t, []string{"d2"}, names())
		time.Sleep(5 * time.Second)
		require.Equal(t, []string{"d2", "d3"}, names())
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
	var up *extern.UpstreamError
	require.ErrorAs(t, err, &up)
}
