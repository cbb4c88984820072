//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// arrival is a request as a worker got it.
type arrival struct {
	id     string
	worker string
	at     time.Time
}

// worker is a stand-in for a worker. It speaks what the pages say of workers.
type worker struct {
	fleet   *fleet
	service string
	number  int
	// gap is the time between events, events their number; work is how long other requests than prompts take.
	gap, work time.Duration
	events    int
	// slots is how many other requests than prompts the worker runs at a time, with queueFactor times as many waiting; 0 for any number.
	slots int
	// crashesOn reports whether the worker crashes as it begins to answer a request; nil for never.
	crashesOn func(r *http.Request, body string) bool
	// backAfter is how long it is away after a crash.
	backAfter time.Duration

	mu       sync.Mutex
	boots    int
	id       string
	born     int64
	sequence int64
	state    string
	leaving  bool
	delay    time.Duration
	// limit is the Server-Limit that the worker names; empty for none. limitAt is when an answer first named it.
	limit   string
	limitAt time.Time
	// storeCut says that the worker is partitioned from the store.
	storeCut bool
	address  string
	server   *http.Server
	paths    []*path
	arrivals []arrival
	inSlots  chan struct{}
	waiting  int
	running  int
	crashes  []time.Time
	ended    bool
	stopBeat chan struct{}
	// stalledUntil is until when the worker does nothing, though its machine accepts connections.
	stalledUntil time.Time
	runs         []*streamRun
}

// streamRun is one run of a stream at a worker. It ends when the worker has sent all or drops it.
type streamRun struct {
	id, worker string
	start, end time.Time
}

// path is a daemon's way to a worker, which can be cut.
type path struct {
	address string
	target  string

	mu    sync.Mutex
	l     net.Listener
	conns map[net.Conn]bool
	cut   bool
	// silenced is closed when the open connections go silent, and replaced for those that are opened later.
	silenced chan struct{}
}

// addWorker starts a worker and registers it.
func (f *fleet) addWorker(w *worker) error {
	w.fleet, w.number = f, len(f.workers)+1
	f.workers = append(f.workers, w)
	return w.boot()
}

// boot starts the worker under a new id.
func (w *worker) boot() error {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.boots++
	w.id = fmt.Sprintf("i-%d-%d", w.number, w.boots)
	w.born, w.sequence, w.state, w.running = time.Now().UnixMilli(), 0, "ready", 0
	w.address = l.Addr().String()
	w.stopBeat = make(chan struct{})
	id, born, stop := w.id, w.born, w.stopBeat
	w.server = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { w.serve(id, rw, r) }), ReadHeaderTimeout: time.Minute}
	server := w.server
	var paths []*path
	for range w.fleet.daemons {
		p := &path{target: w.address, conns: map[net.Conn]bool{}}
		if err := p.open(); err != nil {
			w.mu.Unlock()
			return err
		}
		paths = append(paths, p)
	}
	w.paths = paths
	w.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	w.register(id, born, paths)
	go w.checkIn(id, born, paths, stop)
	return nil
}

// checkIn renews the worker's entry in the list of workers until it ends. The platform removes the entry after three periods of silence.
func (w *worker) checkIn(id string, born int64, paths []*path, stop chan struct{}) {
	t := time.NewTicker(checkInPeriod)
	defer t.Stop()
	silent := 0
	for {
		select {
		case <-t.C:
			if !w.isStoreCut() {
				silent = 0
				w.register(id, born, paths)
				continue
			}
			if silent++; silent == 3 {
				w.fleet.record.logf("entry of worker %s expires", id)
				w.fleet.removeEntry(id)
			}
		case <-stop:
			time.Sleep(3 * checkInPeriod)
			for w.fleet.storeDown.Load() {
				time.Sleep(100 * time.Millisecond)
			}
			w.fleet.removeEntry(id)
			return
		}
	}
}

func (w *worker) bornAt() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.born
}

func (w *worker) isStoreCut() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.storeCut
}

