package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/program/setup"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/platform/standin"
)

// resolve returns the addresses to which a daemon's directory sends callers; none if the daemon isn't ready.
func (f *testFleet) resolve(d *testDaemon) []string {
	f.t.Helper()
	req, err := http.NewRequestWithContext(f.t.Context(), http.MethodGet, "http://"+d.Settings.Listen.Directory+"/api/resolve", http.NoBody)
	require.NoError(f.t, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(f.t, err)
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil
	}
	var resolved struct {
		Addresses []string `json:"addresses"`
	}
	require.NoError(f.t, json.NewDecoder(resp.Body).Decode(&resolved))
	return resolved.Addresses
}

// allResolveTo reports whether the directories of all these daemons list exactly the addresses of want.
func (f *testFleet) allResolveTo(daemons, want []*testDaemon) bool {
	var addresses []string
	for _, d := range want {
		addresses = append(addresses, d.Settings.Listen.Callers)
	}
	slices.Sort(addresses)
	for _, d := range daemons {
		got := f.resolve(d)
		slices.Sort(got)
		if !slices.Equal(got, addresses) {
			return false
		}
	}
	return true
}

// startMixed starts eight daemons on VMs with much capacity and four on VMs with little. Store calls of the latter go
// through faults.
func (f *testFleet) startMixed(faults func(*http.Request) standin.Fault) (strong, weak []*testDaemon) {
	f.t.Helper()
	for i := range 12 {
		id := fmt.Sprintf("d%02d", i)
		if i%3 == 2 {
			weak = append(weak, f.startOn(id, setup.EntryResources{CPUShare: 0.2, Cores: 1, LinkMbps: 10}, faults))
		} else {
			strong = append(strong, f.startOn(id, setup.EntryResources{CPUShare: 0.8, Cores: 1, LinkMbps: 200}, nil))
		}
	}
	for _, d := range f.daemons {
		<-d.Listening()
	}
	f.eventually(func() bool { return f.allResolveTo(f.daemons, strong) }, "not all directories list the strong daemons")
	return strong, weak
}

// Callers must be sent to the daemons with the most capacity. When one of them stops, the directories of all daemons,
// active or not, must replace it by exactly one other.
func TestDirectoryListsStrongestLiveDaemons(t *testing.T) {
	f := newTestFleet(t)
	f.configure(1, "secret")
	f.startUpstream("app", &standin.Upstream{ID: "a1"})
	strong, weak := f.startMixed(nil)

	resp := f.call(weak[0], "/order/x", "r1", "secret", "one mirror")
	require.Equal(t, http.StatusOK, resp.StatusCode, "a daemon without traffic still serves requests that reach it")

	strong[3].stop()
	remaining := append(append([]*testDaemon{}, strong[:3]...), strong[4:]...)
	f.eventually(func() bool { return f.allResolveTo(remaining, append(remaining, weak[0])) }, "the stopped daemon was not replaced by one other")
	f.eventually(func() bool { return f.allResolveTo(weak, append(remaining, weak[0])) }, "daemons without traffic did not learn that the daemon stopped")
}

// A daemon without traffic whose store calls fail must still learn a new configuration from its peers: otherwise it
// would accept a withdrawn key.
func TestIdleDaemonsGetChangesFromPeersWhileStoreIsUnavailable(t *testing.T) {
	f := newTestFleet(t)
	f.configure(1, "secret")
	f.startUpstream("app", &standin.Upstream{ID: "a1"})
	var storeDown atomic.Bool
	_, weak := f.startMixed(func(*http.Request) standin.Fault {
		if storeDown.Load() {
			return standin.FaultUnavailable
		}
		return standin.FaultNone
	})
	storeDown.Store(true)
	f.configure(2, "other")
	f.eventually(func() bool {
		for _, d := range weak {
			if c := d.snapshots.Config(); c == nil || c.Version != 2 {
				return false
			}
		}
		return true
	}, "daemons without traffic did not get the configuration")
	require.Equal(t, http.StatusUnauthorized, f.call(weak[1], "/order/x", "r1", "secret", "").StatusCode)
	for _, d := range weak {
		require.False(t, d.isActive())
		require.False(t, d.readsContinuously(extern.TopicUpstreams))
	}
}

// When all active daemons stop at once, the others must become active, elect one leader and read the store themselves.
func TestIdleDaemonsTakeOverWhenAllActiveDaemonsStop(t *testing.T) {
	f := newTestFleet(t)
	f.configure(1, "secret")
	f.startUpstream("app", &standin.Upstream{ID: "a1"})
	strong, weak := f.startMixed(nil)
	var stopping sync.WaitGroup
	for _, d := range strong {
		stopping.Go(d.stop)
	}
	stopping.Wait()
	f.eventually(func() bool { return f.allResolveTo(weak, weak) }, "the remaining daemons did not become active")
	f.eventually(func() bool {
		leaders := 0
		for _, d := range weak {
			if d.elector.Term() > 0 {
				leaders++
			}
		}
		return leaders == 1
	}, "there is not exactly one leader")
	f.configure(2, "other")
	f.eventually(func() bool {
		for i, d := range weak {
			if f.call(d, "/order/x", fmt.Sprint("r", i), "secret", "").StatusCode != http.StatusUnauthorized {
				return false
			}
		}
		return true
	}, "the withdrawn key is still accepted")
}
