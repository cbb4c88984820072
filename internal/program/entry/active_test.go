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

// directory asks a daemon where callers shall connect; a daemon that isn't ready names nobody.
func (f *rig) directory(d *running) []string {
	f.t.Helper()
	req, err := http.NewRequestWithContext(f.t.Context(), http.MethodGet, "http://"+d.Settings.Listen.Directory+"/api/resolve", http.NoBody)
	require.NoError(f.t, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(f.t, err)
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil
	}
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	require.NoError(f.t, json.NewDecoder(resp.Body).Decode(&answer))
	return answer.Addresses
}

// names reports whether all daemons name exactly these to callers.
func (f *rig) names(asked, want []*running) bool {
	var addresses []string
	for _, d := range want {
		addresses = append(addresses, d.Settings.Listen.Callers)
	}
	slices.Sort(addresses)
	for _, d := range asked {
		got := f.directory(d)
		slices.Sort(got)
		if !slices.Equal(got, addresses) {
			return false
		}
	}
	return true
}

// mixedFleet starts eight daemons on strong VMs and four on weak ones, whose calls of the store have faults.
func (f *rig) mixedFleet(faults func(*http.Request) standin.Fault) (strong, weak []*running) {
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
	f.eventually(func() bool { return f.names(f.daemons, strong) }, "the strong daemons are not active")
	return strong, weak
}

func TestCallersAreSentToTheStrongestDaemonsThatLive(t *testing.T) {
	f := newRig(t)
	f.configure(1, "secret")
	f.worker("app", &standin.Upstream{ID: "a1"})
	strong, weak := f.mixedFleet(nil)

	resp := f.call(weak[0], "/order/x", "r1", "secret", "one mirror")
	require.Equal(t, http.StatusOK, resp.StatusCode, "a daemon without traffic serves who comes all the same")

	strong[3].stop()
	left := append(append([]*running{}, strong[:3]...), strong[4:]...)
	f.eventually(func() bool { return f.names(left, append(left, weak[0])) }, "the lost daemon is not replaced by one other")
	f.eventually(func() bool { return f.names(weak, append(left, weak[0])) }, "daemons without traffic don't hear of the loss")
}

func TestDaemonsWithoutTrafficHearOfChangesThatTheStoreRefusesThem(t *testing.T) {
	f := newRig(t)
	f.configure(1, "secret")
	f.worker("app", &standin.Upstream{ID: "a1"})
	var refuse atomic.Bool
	_, weak := f.mixedFleet(func(*http.Request) standin.Fault {
		if refuse.Load() {
			return standin.FaultUnavailable
		}
		return standin.FaultNone
	})
	refuse.Store(true)
	f.configure(2, "other")
	f.eventually(func() bool {
		for _, d := range weak {
			if c := d.board.Config(); c == nil || c.Version != 2 {
				return false
			}
		}
		return true
	}, "daemons without traffic don't hear of the configuration")
	require.Equal(t, http.StatusUnauthorized, f.call(weak[1], "/order/x", "r1", "secret", "").StatusCode)
	for _, d := range weak {
		require.False(t, d.isActive())
		require.False(t, d.reads(extern.TopicUpstreams))
	}
}

func TestTheOthersTakeOverWhenAllActiveDaemonsAreLost(t *testing.T) {
	f := newRig(t)
	f.configure(1, "secret")
	f.worker("app", &standin.Upstream{ID: "a1"})
	strong, weak := f.mixedFleet(nil)
	var lost sync.WaitGroup
	for _, d := range strong {
		lost.Go(d.stop)
	}
	lost.Wait()
	f.eventually(func() bool { return f.names(weak, weak) }, "the daemons that are left are not active")
	f.eventually(func() bool {
		holders := 0
		for _, d := range weak {
			if d.keeper.Term() > 0 {
				holders++
			}
		}
		return holders == 1
	}, "nobody has taken the duty")
	f.configure(2, "other")
	f.eventually(func() bool {
		for i, d := range weak {
			if f.call(d, "/order/x", fmt.Sprint("r", i), "secret", "").StatusCode != http.StatusUnauthorized {
				return false
			}
		}
		return true
	}, "a withdrawn key still works")
}
