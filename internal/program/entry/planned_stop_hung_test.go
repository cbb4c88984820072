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

// hangOnce starts two upstreams, of which the first to get a request hangs, and stops the daemon after the request has come. The caller has to get
// the answer of the other one.
func hangOnce(t *testing.T, path, service, model string) {
	t.Helper()
	f := newTestFleet(t)
	f.configureRate(1, 1_000_000, "secret")
	var runs atomic.Int64
	for i := range 2 {
		u := &standin.Upstream{ID: fmt.Sprint("u", i), Model: model, Version: 1, EventCount: streamLength}
		u.Intercept = func(_ http.ResponseWriter, r *http.Request) bool {
			if runs.Add(1) > 1 {
				return false
			}
			go u.FreezeReports(silentFor)
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		f.startUpstream(service, u)
	}
	d := f.start("d1", nil)
	f.ready(2)
	time.AfterFunc(100*time.Millisecond, d.cancel)
	requireWholeAnswer(t, f.call(d, path, "r1", "secret", "p", modelHeader, model))
}

// Guards against a request that a planned stop leaves at an upstream that hangs, though another one would answer in time.
func TestPlannedStopRetriesRequestAtHungUpstream(t *testing.T) { hangOnce(t, "/lookup/x", "app", "") }

// Guards against the same at an engine, which doesn't answer when it is asked whether it works.
func TestPlannedStopRetriesRequestAtHungEngine(t *testing.T) { hangOnce(t, "/note/x", "llm", "m") }

// Guards against calling off a sound answer that comes just before the end of a planned stop, when another upstream is tried as well.
func TestPlannedStopWaitsForSilentUpstreamToTheEnd(t *testing.T) {
	f := newTestFleet(t)
	f.configureRate(1, 1_000_000, "secret")
	for i := range 2 {
		f.startUpstream("app", quietUpstream(fmt.Sprint("u", i), "", 0, 3500*time.Millisecond))
	}
	d := f.start("d1", nil)
	f.ready(2)
	time.AfterFunc(100*time.Millisecond, d.cancel)
	requireWholeAnswer(t, f.call(d, "/lookup/x", "r1", "secret", "p"))
}
