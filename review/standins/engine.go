//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// flushAfter is how long a worker gathers the beginning of an answer. An answer that is complete by then is sent with its length,
// any other in chunks.
const flushAfter = 100 * time.Millisecond

// madeBy says which request made a part that is kept.
type madeBy struct {
	request, tenant string
	version         int64
}

// run is a request that a worker ran.
type run struct {
	worker, request, tenant, target string
	from                            int
	at                              time.Time
	// used are the kept parts that the run went on from.
	used map[string]madeBy
}

// engine is a stand-in for a model worker.
type engine struct {
	service, model, zone string
	address              string
	// events is the number of events of an answer, interval the time between two of them.
	events   int
	interval time.Duration
	// first is the time to the first event beyond interval.
	first time.Duration
	// crlf says that the lines of events end with CR and LF.
	crlf bool
	rec  *recorder

	mu     sync.Mutex
	id     string
	born   int64
	starts int
	seq    int64
	// version is that of the weights, loading the one that an order is bringing; 0 for none. fence is the highest generation number.
	version, loading, orders int64
	fence                    uint64
	// kept holds the parts that the worker keeps, by salt and part.
	kept   map[string]madeBy
	runs   []run
	server *http.Server
	up     bool
	// extraShare is the share of the answers of which a second copy comes late, where the next answer on the channel is expected.
	extraShare float64
}

// connKey is the key of a channel in a request's context.
type connKey struct{}

// channel is a channel from a daemon. extra is the copy that comes before the next answer.
type channel struct {
	net.Conn
	extra []byte
}

// loadTime is how long new weights take a worker, as at the site.
const loadTime = 570 * time.Millisecond

// start starts the worker as a new boot.
func (e *engine) start(id string) error {
	l, err := listen(e.address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.address = l.Addr().String()
	e.id, e.born, e.orders, e.kept, e.up = id, time.Now().UnixMilli(), 0, map[string]madeBy{}, true
	e.version = max(1, e.version)
	e.starts++
	e.loading, e.fence = 0, 0
	e.server = &http.Server{
		Handler: http.HandlerFunc(e.serve),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, &channel{Conn: c})
		},
	}
	go func(s *http.Server) { _ = s.Serve(l) }(e.server)
	e.rec.log("worker %s (%s) starts at %s", e.id, e.service, e.address)
	return nil
}

// crash closes the worker's listener and all its channels at once.
func (e *engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rec.log("worker %s crashes", e.id)
	e.up = false
	_ = e.server.Close()
}

// entry returns the worker's entry in the list of workers.
func (e *engine) entry(state string) (string, map[string]any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seq++
	v := map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": 64, "state": state,
		"cold-remaining-ms": 0, "sequence": e.seq, "born": e.born,
	}
	if e.model != "" {
		v["stage"] = "prefill_and_decode"
		v["models"] = []any{map[string]any{"name": e.model, "version": e.version, "adapters": []any{}}}
	}
	return e.id, v
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	if c, _ := r.Context().Value(connKey{}).(*channel); c != nil && c.extra != nil {
		e.rec.log("worker %s sends a second copy of an earlier answer before that to %s %s %s", e.id, r.Method, r.URL.Path,
			r.Header.Get("X-Gooseberryway-Attempt-Id"))
		_, _ = c.Write(c.extra)
		c.extra = nil
	}
	switch {
	case r.URL.Path == "/api/kv-events":
		ms, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
		select {
		case <-time.After(time.Duration(ms) * time.Millisecond):
		case <-r.Context().Done():
		}
		_, _ = io.WriteString(w, `{"boot-epoch":1,"next":1,"lost":false,"events":[]}`)
	case r.URL.Path == "/api/kv-list":
		_, _ = io.WriteString(w, `{"boot-epoch":1,"next":1,"held":[]}`)
	case r.URL.Path == "/api/report":
		e.mu.Lock()
		body, _ := json.Marshal(map[string]any{
			"stage": "prefill_and_decode", "models": []any{map[string]any{"name": e.model, "version": e.version, "adapters": []any{}}},
			"busy": e.loading != 0, "sequence": e.orders, "waiting": 0, "running": 0, "kv-used": 0, "kv-total": 112711, "handles": 0, "born": e.born,
		})
		e.mu.Unlock()
		e.write(w, r, http.StatusOK, "", body)
	case r.URL.Path == "/api/order":
		e.write(w, r, e.order(r), "", nil)
	case strings.HasPrefix(r.URL.Path, "/api/"):
		w.WriteHeader(http.StatusBadRequest)
	default:
		e.answer(w, r)
	}
}

// write sends an answer with a length and decides whether a second copy of it comes late.
func (e *engine) write(w http.ResponseWriter, r *http.Request, status int, id string, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
	e.owe(r, status, w.Header(), body)
}

