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

// deadline is the header with which a caller says how long it waits.
const deadline = "X-Gooseberryway-Deadline-Milliseconds"

// endless writes a head and then pieces of what follows until its connection ends; ended tells when, written how much.
type endless struct {
	head, piece string
	pause       time.Duration
	ended       atomic.Bool
	written     atomic.Int64
}

func (e *endless) behave(w http.ResponseWriter, _ *http.Request) bool {
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

// Bytes that are no answer may come without end, in a head or a body, until their reader closes.
func TestBytesWithoutEndEndWithTheirConnection(t *testing.T) {
	kilobyte := strings.Repeat("x", 1<<10)
	const ok = "HTTP/1.1 200 OK\r\nX-Gooseberryway-Attempt-Id: r1\r\n"
	for name, c := range map[string]struct {
		path string
		*endless
		// most is how many bytes may be taken.
		most int64
	}{
		"one header":        {path: "/order/x", endless: &endless{head: "HTTP/1.1 200 OK\r\nX-Junk: ", piece: kilobyte}, most: 16 << 20},
		"headers":           {path: "/order/x", endless: &endless{head: ok, piece: "X-Junk: " + kilobyte + "\r\n"}, most: 16 << 20},
		"interim answers":   {path: "/order/x", endless: &endless{piece: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"}, most: 16 << 20},
		"no answer":         {path: "/order/x", endless: &endless{piece: kilobyte}, most: 16 << 20},
		"body now and then": {path: "/order/x", endless: &endless{head: ok + "\r\n", piece: "x", pause: 20 * time.Millisecond}, most: 1 << 10},
		"chunks": {
			path: "/draft/x", endless: &endless{head: ok + "Transfer-Encoding: chunked\r\n\r\n", piece: "1\r\nx\r\n", pause: 20 * time.Millisecond},
			most: 1 << 10,
		},
		"chunk extension": {
			path: "/draft/x", endless: &endless{head: ok + "Transfer-Encoding: chunked\r\n\r\n1;", piece: kilobyte}, most: 16 << 20,
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newRig(t)
			f.configure(1, "secret")
			e := c.endless
			service, model1 := "app", ""
			if strings.HasPrefix(c.path, "/draft") {
				service, model1 = "llm", "m"
			}
			f.worker(service, &standin.Upstream{ID: "w1", Model: model1, Version: 1, Intercept: e.behave})
			d := f.start("d1", nil)
			f.ready(1)
			begun := time.Now()
			resp := f.call(d, c.path, "r1", "secret", "p", model, "m", deadline, "700")
			_, err := io.ReadAll(resp.Body)
			require.True(t, err != nil || resp.StatusCode >= http.StatusInternalServerError, "it must not look complete")
			require.Less(t, time.Since(begun), 3*time.Second)
			f.eventually(e.ended.Load, "the upstream's connection is left open")
			require.LessOrEqual(t, e.written.Load(), c.most)
			f.eventually(func() bool { return d.inFlight.Load() == 0 }, "the request is still held")
		})
	}
}

// A stream whose events come seldom is sound as long as its upstream can be reached.
func TestASlowSoundStreamIsNotCut(t *testing.T) {
	f := newRig(t)
	f.configure(1, "secret")
	workers := []*standin.Upstream{
		{ID: "e1", Model: "m", Version: 1, EventCount: 4, EventInterval: 900 * time.Millisecond},
		{ID: "e2", Model: "m", Version: 1, EventCount: 4, EventInterval: 900 * time.Millisecond},
	}
	for _, w := range workers {
		f.worker("llm", w)
	}
	d := f.start("d1", nil)
	f.ready(2)
	require.Equal(t, wantIDs(4), eventIDs(t, f.call(d, "/note/x", "r1", "secret", "p", model, "m", deadline, "6000")))
	require.Equal(t, 1, len(workers[0].Runs())+len(workers[1].Runs()), "the stream was moved")
}

// A second answer that arrives late belongs to nobody: the next request on the connection must not get it.
func TestASecondAnswerOnAConnectionInUseAgainIsNotDelivered(t *testing.T) {
	f := newRig(t)
	f.configure(1, "secret")
	answer := func(id, text string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Gooseberryway-Attempt-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(text), text)
	}
	f.worker("app", &standin.Upstream{ID: "a1", Intercept: func(w http.ResponseWriter, r *http.Request) bool {
		c, rw, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return true
		}
		defer c.Close()
		for id := r.Header.Get("X-Gooseberryway-Attempt-Id"); ; {
			_, _ = rw.WriteString(answer(id, "answer to "+id))
			_ = rw.Flush()
			// The copy comes once the connection may be in use again.
			time.Sleep(5 * time.Millisecond)
			_, _ = rw.WriteString(answer(id, "answer to "+id))
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
		resp := f.call(d, "/order/x", id, "secret", "one mirror", deadline, "1000")
		body, err := io.ReadAll(resp.Body)
		if resp.StatusCode == http.StatusOK && err == nil {
			require.Equal(t, "answer to "+id, string(body))
		}
		time.Sleep(time.Duration(i%8) * time.Millisecond)
	}
}

// A route's attempts count upstreams that may have run a request; one that says that it did not isn't the last.
func TestAnUpstreamThatDidNotRunARequestDoesNotUseUpItsAttempt(t *testing.T) {
	f := newRig(t)
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
	workers := []*standin.Upstream{
		{ID: "e1", Model: "m", Version: 1, EventCount: 2, Intercept: refuse}, {ID: "e2", Model: "m", Version: 1, EventCount: 2, Intercept: refuse},
	}
	for _, w := range workers {
		f.worker("llm", w)
	}
	d := f.start("d1", nil)
	f.ready(2)
	require.Equal(t, wantIDs(2), eventIDs(t, f.call(d, "/draft/x", "r1", "secret", "p", model, "m")))
	require.Equal(t, 1, len(workers[0].Runs())+len(workers[1].Runs()))
}

func TestARequestThatWouldOutlastItsCallerIsRefusedAtOnce(t *testing.T) {
	const tokens = "X-Gooseberryway-Token-Counts"
	f := newRig(t)
	f.configureRate(1, 10_000_000, "secret")
	w := f.worker("llm", &standin.Upstream{ID: "e1", Model: "m", Version: 1, EventCount: 1})
	d := f.start("d1", nil)
	f.ready(1)
	// The daemon learns how fast the engine reads.
	for i := range 10 {
		for _, size := range []string{"100,10", "8000,10"} {
			id := fmt.Sprint("r", i, size)
			require.Equal(t, http.StatusOK, f.call(d, "/draft/x", id, "secret", "p", model, "m", tokens, size).StatusCode)
		}
	}
	runs := len(w.Runs())
	c, err := net.Dial("udp4", d.Settings.Listen.Peers)
	require.NoError(t, err)
	defer c.Close()
	// What a peer tells of loads counts for some beats only, so that it goes on telling.
	told := make(chan struct{})
	defer func() { <-told }()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		defer close(told)
		for sequence := uint64(1); ctx.Err() == nil; sequence++ {
			beat, err := proto.Marshal(&wire.Beat{
				Daemon: "busy", Incarnation: 1, Sequence: sequence, PeriodMs: 100, PeerAddress: "127.0.0.1:1", Serving: true,
				Loads: &wire.UpstreamLoads{
					Upstream: []uint32{uint32(ident.UpstreamID("e1").Tag())}, Requests: []uint32{3}, Unread: []uint32{1 << 31}, Late: []uint32{0},
				},
			})
			if err != nil {
				return
			}
			// One that is lost is followed by others.
			_, _ = c.Write(beat)
			time.Sleep(50 * time.Millisecond)
		}
	}()
	f.eventually(func() bool { return d.placer.WorkAt("e1").PrefillTokens > 0 }, "the beat was not heard")
	begun := time.Now()
	resp := f.call(d, "/draft/x", "late", "secret", "p", model, "m", tokens, "100,10")
	require.Less(t, time.Since(begun), time.Second, "the refusal is not held back")
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	require.Contains(t, text(t, resp), "tooLateToServe")
	require.Len(t, w.Runs(), runs, "not run is true")
}
