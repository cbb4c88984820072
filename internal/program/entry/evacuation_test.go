package entry

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
	"github.com/gooseberryway/gooseberryway/platform/standin"
)

const evacuateEast = "evacuate/east"

// evacuateOwn evacuates the failure domain of the tests' daemons, which prefer its upstreams.
const evacuateOwn, own = "evacuate/z", "z"

// startUpstreamIn starts an upstream in a failure domain, of the service llm if it has a model, else of app.
func (f *testFleet) startUpstreamIn(domain string, w *standin.Upstream) *standin.Upstream {
	f.t.Helper()
	address := w.Start()
	f.t.Cleanup(w.Close)
	service := "app"
	if w.Model != "" {
		service = "llm"
	}
	r := w.Registration(service, address, "ready")
	r["zone"] = domain
	f.store.Put("keyed.servers", w.ID, r)
	return w
}

// evacuated waits until all daemons know whether the failure domain is evacuated.
func (f *testFleet) evacuated(domain ident.FailureDomain, want bool) {
	f.t.Helper()
	f.eventually(func() bool {
		for _, d := range f.daemons {
			if d.snapshots.IsEvacuated(domain) != want {
				return false
			}
		}
		return true
	}, fmt.Sprintf("evacuation of %s, want %t", domain, want))
}

// lookups sends so many requests to each daemon and returns their statuses.
func (f *testFleet) lookups(n int, name string) map[int]int {
	f.t.Helper()
	statuses := map[int]int{}
	for i := range n {
		for _, d := range f.daemons {
			statuses[f.call(d, "/lookup/x", fmt.Sprint(name, i, d.Settings.DaemonID), "secret", "").StatusCode]++
		}
	}
	return statuses
}

// Guards against requests to upstreams of an evacuated failure domain, and against upstreams that stay unused after the evacuation.
func TestEvacuatedFailureDomainGetsNoRequests(t *testing.T) {
	f := newTestFleet(t)
	f.configureRate(1, 1000000, "secret")
	near, west := f.startUpstreamIn(own, &standin.Upstream{ID: "z1"}), f.startUpstreamIn("west", &standin.Upstream{ID: "w1"})
	f.start("d0", nil)
	f.start("d1", nil)
	f.ready(2)
	require.Equal(t, map[int]int{200: 40}, f.lookups(20, "before"))
	require.NotEmpty(t, near.Runs())
	for _, domain := range []string{own, "nowhere", own} {
		f.store.Put("keyed.op", "evacuate/"+domain, map[string]any{})
	}
	f.evacuated(own, true)
	f.evacuated("nowhere", true)
	runs := len(near.Runs())
	require.Equal(t, map[int]int{200: 40}, f.lookups(20, "during"))
	require.Len(t, near.Runs(), runs)
	status := f.daemons[0].status()
	require.Equal(t, own, status.Evacuations[1].FailureDomain)
	require.Equal(t, 1, status.Evacuations[1].Upstreams)

	for range 2 {
		f.store.Put("keyed.op", evacuateOwn, nil)
	}
	f.evacuated(own, false)
	require.Equal(t, map[int]int{200: 40}, f.lookups(20, "after"))
	require.Greater(t, len(near.Runs()), runs)
	require.NotEmpty(t, west.Runs())
}

// Guards against another attempt in an evacuated failure domain after one elsewhere has failed.
func TestEvacuatedFailureDomainGetsNoRetries(t *testing.T) {
	f := newTestFleet(t)
	f.configureRate(1, 1000000, "secret")
	east := f.startUpstreamIn("east", &standin.Upstream{ID: "e1"})
	f.startUpstreamIn(own, &standin.Upstream{ID: "z1", Intercept: func(http.ResponseWriter, *http.Request) bool {
		f.store.Put("keyed.op", evacuateEast, map[string]any{})
		f.evacuated("east", true)
		panic(http.ErrAbortHandler)
	}})
	f.start("d0", nil)
	f.ready(2)
	require.Equal(t, map[int]int{502: 1}, f.lookups(1, "r"))
	require.Empty(t, east.Runs())
}