// setStoreCut partitions the worker from the store, or heals that. Daemons reach it all the while.
func (w *worker) setStoreCut(cut bool) {
	w.mu.Lock()
	w.storeCut = cut
	id := w.id
	w.mu.Unlock()
	w.fleet.record.logf("worker %s partitioned from the store: %v", id, cut)
}

// removeEntry removes a worker's entry from the list.
func (f *fleet) removeEntry(id string) {
	for _, d := range f.daemons {
		d.servers.Put("keyed.servers", id, nil)
	}
}

// register writes the worker's entry, unless the store is down.
func (w *worker) register(id string, born int64, paths []*path) {
	if w.fleet.storeDown.Load() {
		return
	}
	w.mu.Lock()
	w.sequence++
	sequence, state := w.sequence, w.state
	w.mu.Unlock()
	for i, d := range w.fleet.daemons {
		e := map[string]any{
			"service": w.service, "address": paths[i].address, "zone": "zone-a", "version": "v1", "slots": 64, "state": state,
			"cold-remaining-ms": 0, "sequence": sequence, "born": born,
		}
		if w.service == "lm-pool" {
			e["stage"], e["models"] = "prefill_and_decode", []any{map[string]any{"name": "m0", "version": 1, "adapters": []any{}}}
		}
		d.servers.Put("keyed.servers", id, e)
	}
}

// leave makes the worker say in its answers that it leaves, and in its entry as soon as the store takes that.
func (w *worker) leave() {
	w.mu.Lock()
	w.leaving, w.state = true, "draining"
	id, born, paths := w.id, w.born, w.paths
	w.mu.Unlock()
	w.fleet.record.logf("worker %s leaves", id)
	w.register(id, born, paths)
}

// leaveUnreported makes the worker leave without a report: its entry is removed, and it serves on for a while.
func (w *worker) leaveUnreported() {
	w.mu.Lock()
	w.leaving = true
	id, stop := w.id, w.stopBeat
	w.mu.Unlock()
	close(stop)
	w.fleet.record.logf("entry of worker %s is removed", id)
	w.fleet.removeEntry(id)
}

// crash ends the worker as the end of its process would, and starts it again later.
func (w *worker) crash(id string) {
	w.mu.Lock()
	if w.id != id || w.ended {
		w.mu.Unlock()
		return
	}
	w.ended = true
	w.crashes = append(w.crashes, time.Now())
	server, paths, stop := w.server, w.paths, w.stopBeat
	w.mu.Unlock()
	close(stop)
	for _, p := range paths {
		p.close()
	}
	_ = server.Close()
	w.fleet.record.logf("worker %s crashes", id)
	go func() {
		time.Sleep(w.backAfter)
		w.mu.Lock()
		w.ended = false
		w.mu.Unlock()
		if err := w.boot(); err != nil {
			w.fleet.record.logf("worker %d could not start again: %v", w.number, err)
		}
	}()
}

func (w *worker) close() {
	w.mu.Lock()
	server, paths := w.server, w.paths
	w.mu.Unlock()
	for _, p := range paths {
		p.close()
	}
	_ = server.Close()
}

