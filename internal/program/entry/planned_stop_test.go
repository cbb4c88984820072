package entry

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/guard"
	"github.com/gooseberryway/gooseberryway/platform/standin"
)

// slowUpstream answers each request after a time, a stream with its first event.
func slowUpstream(id, model string, took time.Duration) *standin.Upstream {
	u := &standin.Upstream{ID: id, Model: model, Version: 1}
	if model != "" {
		u.EventCount = 1
	}
	u.Intercept = func(_ http.ResponseWriter, r *http.Request) bool {
		select {
		case <-time.After(took):
		case <-r.Context().Done():
		}
		return false
	}
	return u
}

// rawCall sends a request on a connection and returns the status, the header and whether the response ended as a complete one.
func rawCall(c net.Conn, path, id, body string) (status int, header http.Header, whole bool) {
	_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n%s: 4000\r\nAuthorization: Bearer secret\r\n%s: m\r\nContent-Length: %d\r\n\r\n%s",
		path, requestIDKey, id, deadlineHeader, modelHeader, len(body), body)
	return rawResponse(c)
}

func rawResponse(c net.Conn) (status int, header http.Header, whole bool) {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, nil, false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Header, err == nil
}

func dialCaller(t *testing.T, d *testDaemon) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp4", d.Settings.Listen.Callers)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(waitTimeout)))
	return c
}

// violations collects the invariants that are violated from now on.
func violations(t *testing.T) func() []guard.Invariant {
	t.Helper()
	var mu sync.Mutex
	var seen []guard.Invariant
	t.Cleanup(guard.Capture(func(v *guard.ViolationError) {
		mu.Lock()
		defer mu.Unlock()
		seen = append(seen, v.Invariant)
	}))
	return func() []guard.Invariant {
		mu.Lock()
		defer mu.Unlock()
		return append([]guard.Invariant(nil), seen...)
	}
}

// Guards against requests that a daemon takes during a planned stop and cuts without an answer at its end: what can't end in time is
// refused at once and doesn't run, and what is still open at the end gets a final answer.
func TestPlannedStopCutsNoRequest(t *testing.T) {
	const period, atOnce = 400 * time.Millisecond, time.Second
	for name, c := range map[string]struct {
		path string
		took time.Duration
		// earlier is the number of requests before the stop, from which the daemon learns how long they take.
		requests, earlier int
		// minAccepted and maxAccepted bound the requests that are served, with the one that was there before the stop.
		minAccepted, maxAccepted int
	}{
		"at most once":          {path: "/order/x", took: 3500 * time.Millisecond, requests: 8, minAccepted: 1, maxAccepted: 1},
		"stream":                {path: "/draft/x", took: 3500 * time.Millisecond, requests: 8, minAccepted: 1, maxAccepted: 1},
		"at most once, known":   {path: "/order/x", took: time.Second, requests: 5, earlier: 8, minAccepted: 2, maxAccepted: 4},
		"idempotent, known":     {path: "/lookup/x", took: time.Second, requests: 5, earlier: 8, minAccepted: 4, maxAccepted: 6},
		"resumable, known":      {path: "/note/x", took: time.Second, requests: 5, earlier: 8, minAccepted: 4, maxAccepted: 6},
		"idempotent, not known": {path: "/lookup/x", took: time.Second, requests: 5, minAccepted: 1, maxAccepted: 1},
	} {
		t.Run(name, func(t *testing.T) {
			path, took, requests := c.path, c.took, c.requests
			seen := violations(t)
			f := newTestFleet(t)
			f.configureRate(1, 1_000_000, "secret")
			upstreams := []*standin.Upstream{
				f.startUpstream("llm", slowUpstream("e1", "m", took)), f.startUpstream("app", slowUpstream("a1", "", took)),
			}
			d := f.start("d1", nil)
			f.ready(2)
			var wg sync.WaitGroup
			var mu sync.Mutex
			accepted := 0
			signalled := make(chan struct{})
			// The daemon has a request that it can finish, so that it takes further ones until shortly before its end.
			for i := range c.earlier {
				c := dialCaller(t, d)
				wg.Go(func() { _, _, _ = rawCall(c, path, fmt.Sprint("e", i), fmt.Sprint("e", i)) })
			}
			wg.Wait()
			first := dialCaller(t, d)
			wg.Go(func() {
				status, _, whole := rawCall(first, path, "first", "first")
				if status != http.StatusOK || !whole {
					t.Errorf("the request that was there before the signal gets status %d, whole %v", status, whole)
				}
				mu.Lock()
				defer mu.Unlock()
				accepted++
			})
			f.eventually(func() bool { return d.inFlight.Load() == 1 }, "the first request isn't there")
			// Each caller has connected before the stop, and sends its request on that connection.
			for i := range requests {
				c := dialCaller(t, d)
				wg.Go(func() {
					<-signalled
					time.Sleep(time.Duration(i+1) * period)
					start := time.Now()
					status, header, whole := rawCall(c, path, fmt.Sprint("r", i), fmt.Sprint(i))
					mu.Lock()
					defer mu.Unlock()
					switch {
					case status == http.StatusServiceUnavailable:
						if header.Get("Retry-After") == "" || time.Since(start) > atOnce {
							t.Errorf("request %d is refused after %v, Retry-After %q", i, time.Since(start), header.Get("Retry-After"))
						}
					case !whole:
						t.Errorf("request %d, sent %v after the signal, is cut", i, time.Duration(i+1)*period)
					default:
						accepted++
					}
				})
			}
			d.cancel()
			f.eventually(d.leaving.Load, "the daemon doesn't stop")
			close(signalled)
			wg.Wait()
			<-d.done
			require.Equal(t, c.earlier+accepted, len(upstreams[0].Runs())+len(upstreams[1].Runs()),
				"a request that was refused as not run has run, or one ran in vain")
			require.GreaterOrEqual(t, accepted, c.minAccepted)
			require.LessOrEqual(t, accepted, c.maxAccepted)
			require.Empty(t, seen())
		})
	}
}

