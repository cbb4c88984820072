package entry

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/platform/standin"
)

// longAnswer is how long requests last whose body begins with "long"; others are answered at once.
const longAnswer = 3500 * time.Millisecond

// unevenUpstream sends the first of two events at once, and the rest of the answer at the end.
func unevenUpstream(id, model string) *standin.Upstream {
	u := &standin.Upstream{ID: id, Model: model, Version: 1}
	u.Intercept = func(w http.ResponseWriter, r *http.Request) bool {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set(requestIDKey, r.Header.Get(requestIDKey))
		w.Header().Set("X-Gooseberryway-Response-Signature", "sig-"+id)
		if model != "" {
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
			_ = http.NewResponseController(w).Flush()
		}
		if strings.HasPrefix(string(body), "long") {
			select {
			case <-time.After(longAnswer):
			case <-r.Context().Done():
			}
		}
		_, _ = io.WriteString(w, "id: 2\ndata: b\n\n")
		return true
	}
	return u
}

// startUneven starts a daemon with a history of short answers on each path, and returns a kept connection for each.
func startUneven(t *testing.T, graceS float64, paths ...string) (*testDaemon, []net.Conn) {
	t.Helper()
	seen := violations(t)
	t.Cleanup(func() { require.Empty(t, seen()) })
	f := newTestFleet(t)
	f.graceS = graceS
	f.configureRate(1, 1_000_000, "secret")
	f.startUpstream("llm", unevenUpstream("e1", "m"))
	f.startUpstream("app", unevenUpstream("a1", ""))
	d := f.start("d1", nil)
	f.ready(2)
	var conns []net.Conn
	for _, path := range paths {
		c := dialCaller(t, d)
		for i := range 16 {
			status, _, whole := rawCall(c, path, fmt.Sprint(path, i), "short")
			require.True(t, status == http.StatusOK && whole)
		}
		conns = append(conns, c)
	}
	return d, conns
}

// requireWholeOrRefused fails if a request is neither answered in full nor refused as not run.
func requireWholeOrRefused(t *testing.T, c net.Conn, path, id string) {
	t.Helper()
	status, header, whole := rawCall(c, path, id, "long")
	refused := status == http.StatusServiceUnavailable && header.Get("Retry-After") != ""
	if !whole || status != http.StatusOK && !refused {
		t.Errorf("%s %s gets status %d, whole %v", path, id, status, whole)
	}
}

// Guards against a request that is sent late in a planned stop because answers have been short, and cut because its own is long.
func TestLongAnswerIsNotTakenLateInPlannedStop(t *testing.T) {
	paths := []string{"/note/x", "/draft/x", "/order/x", "/lookup/x"}
	d, conns := startUneven(t, 5, paths...)
	var wg sync.WaitGroup
	keep := dialCaller(t, d)
	wg.Go(func() { requireWholeOrRefused(t, keep, "/order/x", "keep") })
	require.Eventually(t, func() bool { return d.inFlight.Load() == 1 }, waitTimeout, waitTick)
	d.cancel()
	time.Sleep(3100 * time.Millisecond)
	for i, path := range paths {
		wg.Go(func() { requireWholeOrRefused(t, conns[i], path, "late") })
	}
	wg.Wait()
}

// Guards against an estimate of a planned stop that knows only answers that have ended.
func TestPlannedStopCountsAnswersInProgress(t *testing.T) {
	paths := []string{"/draft/x", "/order/x"}
	d, conns := startUneven(t, 4, paths...)
	var wg sync.WaitGroup
	for _, path := range paths {
		c := dialCaller(t, d)
		wg.Go(func() { requireWholeOrRefused(t, c, path, "first") })
	}
	time.Sleep(500 * time.Millisecond)
	d.cancel()
	time.Sleep(1900 * time.Millisecond)
	for i, path := range paths {
		wg.Go(func() { requireWholeOrRefused(t, conns[i], path, "second") })
	}
	wg.Wait()
}

