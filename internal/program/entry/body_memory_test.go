package entry

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/program/setup"
)

// Guards against bodies of many large requests that take a daemon over its memory, so that it is killed with all requests in progress.
func TestRequestsBeyondMemoryForBodiesAreRefused(t *testing.T) {
	f := newTestFleet(t)
	f.configureRate(1, 1_000_000, "secret")
	app := f.startUpstream("app", slowUpstream("a1", "", 500*time.Millisecond))
	d := f.startOn("d1", setup.EntryResources{MemoryMB: 40}, nil)
	f.ready(1)
	// Two of them are more than large bodies may take, whatever this process takes for itself.
	large := strings.Repeat("x", 3<<20)
	first := make(chan int)
	go func() { first <- f.call(d, "/order/x", "r1", "secret", large).StatusCode }()
	f.eventually(func() bool { return d.placer.WorkAt("a1").Requests == 1 }, "the first request isn't sent")
	refused := f.call(d, "/order/x", "r2", "secret", large)
	require.Equal(t, http.StatusServiceUnavailable, refused.StatusCode)
	require.NotEmpty(t, refused.Header.Get("Retry-After"))
	require.Contains(t, text(t, refused), "noMemoryForBody")
	require.Equal(t, http.StatusOK, f.call(d, "/order/x", "r3", "secret", "small").StatusCode)
	require.Equal(t, http.StatusOK, <-first)
	require.Equal(t, http.StatusOK, f.call(d, "/order/x", "r4", "secret", large).StatusCode, "the memory was not given back")
	for _, run := range app.Runs() {
		require.NotEqual(t, "r2", run.ID, "a request that was refused as not run has run")
	}
}