// Guards against requests that a planned stop catches while they are read: they haven't run and may go elsewhere.
func TestPlannedStopRefusesHalfReadRequests(t *testing.T) {
	seen := violations(t)
	f := newTestFleet(t)
	f.configureRate(1, 1_000_000, "secret")
	app := f.startUpstream("app", slowUpstream("a1", "", 0))
	d := f.start("d1", nil)
	f.ready(1)
	c := dialCaller(t, d)
	_, err := fmt.Fprintf(c, "POST /order/x HTTP/1.1\r\nHost: h.example\r\n%s: r1\r\n%s: 60000\r\nAuthorization: Bearer secret\r\nContent-Length: 8\r\n\r\nhalf",
		requestIDKey, deadlineHeader)
	require.NoError(t, err)
	f.eventually(func() bool { return d.inFlight.Load() == 1 }, "the request isn't read")
	d.cancel()
	status, header, whole := rawResponse(c)
	require.True(t, whole)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.NotEmpty(t, header.Get("Retry-After"))
	<-d.done
	require.Empty(t, app.Runs())
	require.Empty(t, seen())
}

// Guards against a stop that waits for callers who have connected and send nothing, also if the grace is shorter than the directory's
// answers are kept.
func TestPlannedStopEndsWithUnusedConnections(t *testing.T) {
	for _, grace := range []float64{1, 4} {
		t.Run(fmt.Sprint(grace), func(t *testing.T) {
			f := newTestFleet(t)
			f.graceS = grace
			f.configure(1, "secret")
			d := f.start("d1", nil)
			f.ready(0)
			c := dialCaller(t, d)
			start := time.Now()
			d.stop()
			require.Less(t, time.Since(start), time.Duration(grace*float64(time.Second)))
			_, err := c.Read(make([]byte, 1))
			require.True(t, errors.Is(err, io.EOF) || strings.Contains(err.Error(), "reset"), "%v", err)
		})
	}
}
