package entry

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against requests that reach an upstream within the time for which it has turned away all of this daemon's requests, and
// against refusals that let callers return before any upstream accepts them.
func TestUpstreamThatAsksForQuietGetsIt(t *testing.T) {
	const quiet = 1500 * time.Millisecond
	for path, service := range noticeRoutes {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			f := newTestFleet(t)
			f.configureRate(1, 1000000, "secret")
			var arrivals, until atomic.Int64
			f.startServiceUpstream(service, "busy", func(w http.ResponseWriter, r *http.Request) bool {
				if arrivals.Add(1) == 1 {
					until.Store(time.Now().Add(quiet).UnixNano())
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
