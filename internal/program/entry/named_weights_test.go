package entry

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/platform/standin"
)

// Guards against daemons that have all just started, when nobody reads the store yet, and take a version that is named then for
// named when they read it.
func TestVersionNamedJustAfterStartOfAllIsNotTakenForNew(t *testing.T) {
	f := newTestFleet(t)
	f.configure(1, "secret")
	f.startUpstream("llm", &standin.Upstream{ID: "e1", Model: "m", Version: 1, LoadTime: time.Minute})
	for i := range 4 {
		f.start(fmt.Sprint("d", i), nil)
	}
	for _, d := range f.daemons {
		<-d.Listening()
		f.eventually(d.ready, "a daemon has not read the store")
	}
	f.store.Put("keyed.op", "version/m", map[string]any{"model": "m", "version": 2})
	namedAt := time.Now()
	for _, d := range f.daemons {
		f.eventually(func() bool { w, _ := d.snapshots.Weights("m"); return w.Version == 2 }, "a daemon doesn't know the version")
	}
	for range 20 {
		for _, d := range f.daemons {
			w, _ := d.snapshots.Weights("m")
			require.LessOrEqual(t, w.NamedAt.Sub(namedAt), oldWeightsMargin/2, "daemon %s, observed %v", d.Settings.DaemonID, w.NamedAtObserved)
		}
		time.Sleep(waitTick)
	}
}

// Guards against a daemon of an older release, beside newer ones in an upgrade, that calls the time observed at which it learnt of a version late.
func TestNamingToldByOlderReleaseIsNotBelieved(t *testing.T) {
	f := newTestFleet(t)
	f.configure(1, "secret")
	f.store.Put("keyed.op", "version/m", map[string]any{"model": "m", "version": 2})
	d := f.start("d0", nil)
	f.eventually(func() bool { w, _ := d.snapshots.Weights("m"); return w.Version == 2 }, "the daemon doesn't know the version")
	before, _ := d.snapshots.Weights("m")
	beat := &wire.Beat{Daemon: "d1", Weights: []*wire.NamedWeights{{Model: "m", Version: 2, AgeMs: 100}}}
	d.applyLeaderState(beat)
	after, _ := d.snapshots.Weights("m")
	require.Equal(t, before.NamedAt, after.NamedAt)
	beat.TakesRequests = true
	d.applyLeaderState(beat)
	after, _ = d.snapshots.Weights("m")
	require.True(t, after.NamedAtObserved, "a daemon of this release is believed")
}

// Guards against an engine that is back under its ID and address with older weights than it had, and is asked for the newer ones.
func TestEngineBackWithOlderWeightsIsAskedForThese(t *testing.T) {
	f := newTestFleet(t)
	f.configure(1, "secret")
	e := &standin.Upstream{ID: "e1", Model: "m", Version: 3, EventCount: 1}
	f.startUpstream("llm", e)
	d := f.start("d0", nil)
	f.ready(1)
	require.Equal(t, http.StatusOK, f.call(d, "/draft/x", "r0", "secret", "p", modelHeader, "m").StatusCode)
	back := &standin.Upstream{ID: "e1", Model: "m", Version: 1, EventCount: 1}
	registration := back.Registration("llm", back.Start(), "ready")
	t.Cleanup(back.Close)
	registration["born"] = time.Now().UnixMilli()
	f.store.Put("keyed.servers", "e1", registration)
	f.eventually(func() bool { return d.snapshots.Upstreams().ByID["e1"].Weights["m"] == 1 }, "the engine has not registered")
	require.Equal(t, http.StatusOK, f.call(d, "/draft/x", "r1", "secret", "p", modelHeader, "m").StatusCode)
	require.Equal(t, "1", back.Runs()[0].Header.Get("X-Gooseberryway-Expect-Version"))
}