func (w *worker) serve(id string, rw http.ResponseWriter, r *http.Request) {
	w.waitStall()
	h := rw.Header()
	attempt := r.Header.Get("X-Gooseberryway-Attempt-Id")
	if attempt != "" {
		h.Set("X-Gooseberryway-Attempt-Id", attempt)
	}
	if expected := r.Header.Get("X-Gooseberryway-Expect-Instance"); expected != "" && expected != id {
		h.Set("X-Gooseberryway-Instance-Id", id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/health":
		h.Set("X-Gooseberryway-Instance-Id", id)
		return
	case "/api/report":
		w.report(rw)
		return
	case "/api/order":
		rw.WriteHeader(http.StatusOK)
		return
	case "/api/kv-events":
		wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
		pause(r, time.Duration(wait)*time.Millisecond)
		h.Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(rw, `{"boot-epoch":%d,"next":0,"lost":false,"events":[]}`, w.bornAt())
		return
	}
	// The worker stops work when the time that it was given has passed.
	if ms, err := strconv.Atoi(r.Header.Get("X-Gooseberryway-Deadline-Milliseconds")); err == nil {
		ctx, cancel := context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
		defer cancel()
		r = r.WithContext(ctx)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.mu.Lock()
	w.arrivals = append(w.arrivals, arrival{attempt, id, time.Now()})
	w.running++
	if w.inSlots == nil && w.slots > 0 {
		w.inSlots = make(chan struct{}, w.slots)
	}
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		w.running--
		w.mu.Unlock()
	}()
	if w.crashesOn != nil && w.crashesOn(r, string(body)) {
		pause(r, prefillTime(r)+w.work)
		w.crash(id)
		panic(http.ErrAbortHandler)
	}
	h.Set("X-Gooseberryway-Response-Signature", "sig."+id+"."+attempt)
	if w.service != "lm-pool" {
		if !w.takeSlot(r) {
			h.Del("X-Gooseberryway-Response-Signature")
			h.Set("X-Gooseberryway-Not-Executed", "1")
			w.addNotices(h)
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		done := pause(r, w.work+w.currentDelay())
		w.freeSlot()
		w.addNotices(h)
		if !done {
			rw.WriteHeader(http.StatusGatewayTimeout)
			return
		}
		_, _ = io.WriteString(rw, "answer to "+attempt)
		return
	}
	w.stream(rw, r, attempt)
}

// queueFactor is how many times its slots a worker lets wait.
const queueFactor = 4

// takeSlot waits for a slot, and reports false if too many wait or the caller leaves.
func (w *worker) takeSlot(r *http.Request) bool {
	if w.slots == 0 {
		return true
	}
	w.mu.Lock()
	if w.waiting >= queueFactor*w.slots {
		w.mu.Unlock()
		return false
	}
	w.waiting++
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		w.waiting--
		w.mu.Unlock()
	}()
	select {
	case w.inSlots <- struct{}{}:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (w *worker) freeSlot() {
	if w.slots > 0 {
		<-w.inSlots
	}
}

// addNotices adds what a worker says in all its answers of requests to come.
func (w *worker) addNotices(h http.Header) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.leaving {
		h.Set("Server-Leaving", "1")
	}
	if w.limit != "" {
		h.Set("Server-Limit", w.limit)
		if w.limitAt.IsZero() {
			w.limitAt = time.Now()
		}
	}
}

// setDelay makes the worker slow: answers begin later by d.
func (w *worker) setDelay(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.delay = d
}

func (w *worker) currentDelay() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.delay
}

func (w *worker) arrived() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.arrivals)
}

func (w *worker) setLimit(limit string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limit = limit
	w.fleet.record.logf("worker %s names Server-Limit %s", w.id, limit)
}

// stall makes the worker do nothing for d, as one that is busy with something else.
func (w *worker) stall(d time.Duration) {
	w.mu.Lock()
	w.stalledUntil = time.Now().Add(d)
	id := w.id
	w.mu.Unlock()
	w.fleet.record.logf("worker %s is silent for %v", id, d)
}

// waitStall waits until the worker goes on.
func (w *worker) waitStall() {
	w.mu.Lock()
	until := w.stalledUntil
	w.mu.Unlock()
	time.Sleep(time.Until(until))
}

// beginRun records a run, endRun its end.
func (w *worker) beginRun(attempt string) *streamRun {
	w.mu.Lock()
	defer w.mu.Unlock()
	run := &streamRun{id: attempt, worker: w.id, start: time.Now()}
	w.runs = append(w.runs, run)
	return run
}

func (w *worker) endRun(run *streamRun) {
	w.waitStall()
	w.mu.Lock()
	defer w.mu.Unlock()
	run.end = time.Now()
}