// owe lets a share of the answers come a second time.
func (e *engine) owe(r *http.Request, status int, h http.Header, body []byte) {
	e.mu.Lock()
	owes := rand.Float64() < e.extraShare
	e.mu.Unlock()
	c, _ := r.Context().Value(connKey{}).(*channel)
	if !owes || c == nil {
		return
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for name, values := range h {
		if name != "Content-Length" && name != "Transfer-Encoding" {
			fmt.Fprintf(&b, "%s: %s\r\n", name, values[0])
		}
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	c.extra = b.Bytes()
	e.rec.log("worker %s will send its answer to %s %s %s once more", e.id, r.Method, r.URL.Path, r.Header.Get("X-Gooseberryway-Attempt-Id"))
}

// order takes an order to load a version and returns the status.
func (e *engine) order(r *http.Request) int {
	var o struct {
		Version  int64  `json:"version"`
		Holder   string `json:"holder"`
		Fence    uint64 `json:"fencing-token"`
		Expected *int64 `json:"expected-revision"`
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Holder == "" || o.Fence == 0 {
		return http.StatusBadRequest
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case r.Header.Get("X-Gooseberryway-Expect-Instance") != "" && r.Header.Get("X-Gooseberryway-Expect-Instance") != e.id:
		return http.StatusMisdirectedRequest
	case o.Fence < e.fence:
		return http.StatusPreconditionFailed
	case e.loading != 0 || o.Expected != nil && *o.Expected != e.orders:
		return http.StatusConflict
	case o.Version == e.version:
		return http.StatusOK
	}
	e.fence, e.loading = o.Fence, o.Version
	e.orders++
	e.rec.log("worker %s takes the order of %s to load version %d", e.id, o.Holder, o.Version)
	born := e.born
	time.AfterFunc(loadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.born == born {
			e.version, e.loading, e.kept = e.loading, 0, map[string]madeBy{}
		}
	})
	return http.StatusAccepted
}

// answer runs a request.
func (e *engine) answer(w http.ResponseWriter, r *http.Request) {
	h := r.Header
	id := h.Get("X-Gooseberryway-Attempt-Id")
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	w.Header().Set("X-Gooseberryway-Attempt-Id", id)
	e.mu.Lock()
	if want := h.Get("X-Gooseberryway-Expect-Instance"); want != "" && want != e.id {
		e.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if want := h.Get("X-Gooseberryway-Expect-Version"); want != "" && want != strconv.FormatInt(e.version, 10) {
		e.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if e.loading != 0 {
		e.mu.Unlock()
		w.Header().Set("X-Gooseberryway-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	from, _ := strconv.Atoi(h.Get("Last-Event-Id"))
	n := run{worker: e.id, request: id, tenant: h.Get("X-Gooseberryway-Tenant"), target: r.RequestURI, from: from, at: time.Now(), used: map[string]madeBy{}}
	e.readPrompt(&n, h.Get("X-Gooseberryway-Cache-Salt"), h.Get("X-Gooseberryway-Prompt-Prefix"))
	e.runs = append(e.runs, n)
	worker := e.id
	e.mu.Unlock()
	e.rec.log("worker %s runs %s of tenant %s from event %d, salt %q, goes on from kept parts %v", worker, id, n.tenant, from+1,
		h.Get("X-Gooseberryway-Cache-Salt"), n.used)
	w.Header().Set("X-Gooseberryway-Response-Signature", "sig."+worker+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	e.stream(w, r, from)
}

// readPrompt uses the leading parts of the prompt that are kept under the salt and keeps the others but the last. The caller
// holds e.mu.
func (e *engine) readPrompt(n *run, salt, prefix string) {
	parts := strings.Split(prefix, ",")
	hit := true
	for i, part := range parts {
		if i == len(parts)-1 {
			return
		}
		key := salt + "/" + strings.TrimSpace(part)
		if m, ok := e.kept[key]; ok && hit {
			n.used[key] = m
			continue
		}
		hit = false
		e.kept[key] = madeBy{request: n.request, tenant: n.tenant, version: e.version}
	}
}

// stream sends the events after from. What is made within flushAfter is gathered first; an answer that is complete by then is sent
// with its length.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, from int) {
	var gathered bytes.Buffer
	time.Sleep(e.first)
	began := time.Now()
	flushed := false
	c := http.NewResponseController(w)
	for i := from + 1; i <= e.events; i++ {
		select {
		case <-time.After(e.interval):
		case <-r.Context().Done():
			return
		}
		gathered.WriteString(e.event(i))
		if flushed || time.Since(began) >= flushAfter {
			flushed = true
			_, _ = w.Write(gathered.Bytes())
			_ = c.Flush()
			gathered.Reset()
		}
	}
	if !flushed {
		w.Header().Set("Content-Length", strconv.Itoa(gathered.Len()))
		_, _ = w.Write(gathered.Bytes())
	}
	e.owe(r, http.StatusOK, w.Header(), []byte(e.allEvents(from)))
}

// event returns an event of an answer.
func (e *engine) event(i int) string {
	s := fmt.Sprintf("id: %d\ndata: piece %d of %d\n\n", i, i, e.events)
	if e.crlf {
		return strings.ReplaceAll(s, "\n", "\r\n")
	}
	return s
}

// allEvents returns the events of an answer after from.
func (e *engine) allEvents(from int) string {
	var b strings.Builder
	for i := from + 1; i <= e.events; i++ {
		b.WriteString(e.event(i))
	}
	return b.String()
}

// beat writes the worker's entry into the store about as often as the site's workers do, until stop is closed.
func (f *fleet) beat(e *engine, stop chan struct{}) {
	listed := ""
	for {
		e.mu.Lock()
		up := e.up
		e.mu.Unlock()
		if up {
			id, v := e.entry("ready")
			if listed != "" && listed != id {
				f.store.Put("keyed.servers", listed, nil)
			}
			listed = id
			f.store.Put("keyed.servers", id, v)
		}
		select {
		case <-stop:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}
