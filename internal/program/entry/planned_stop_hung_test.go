package entry

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gooseberryway/gooseberryway/platform/standin"
)

// Guards against a request that a planned stop leaves at an upstream that hangs, though another one would answer in time.
func TestPlannedStopRetriesRequestAtHungUpstream(t *testing.T) {
	f := newTestFleet(t)
	f.configureRate(1, 1_000_000, "secret")
	var runs atomic.Int64
	for i := range 2 {
		u := &standin.Upstream{ID: fmt.Sprint("u", i)}
		u.Intercept = func(_ http.ResponseWriter, r *http.Request) bool {
			if runs.Add(1) > 1 {
				return false
			}
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		f.startUpstream("app", u)
	}
	d := f.start("d1", nil)
	f.ready(2)
	time.AfterFunc(100*time.Millisecond, d.cancel)
	requireWholeAnswer(t, f.call(d, "/lookup/x", "r1", "secret", "p"))
}