func (w *worker) stream(rw http.ResponseWriter, r *http.Request, attempt string) {
	run := w.beginRun(attempt)
	defer w.endRun(run)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	h := rw.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("X-Gooseberryway-Weight-Versions", "1")
	if !pause(r, prefillTime(r)+w.currentDelay()) {
		panic(http.ErrAbortHandler)
	}
	w.addNotices(h)
	c := http.NewResponseController(rw)
	for i := last + 1; i <= w.events; i++ {
		goesOn := i == last+1 || pause(r, w.gap)
		w.waitStall()
		if !goesOn {
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: piece %d of %s\n\n", i, i, attempt); err != nil {
			return
		}
		_ = c.Flush()
	}
}

func (w *worker) report(rw http.ResponseWriter) {
	w.mu.Lock()
	running := w.running
	w.mu.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(map[string]any{
		"stage": "prefill_and_decode", "models": []any{map[string]any{"name": "m0", "version": 1, "adapters": []any{}}}, "busy": false,
		"sequence": 0, "waiting": 0, "running": running, "kv-used": 0, "kv-total": 101817, "handles": 0,
	})
}

// pause waits, and reports false if the caller has left.
func pause(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}

// tokensPerMs is how fast prompts are read.
const tokensPerMs = 44

// prefillTime returns how long the worker reads a prompt.
func prefillTime(r *http.Request) time.Duration {
	tokens := 0
	for _, part := range strings.Split(r.Header.Get("X-Gooseberryway-Prompt-Prefix"), ",") {
		_, size, _ := strings.Cut(part, ":")
		n, _ := strconv.Atoi(size)
		tokens += n
	}
	return time.Duration(5+tokens/tokensPerMs) * time.Millisecond
}

// hasPart reports whether a part stands in the prompt of a request, other than as the last one.
func hasPart(r *http.Request, part string) bool {
	parts := strings.Split(r.Header.Get("X-Gooseberryway-Prompt-Prefix"), ",")
	for _, p := range parts[:max(0, len(parts)-1)] {
		if strings.HasPrefix(p, part+":") {
			return true
		}
	}
	return false
}

// open listens for the daemon's connections, at the address that it had before if there is one.
func (p *path) open() error {
	at := p.address
	if at == "" {
		at = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp4", at)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.l, p.cut, p.address = l, false, l.Addr().String()
	p.mu.Unlock()
	go p.run(l)
	return nil
}

func (p *path) run(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go p.carry(c)
	}
}

func (p *path) carry(c net.Conn) {
	t, err := net.Dial("tcp4", p.target)
	if err != nil {
		reset(c)
		return
	}
	p.mu.Lock()
	if p.cut {
		p.mu.Unlock()
		reset(c)
		reset(t)
		return
	}
	p.conns[c], p.conns[t] = true, true
	if p.silenced == nil {
		p.silenced = make(chan struct{})
	}
	silenced := p.silenced
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	forward := func(to, from net.Conn) {
		err := forwardUntil(silenced, to, from)
		select {
		case <-silenced:
		default:
			if err != nil {
				reset(to)
			} else if half, ok := to.(*net.TCPConn); ok {
				_ = half.CloseWrite()
			}
		}
		done <- struct{}{}
	}
	go forward(t, c)
	go forward(c, t)
	<-done
	<-done
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, t)
	p.mu.Unlock()
	_ = c.Close()
	_ = t.Close()
}

// forwardUntil forwards what comes, and once the connection is silenced swallows it.
func forwardUntil(silenced chan struct{}, to, from net.Conn) error {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		select {
		case <-silenced:
			if err != nil {
				return nil
			}
			continue
		default:
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return werr
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// silence makes the open connections go silent for good, without a reset. New ones work.
func (p *path) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.silenced != nil {
		close(p.silenced)
	}
	p.silenced = make(chan struct{})
}

// close cuts the path: open connections are reset and new ones are refused.
func (p *path) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = true
	_ = p.l.Close()
	for c := range p.conns {
		reset(c)
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