// Guards against requests that are held, or end with anything but a refusal, while all failure domains are evacuated.
func TestRequestsAreRefusedAtOnceWhileAllFailureDomainsAreEvacuated(t *testing.T) {
	f := newTestFleet(t)
	f.configureRate(1, 1000000, "secret")
	east := f.startUpstreamIn("east", &standin.Upstream{ID: "e1"})
	f.start("d0", nil)
	f.ready(1)
	f.store.Put("keyed.op", evacuateEast, map[string]any{})
	f.evacuated("east", true)
	for i, path := range []string{"/lookup/x", "/order/x"} {
		started := time.Now()
		resp := f.call(f.daemons[0], path, fmt.Sprint("r", i), "secret", "")
		require.Equal(t, 503, resp.StatusCode)
		require.Less(t, time.Since(started), 100*time.Millisecond)
		require.NotEmpty(t, resp.Header.Get("Retry-After"))
	}
	require.Empty(t, east.Runs())
}

func noStore(*http.Request) standin.Fault { return standin.FaultUnavailable }

// Guards against a daemon that starts without the store, gets ready and doesn't know the evacuation.
func TestDaemonStartedWithoutStoreLearnsOfEvacuationFromPeersBeforeItIsReady(t *testing.T) {
	f := newTestFleet(t)
	f.configureRate(1, 1000000, "secret")
	f.startUpstreamIn("east", &standin.Upstream{ID: "e1"})
	f.startUpstreamIn("west", &standin.Upstream{ID: "w1"})
	seed := f.start("d0", nil)
	f.ready(2)
	f.store.Put("keyed.op", evacuateEast, map[string]any{})
	f.evacuated("east", true)
	late := f.start("d1", noStore)
	<-late.Listening()
	late.table.AddAddress(seed.Settings.DaemonID, seed.incarnation, seed.Settings.Listen.Peers)
	f.eventually(late.ready, "the daemon is not ready")
	require.True(t, late.snapshots.IsEvacuated("east"))
	f.store.Put("keyed.op", evacuateEast, nil)
	f.evacuated("east", false)
}

// Guards against an evacuation that the fleet, or a daemon that starts, forgets with a store that has returned from an older copy.
func TestEvacuationOutlastsRestoreOfStore(t *testing.T) {
	f := newTestFleet(t)
	f.configureRate(1, 1000000, "secret")
	f.startUpstreamIn("east", &standin.Upstream{ID: "e1"})
	f.start("d0", nil)
	f.start("d1", nil)
	f.ready(1)
	older := f.store.Copy()
	f.store.Put("keyed.op", evacuateEast, map[string]any{})
	f.evacuated("east", true)
	f.daemons[1].stop()
	f.daemons = f.daemons[:1]
	f.store.Restore(older)
	f.eventually(func() bool { return f.daemons[0].follower.Era() == 1 }, "the restore is not known")
	f.start("d2", nil)
	f.evacuated("east", true)
	f.store.Put("keyed.op", evacuateEast, map[string]any{})
	f.store.Put("keyed.op", evacuateEast, nil)
	f.evacuated("east", false)
}

// Guards against records that are no evacuation and take failure domains away.
func TestOddEvacuationHasNoEffect(t *testing.T) {
	f := newTestFleet(t)
	f.configureRate(1, 1000000, "secret")
	f.startUpstreamIn("east", &standin.Upstream{ID: "e1"})
	f.start("d0", nil)
	f.ready(1)
	f.store.Put("keyed.op", evacuateEast, []byte("\xff{"))
	f.store.Put("keyed.op", "evacuate/", map[string]any{})
	f.store.Put("keyed.op", "evacuate/"+strings.Repeat("x", 65), map[string]any{})
	f.store.Put("keyed.op", "evacuate/marker", map[string]any{})
	f.evacuated("marker", true)
	require.Len(t, f.daemons[0].snapshots.Evacuations(), 1)
	require.Equal(t, map[int]int{200: 5}, f.lookups(5, "r"))
}

// Guards against a metric for each name that operators write, also of failure domains that don't exist.
func TestEvacuationOfUnknownFailureDomainIsNoMetric(t *testing.T) {
	d := &Daemon{}
	_, begun := d.snapshots.SetEvacuation(view.Evacuation{FailureDomain: "no-such-domain", Offset: 1})
	require.True(t, begun)
	d.reportEvacuations()
	d.reportEvacuations()
	_, ended := d.snapshots.SetEvacuation(view.Evacuation{FailureDomain: "no-such-domain", Offset: 2, Ended: true})
	require.True(t, ended)
	d.reportEvacuations()
	for _, name := range metrics.ListMetricNames() {
		require.NotContains(t, name, "no-such-domain")
	}
}
