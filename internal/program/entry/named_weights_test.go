package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

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
