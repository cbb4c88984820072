package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/platform/standin"
)

// deadlineHeader is the header in which a caller says how many milliseconds it waits.
const deadlineHeader = "X-Gooseberryway-Deadline-Milliseconds"

// endlessResponse writes head and then piece again and again until its connection is closed. ended is set when it
// stops; written counts the bytes so far.
type endlessResponse struct {
	head, piece string
	pause       time.Duration
	ended       atomic.Bool
	written     atomic.Int64
}

func (e *endlessResponse) intercept(w http.ResponseWriter, _ *http.Request) bool {
	defer e.ended.Store(true)
	c, rw, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return true
	}
	defer c.Close()
	write := func(text string) bool {
		n, err := io.WriteString(rw, text)
		e.written.Add(int64(n))
		return err == nil && rw.Flush() == nil
	}
	for ok := write(e.head); ok; ok = write(e.piece) {
		time.Sleep(e.pause)
	}
	return true
}

// An upstream may send bytes without end, as a header or as a body. The daemon must cut the connection at the
// deadline, without buffering much, and release the request.
func TestEndlessResponseIsCutAtDeadline(t *testing.T) {
	kilobyte := strings.Repeat("x", 1<<10)
	const ok = "HTTP/1.1 200 OK\r\nX-Gooseberryway-Attempt-Id: r1\r\nX-Gooseberryway-Response-Signature: s\r\n"
	for name, c := range map[string]struct {
		path string
		*endlessResponse
		// maxBytes is how many bytes the daemon may read.
		maxBytes int64
	}{
		"one endless header": {path: "/order/x", endlessResponse: &endlessResponse{head: "HTTP/1.1 200 OK\r\nX-Junk: ", piece: kilobyte}, maxBytes: 16 << 20},
		"endless headers":    {path: "/order/x", endlessResponse: &endlessResponse{head: ok, piece: "X-Junk: " + kilobyte + "\r\n"}, maxBytes: 16 << 20},
		"interim responses":  {path: "/order/x", endlessResponse: &endlessResponse{piece: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"}, maxBytes: 16 << 20},
		"no HTTP":            {path: "/order/x", endlessResponse: &endlessResponse{piece: kilobyte}, maxBytes: 16 << 20},
		"slow body":          {path: "/order/x", endlessResponse: &endlessResponse{head: ok + "\r\n", piece: "x", pause: 20 * time.Millisecond}, maxBytes: 1 << 10},
		"slow chunks": {
			path: "/draft/x", endlessResponse: &endlessResponse{head: ok + "Transfer-Encoding: chunked\r\n\r\n", piece: "1\r\nx\r\n", pause: 20 * time.Millisecond},
			maxBytes: 1 << 10,
		},
		"endless event": {
			path: "/draft/x", endlessResponse: &endlessResponse{head: ok + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ", piece: kilobyte}, maxBytes: 16 << 20,
		},
		"endless event of a resumable stream": {
			path: "/note/x", endlessResponse: &endlessResponse{head: ok + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ", piece: kilobyte}, maxBytes: 16 << 20,
		},
		"endless lines of a resumable stream": {
			path: "/note/x", endlessResponse: &endlessResponse{head: ok + "\r\n", piece: "data: " + kilobyte + "\n"}, maxBytes: 16 << 20,
		},
		"endless chunk extension": {
			path: "/draft/x", endlessResponse: &endlessResponse{head: ok + "Transfer-Encoding: chunked\r\n\r\n1;", piece: kilobyte}, maxBytes: 16 << 20,
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t)
			f.configure(1, "secret")
			e := c.endlessResponse
			service, modelName := "app", ""
			if !strings.HasPrefix(c.path, "/order") {
				service, modelName = "llm", "m"
			}
			f.startUpstream(service, &standin.Upstream{ID: "w1", Model: modelName, Version: 1, Intercept: e.intercept})
			d := f.start("d1", nil)
			f.ready(1)
			sentAt := time.Now()
			resp := f.call(d, c.path, "r1", "secret", "p", modelHeader, "m", deadlineHeader, "700")
			_, err := io.ReadAll(resp.Body)
			require.True(t, err != nil || resp.StatusCode >= http.StatusInternalServerError, "the response looks complete")
			require.Less(t, time.Since(sentAt), 3*time.Second)
			f.eventually(e.ended.Load, "the connection to the upstream was not closed")
			require.LessOrEqual(t, e.written.Load(), c.maxBytes)
			f.eventually(func() bool { return d.inFlight.Load() == 0 }, "the request is still in progress")
		})
	}
}

// A stream with long pauses between events is healthy as long as its upstream can be reached: it must not be moved to
// another upstream.
func TestSlowHealthyStreamIsNotMoved(t *testing.T) {
	f := newTestFleet(t)
	f.configure(1, "secret")
	upstreams := []*standin.Upstream{
		{ID: "e1", Model: "m", Version: 1, EventCount: 4, EventInterval: 900 * time.Millisecond},
		{ID: "e2", Model: "m", Version: 1, EventCount: 4, EventInterval: 900 * time.Millisecond},
	}
	for _, w := range upstreams {
		f.startUpstream("llm", w)
	}
	d := f.start("d1", nil)
	f.ready(2)
	require.Equal(t, wantIDs(4), eventIDs(t, f.call(d, "/note/x", "r1", "secret", "p", modelHeader, "m", deadlineHeader, "6000")))
	require.Equal(t, 1, len(upstreams[0].Runs())+len(upstreams[1].Runs()), "the stream was moved to the other upstream")
}

// An upstream may send the same response twice. If the copy arrives once the connection is used again, the next
// request must not get it.
func TestDuplicateResponseOnReusedConnectionIsNotDelivered(t *testing.T) {
	f := newTestFleet(t)
	f.configure(1, "secret")
	response := func(id, text string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Gooseberryway-Attempt-Id: %s\r\nX-Gooseberryway-Response-Signature: s\r\nContent-Length: %d\r\n\r\n%s", id, len(text), text)
	}
	f.startUpstream("app", &standin.Upstream{ID: "a1", Intercept: func(w http.ResponseWriter, r *http.Request) bool {
		c, rw, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return true
		}
		defer c.Close()
		for id := r.Header.Get("X-Gooseberryway-Attempt-Id"); ; {
			_, _ = rw.WriteString(response(id, "answer to "+id))
			_ = rw.Flush()
			// Send the copy when the connection may be in use again.
			time.Sleep(5 * time.Millisecond)
			_, _ = rw.WriteString(response(id, "answer to "+id))
			_ = rw.Flush()
			next, err := http.ReadRequest(bufio.NewReader(rw))
			if err != nil {
				return true
			}
			id = next.Header.Get("X-Gooseberryway-Attempt-Id")
		}
	}})
	d := f.start("d1", nil)
	f.ready(1)
	for i := range 40 {
		id := fmt.Sprintf("r%d", i)
		resp := f.call(d, "/order/x", id, "secret", "one mirror", deadlineHeader, "1000")
		body, err := io.ReadAll(resp.Body)
		if resp.StatusCode == http.StatusOK && err == nil {
			require.Equal(t, "answer to "+id, string(body))
		}
		time.Sleep(time.Duration(i%8) * time.Millisecond)
	}
}

// A route's attempts limit how many upstreams may have run a request. An upstream that rejects it as not run must not
// use one up.
func TestRejectionAsNotRunDoesNotUseUpAttempt(t *testing.T) {
	f := newTestFleet(t)
	f.configure(1, "secret")
	var refusals atomic.Int64
	refuse := func(w http.ResponseWriter, _ *http.Request) bool {
		if refusals.Add(1) > 1 {
			return false
		}
		w.Header().Set("X-Gooseberryway-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
	upstreams := []*standin.Upstream{
		{ID: "e1", Model: "m", Version: 1, EventCount: 2, Intercept: refuse}, {ID: "e2", Model: "m", Version: 1, EventCount: 2, Intercept: refuse},
	}
	for _, w := range upstreams {
		f.startUpstream("llm", w)
	}
	d := f.start("d1", nil)
	f.ready(2)
	require.Equal(t, wantIDs(2), eventIDs(t, f.call(d, "/draft/x", "r1", "secret", "p", modelHeader, "m")))
	require.Equal(t, 1, len(upstreams[0].Runs())+len(upstreams[1].Runs()))
}

// A request that waits behind more work than fits before its deadline would only fail later: it must be refused at once,
// and must not run, as its refusal promises.
func TestRequestThatCannotMeetDeadlineIsRefusedAtOnce(t *testing.T) {
	const tokens = "X-Gooseberryway-Token-Counts"
	f := newTestFleet(t)
	f.configureRate(1, 10_000_000, "secret")
	w := f.startUpstream("llm", &standin.Upstream{ID: "e1", Model: "m", Version: 1, EventCount: 1})
	d := f.start("d1", nil)
	f.ready(1)
	// Let the daemon learn the engine's prefill speed. Only requests that arrive at an engine without outstanding work
	// count, and the daemon may record the end of a request after the caller has its response.
	for i := range 10 {
		for _, size := range []string{"100,10", "8000,10"} {
			id := fmt.Sprint("r", i, size)
			require.Equal(t, http.StatusOK, f.call(d, "/draft/x", id, "secret", "p", modelHeader, "m", tokens, size).StatusCode)
			f.eventually(func() bool { return d.placer.WorkAt("e1").Requests == 0 }, "the request is still outstanding")
		}
	}
	runs := len(w.Runs())
	c, err := net.Dial("udp4", d.Settings.Listen.Peers)
	require.NoError(t, err)
	defer c.Close()
	// Outstanding work that a peer reports expires after a few heartbeats, so it is sent again and again.
	senderDone := make(chan struct{})
	defer func() { <-senderDone }()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		defer close(senderDone)
		for sequence := uint64(1); ctx.Err() == nil; sequence++ {
			heartbeat, err := proto.Marshal(&wire.Beat{
				Daemon: "busy", Incarnation: 1, Sequence: sequence, PeriodMs: 100, PeerAddress: "127.0.0.1:1", Serving: true,
				Loads: &wire.UpstreamLoads{
					Upstream: []uint32{uint32(ident.UpstreamID("e1").Tag())}, Requests: []uint32{3}, Unread: []uint32{1 << 31}, Late: []uint32{0},
				},
			})
			if err != nil {
				return
			}
			// A lost datagram is made up for by the next one.
			_, _ = c.Write(heartbeat)
			time.Sleep(50 * time.Millisecond)
		}
	}()
	f.eventually(func() bool { return d.placer.WorkAt("e1").PrefillTokens > 0 }, "the heartbeat was not applied")
	sentAt := time.Now()
	resp := f.call(d, "/draft/x", "late", "secret", "p", modelHeader, "m", tokens, "100,10")
	require.Less(t, time.Since(sentAt), time.Second, "the refusal came late")
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	require.Contains(t, text(t, resp), "tooLateToServe")
	require.Len(t, w.Runs(), runs, "a request refused as not run was run")
}
