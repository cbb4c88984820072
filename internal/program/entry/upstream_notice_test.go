package entry

import (
	"fmt"
	"net/http"
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
