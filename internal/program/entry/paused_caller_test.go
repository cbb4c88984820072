package entry

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/platform/standin"
)

// readPause is how long a caller reads nothing, longer than an upstream may send nothing before it is taken to hang.
const readPause = 3000 * time.Millisecond

// pausedStream sends a long stream to a caller that reads nothing for readPause after the first event. The upstreams never pause. It returns
// how many of them began to run the request, before and after the pause.
func pausedStream(t *testing.T, whilePaused func(f *testFleet, d *testDaemon)) (before, after int64) {
	t.Helper()
	f := newTestFleet(t)
	f.configureRate(1, 1_000_000, "secret")
	var runs atomic.Int64
	data := strings.Repeat("x", 8<<10)
	for i := range 2 {
		u := &standin.Upstream{ID: fmt.Sprint("e", i), Model: "m", Version: 1}
		u.Intercept = func(w http.ResponseWriter, r *http.Request) bool {
			_, _ = io.Copy(io.Discard, r.Body)
			runs.Add(1)
			w.Header().Set(requestIDKey, r.Header.Get(requestIDKey))
			w.Header().Set(signatureKey, "sig")
			w.Header().Set("Content-Type", "text/event-stream")
			var last int
			_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &last)
			for n := last + 1; n <= 1200; n++ {
				if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, data); err != nil {
					return true
				}
			}
			return true
		}
		f.startUpstream("llm", u)
	}
	d := f.start("d1", nil)
	f.ready(2)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(f.request(t.Context(), d, "/note/x", "r1", "secret", "p", modelHeader, "m"))
	require.NoError(t, err)
	defer resp.Body.Close()
	paused := time.Now()
	if whilePaused != nil {
		time.Sleep(readPause - 200*time.Millisecond)
		whilePaused(f, d)
	}
	time.Sleep(readPause - time.Since(paused))
	before = runs.Load()
	n, err := io.Copy(io.Discard, resp.Body)
	t.Logf("%d bytes, error %v, runs %d then %d", n, err, before, runs.Load())
	return before, runs.Load()
}

// Guards against a sound upstream that is given up as silent while its caller doesn't read.
func TestUpstreamOfSlowCallerIsNotGivenUp(t *testing.T) {
	_, runs := pausedStream(t, nil)
	require.EqualValues(t, 1, runs)
}

// Guards against an attempt that was secured some time ago and is sent though its key was withdrawn since.
func TestPausedCallerIsNotServedWithWithdrawnKey(t *testing.T) {
	before, after := pausedStream(t, func(f *testFleet, d *testDaemon) {
		f.configureRate(2, 1_000_000, "other")
		f.eventually(func() bool { return d.snapshots.Config().Version == 2 }, "the configuration isn't in force")
	})
	require.Equal(t, before, after)
}
