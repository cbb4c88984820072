package entry

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/program/setup"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/platform/standin"
)

// The bound of these tests: a cold upstream gets at most 2 x 1.5 + 2 requests in any second, of which 4 are slots.
const (
	coldRate  = 2.0
	coldBound = 5
	coldSlots = 4
	// busyTime is how long the other upstream takes for a request, so that it has always more of them than the cold one.
	busyTime = 200 * time.Millisecond
	// slotsTakenAfter is when daemons that have started hold slots: they wait for heartbeats and for the holders before.
	slotsTakenAfter = 4 * time.Second
)

func withColdBound(l *setup.EntryLimits) { l.ColdOverage, l.ColdSlack = 1.5, 2 }

// registerCold registers an upstream that is cold for so many milliseconds; any value is written as it is.
func (f *testFleet) registerCold(u *standin.Upstream, coldMs any) {
	r := u.Registration("app", u.Address(), "ready")
	r["cold-remaining-ms"] = coldMs
	f.store.Put("keyed.servers", u.ID, r)
}

// Guards against a cold upstream that gets more than it bears from all daemons together, or that gets nothing.
func TestColdUpstreamGetsWhatItBears(t *testing.T) {
	f := newTestFleet(t)
	f.limits = withColdBound
	f.serviceFields = map[string]any{"cold-start-s": 60.0, "cold-per-s": coldRate}
	f.configureRate(1, 1000000, "secret")
	var arrivals arrivalLog
	cold := f.startUpstream("app", &standin.Upstream{ID: "cold", Intercept: func(http.ResponseWriter, *http.Request) bool {
		arrivals.add()
		return false
	}})
	f.registerCold(cold, 60000)
	other := f.startUpstream("app", &standin.Upstream{ID: "other", Intercept: func(http.ResponseWriter, *http.Request) bool {
		time.Sleep(busyTime)
		return false
	}})
	f.registerCold(other, 0)
	for i := range 3 {
		f.start(fmt.Sprint("d", i), nil)
	}
	f.ready(2)
	started := time.Now()
	var callers sync.WaitGroup
	for sent := 0; time.Since(started) < slotsTakenAfter+2*time.Second; sent++ {
		callers.Go(func() {
			resp := f.call(f.daemons[sent%3], "/lookup/x", fmt.Sprint("r", sent), "secret", "")
			require.Equal(t, http.StatusOK, resp.StatusCode, "what the cold upstream can't take goes to the other one")
		})
		time.Sleep(10 * time.Millisecond)
	}
	callers.Wait()
	require.LessOrEqual(t, arrivals.mostWithin(started, time.Second), coldBound)
	require.GreaterOrEqual(t, arrivals.mostWithin(started.Add(slotsTakenAfter), time.Second), coldSlots-1)
	require.Less(t, f.daemons[0].status().Cold[0].ColdForMs, int64(60001))
}

// Guards against coldness that daemons learn of only if they read the store, and against a message for each step of its countdown.
func TestChangeOfColdnessReachesDaemonsWithoutStore(t *testing.T) {
	f := newTestFleet(t)
	f.limits = withColdBound
	f.serviceFields = map[string]any{"cold-start-s": 60.0, "cold-per-s": coldRate}
	f.configure(1, "secret")
	u := f.startUpstream("app", &standin.Upstream{ID: "u"})
	f.registerCold(u, 0)
	var cut atomic.Bool
	f.start("d0", nil)
	f.start("d1", func(*http.Request) standin.Fault {
		if cut.Load() {
			return standin.FaultReset
		}
		return standin.FaultNone
	})
	f.ready(1)
	knowsCold := func(n int) func() bool {
		return func() bool {
			return len(f.daemons[0].coldLimits.Uses()) == n && len(f.daemons[1].coldLimits.Uses()) == n
		}
	}
	require.True(t, knowsCold(0)())
	cut.Store(true)
	f.registerCold(u, 30000)
	f.eventually(knowsCold(1), "the peer doesn't know that the upstream is cold")
	changed := f.daemons[0].follower.LastChangeOffset(extern.TopicUpstreams)
	read := f.daemons[0].follower.NextOffset(extern.TopicUpstreams)
	f.registerCold(u, 29990)
	f.eventually(func() bool { return f.daemons[0].follower.NextOffset(extern.TopicUpstreams) > read }, "not read")
	require.Equal(t, changed, f.daemons[0].follower.LastChangeOffset(extern.TopicUpstreams), "the countdown is no change")
	f.registerCold(u, "soon")
	f.registerCold(u, 0)
	f.eventually(knowsCold(0), "the peer doesn't know that the upstream is warm")
}

// Guards against effects of coldness on services that publish no rate.
func TestColdnessWithoutRateIsNoChange(t *testing.T) {
	f := newTestFleet(t)
	f.limits = withColdBound
	f.configure(1, "secret")
	u := f.startUpstream("app", &standin.Upstream{ID: "u"})
	d := f.start("d0", nil)
	f.ready(1)
	changed, read := d.follower.LastChangeOffset(extern.TopicUpstreams), d.follower.NextOffset(extern.TopicUpstreams)
	f.registerCold(u, 30000)
	f.eventually(func() bool { return d.follower.NextOffset(extern.TopicUpstreams) > read }, "not read")
	require.Equal(t, changed, d.follower.LastChangeOffset(extern.TopicUpstreams))
	for i := range 30 {
		require.Equal(t, http.StatusOK, f.call(d, "/lookup/x", fmt.Sprint("r", i), "secret", "").StatusCode)
	}
	require.Len(t, u.Runs(), 30)
	require.Nil(t, d.status().Cold)
}
