package entry

import (
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/platform/standin"
)

// noticeRoutes are routes of each kind with their services.
var noticeRoutes = map[string]string{"/draft/x": "llm", "/note/x": "llm", "/order/x": "app", "/lookup/x": "app"}

func (f *testFleet) startServiceUpstream(service, id string, intercept func(w http.ResponseWriter, r *http.Request) bool) {
	u := &standin.Upstream{ID: id, Intercept: intercept}
	if service == "llm" {
		u.Model, u.Version, u.EventCount, u.EventInterval = "m", 1, 2, time.Millisecond
	}
	f.startUpstream(service, u)
}

// send sends the nth request of a test and returns the response with its body read.
func (f *testFleet) send(path string, n int) *http.Response {
	f.t.Helper()
	resp := f.call(f.daemons[0], path, fmt.Sprint("r", n), "secret", fmt.Sprint("body ", n),
		"X-Gooseberryway-Model", "m", "X-Gooseberryway-Token-Counts", "20,2", "X-Gooseberryway-Prompt-Prefix", fmt.Sprintf("sys:10,own%d:10", n))
	bodyOf(resp)
	return resp
}

// Guards against requests that reach an upstream after it has said in an answer that it leaves, while its registration is still ready.
func TestUpstreamThatSaysItLeavesGetsNoMoreRequests(t *testing.T) {
	for path, service := range noticeRoutes {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			f := newTestFleet(t)
			f.configureRate(1, 1000000, "secret")
			var arrivals atomic.Int64
			f.startServiceUpstream(service, "leaver", func(w http.ResponseWriter, _ *http.Request) bool {
				arrivals.Add(1)
				w.Header().Set("Server-Leaving", "1")
				return false
			})
			f.start("d0", nil)
			f.ready(1)
			require.Equal(t, http.StatusOK, f.send(path, 0).StatusCode)
			f.startServiceUpstream(service, "stayer", nil)
			f.ready(2)
			for n := range 40 {
				require.Equal(t, http.StatusOK, f.send(path, n+1).StatusCode)
			}
			require.Equal(t, int64(1), arrivals.Load(), "requests after the notice")
		})
	}
}

// Guards against requests that reach an upstream within the time for which it has turned away all of this daemon's requests, and
// against refusals that let callers return before any upstream accepts them.
func TestUpstreamThatAsksForPauseGetsNoRequests(t *testing.T) {
	const pause = 1500 * time.Millisecond
	for path, service := range noticeRoutes {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			f := newTestFleet(t)
			f.configureRate(1, 1000000, "secret")
			var arrivals, until atomic.Int64
			f.startServiceUpstream(service, "busy", func(w http.ResponseWriter, r *http.Request) bool {
				if arrivals.Add(1) == 1 {
					until.Store(time.Now().Add(pause).UnixNano())
				}
				if time.Now().UnixNano() >= until.Load() {
					return false
				}
				w.Header().Set("X-Gooseberryway-Attempt-Id", r.Header.Get("X-Gooseberryway-Attempt-Id"))
				w.Header().Set("X-Gooseberryway-Not-Executed", "1")
				w.Header().Set("Retry-After", "1.5")
				w.WriteHeader(http.StatusServiceUnavailable)
				return true
			})
			f.start("d0", nil)
			f.ready(1)
			// Requests of the last moments may wait for the upstream.
			const mayWait = 250 * time.Millisecond
			for n := 0; until.Load() == 0 || time.Now().UnixNano() < until.Load()-int64(mayWait); n++ {
				began := time.Now()
				resp := f.send(path, n)
				remaining := time.Until(time.Unix(0, until.Load()))
				require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
				after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
				require.NoError(t, err)
				require.GreaterOrEqual(t, after, (remaining - 50*time.Millisecond).Seconds(), "callers return too early")
				require.Less(t, time.Since(began), 200*time.Millisecond, "the refusal is known at once")
				time.Sleep(50 * time.Millisecond)
			}
			require.Equal(t, int64(1), arrivals.Load(), "arrivals while the upstream wants none")
			f.eventually(func() bool { return f.send(path, int(time.Now().UnixNano())).StatusCode == http.StatusOK }, "requests do not return")
		})
	}
}