// Guards against a planned stop whose estimate ends a request that an upstream has broken off, though another upstream answers in time.
func TestPlannedStopRetriesRequestThatMayHaveRun(t *testing.T) {
	for _, path := range []string{"/lookup/x", "/note/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			f := newTestFleet(t)
			f.configureRate(1, 1_000_000, "secret")
			service, model := "app", ""
			if path == "/note/x" {
				service, model = "llm", "m"
			}
			var arrivals atomic.Int64
			broken := make(chan struct{})
			for i := range 2 {
				u := &standin.Upstream{ID: fmt.Sprint("u", i), Model: model, Version: 1}
				if model != "" {
					u.EventCount = 3
				}
				u.Intercept = func(w http.ResponseWriter, r *http.Request) bool {
					if arrivals.Add(1) > 1 {
						return false
					}
					<-broken
					if model != "" {
						w.Header().Set(requestIDKey, r.Header.Get(requestIDKey))
						u.Stream(w, r, 1)
					}
					panic(http.ErrAbortHandler)
				}
				f.startUpstream(service, u)
			}
			d := f.start("d1", nil)
			f.ready(2)
			c := dialCaller(t, d)
			time.AfterFunc(100*time.Millisecond, d.cancel)
			time.AfterFunc(200*time.Millisecond, func() { close(broken) })
			status, _, whole := rawCall(c, path, "r1", "body")
			require.True(t, whole, "the response is cut")
			require.Equal(t, http.StatusOK, status)
		})
	}
}

// Guards against a request that is sent between the last look at open requests and the refusal of new ones, and ended by the stop.
func TestPlannedStopAnswersWhatComesAtLastLook(t *testing.T) {
	const took = 300 * time.Millisecond
	f := newTestFleet(t)
	f.configureRate(1, 1_000_000, "secret")
	f.startUpstream("app", slowUpstream("a1", "", took))
	d := f.start("d1", nil)
	f.ready(1)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	s := &servers{passed: &d.passedInFlight, listeners: []net.Listener{l}}
	s.httpServers = []*http.Server{{Handler: http.HandlerFunc(d.serveCaller), ConnState: s.busy.update, ReadHeaderTimeout: time.Minute}}
	go func() { _ = s.httpServers[0].Serve(l) }()
	c, err := net.Dial("tcp4", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	// The server has accepted the connection once it has served a request on it.
	status, _, whole := rawCall(c, "/order/x", "r0", "body")
	require.True(t, status == http.StatusOK && whole)
	f.eventually(func() bool { return s.inProgress() == 0 }, "the first request isn't over")
	var wg sync.WaitGroup
	require.Zero(t, s.closeCallers(time.Now().Add(waitTimeout), func() {
		wg.Go(func() {
			status, _, whole := rawCall(c, "/order/x", "r1", "body")
			if status != http.StatusOK || !whole {
				t.Errorf("a request that was sent gets status %d, whole %v", status, whole)
			}
		})
		f.eventually(func() bool { return d.inFlight.Load() == 1 }, "the request isn't there")
		time.Sleep(took / 3)
		d.requestStop.RefuseNew()
	}))
	wg.Wait()
}

// Guards against a reset, by the unread bytes of a pipelined request, that takes what a slow caller hasn't read of its answer.
func TestPlannedStopDeliversAnswerBeforePipelinedRequest(t *testing.T) {
	const size = 60 << 10
	f := newTestFleet(t)
	f.configureRate(1, 1_000_000, "secret")
	sent := make(chan struct{})
	f.startUpstream("app", &standin.Upstream{ID: "a1", Intercept: func(w http.ResponseWriter, r *http.Request) bool {
		w.Header().Set(requestIDKey, r.Header.Get(requestIDKey))
		w.Header().Set(signatureKey, "sig")
		<-sent
		_, _ = w.Write(bytes.Repeat([]byte("x"), size))
		return true
	}})
	d := f.start("d1", nil)
	f.ready(1)
	c := dialCaller(t, d)
	require.NoError(t, c.(*net.TCPConn).SetReadBuffer(4096))
	send := func(id string) {
		_, err := fmt.Fprintf(c, "POST /order/x HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n%s: 3000\r\nAuthorization: Bearer secret\r\nContent-Length: 0\r\n\r\n",
			requestIDKey, id, deadlineHeader)
		require.NoError(t, err)
	}
	d.cancel()
	f.eventually(d.leaving.Load, "the daemon doesn't stop")
	send("r1")
	f.eventually(func() bool { return d.inFlight.Load() == 1 }, "the request isn't there")
	send("r2")
	close(sent)
	f.eventually(func() bool { return d.inFlight.Load() == 0 }, "the answer isn't written")
	time.Sleep(100 * time.Millisecond)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	n, err := io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	require.EqualValues(t, size, n)
}
