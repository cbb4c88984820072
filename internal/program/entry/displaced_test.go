package entry

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/platform/standin"
)

// Guards against a registration of an upstream that has ended, where another one answers: one rejection is enough for all daemons.
func TestOneRejectionTellsAllDaemonsOfADisplacedUpstream(t *testing.T) {
	f := newTestFleet(t)
	f.configureRate(1, 1000000, "secret")
	var arrivals atomic.Int32
	f.startUpstream("app", &standin.Upstream{ID: "b", Intercept: func(w http.ResponseWriter, r *http.Request) bool {
		arrivals.Add(1)
		w.Header().Set("X-Gooseberryway-Attempt-Id", r.Header.Get("X-Gooseberryway-Attempt-Id"))
		w.Header().Set("X-Gooseberryway-Instance-Id", "another")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return true
	}})
	for i := range 3 {
		f.start(fmt.Sprint("d", i), nil)
	}
	f.ready(1)
	require.Equal(t, http.StatusServiceUnavailable, f.call(f.daemons[0], "/order/x", "r", "secret", "").StatusCode)
	f.eventually(func() bool {
		n := 0
		for _, d := range f.daemons {
			for _, u := range d.snapshots.Upstreams().ByID {
				if u.ID == ident.UpstreamID("b") && d.placer.IsDisplaced(u) {
					n++
				}
			}
		}
		return n == len(f.daemons)
	}, "not all daemons know")
	for i, d := range f.daemons {
		require.Equal(t, http.StatusServiceUnavailable, f.call(d, "/order/x", fmt.Sprint("r", i), "secret", "").StatusCode)
	}
	require.EqualValues(t, 1, arrivals.Load())
}
