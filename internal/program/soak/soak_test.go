package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// failedSeeds are seeds that failed once, each with its cause; they run every time.
var failedSeeds = []uint64{
	113, // a daemon's port was taken by an outgoing connection before it listened; ports now lie below those
}

const (
	// fewDaemons are all active; of manyDaemons some stand by. Seeds take turns.
	fewDaemons     = 4
	manyDaemons    = 12
	clients        = 12
	defaultSeconds = 6
	// revokedWithin is the published bound for withdrawn keys.
	revokedWithin = 5 * time.Second
)

// sent is a call that runs at most once, with what its caller was told.
type sent struct {
	id     string
	status int
}

type checker struct {
	t    *testing.T
	seed uint64
	mu   sync.Mutex
	once []sent
	good atomic.Int64
	// revokedAt is when a key was withdrawn, in nanoseconds of the Unix time; 0 before.
	revokedAt atomic.Int64
}

func (c *checker) violation(format string, args ...any) {
	c.t.Errorf("seed %d: %s", c.seed, fmt.Sprintf(format, args...))
}

func seconds() time.Duration {
	if n, err := strconv.Atoi(os.Getenv("SOAK_SECONDS")); err == nil && n > 0 {
		return time.Duration(n) * time.Second
	}
	return defaultSeconds * time.Second
}

func seeds() []uint64 {
	first, n := uint64(1), 2
	if v, err := strconv.ParseUint(os.Getenv("SOAK_SEED"), 10, 64); err == nil {
		first = v
	}
	if v, err := strconv.Atoi(os.Getenv("SOAK_SEEDS")); err == nil && v > 0 {
		n = v
	}
	all := append([]uint64{}, failedSeeds...)
	for i := range n {
		all = append(all, first+uint64(i))
	}
	return all
}

// TestSoak plays faults against real processes. SOAK_SEED, SOAK_SEEDS and SOAK_SECONDS choose what is played.
func TestSoak(t *testing.T) {
	binary := build(t)
	for _, seed := range seeds() {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { play(t, binary, seed) })
	}
}

func play(t *testing.T, binary string, seed uint64) {
	t.Helper()
	n := fewDaemons
	if seed%2 == 0 {
		n = manyDaemons
	}
	w := newWorld(t, binary, n)
	t.Cleanup(func() { w.keepLogs(seed) })
	w.ready()
	c := &checker{t: t, seed: seed}
	ctx, cancel := context.WithTimeout(t.Context(), seconds())
	defer cancel()
	var wg sync.WaitGroup
	for i := range clients {
		wg.Go(func() { c.client(ctx, w, rand.New(rand.NewPCG(seed, uint64(i)))) })
	}
	wg.Go(func() { c.faults(ctx, w, rand.New(rand.NewPCG(seed, 1000))) })
	wg.Wait()
	c.settle(w)
	t.Logf("seed %d: %d requests were served", seed, c.good.Load())
}

// keepLogs copies the daemons' logs of a failed run to a place that outlasts it.
func (w *world) keepLogs(seed uint64) {
	if !w.t.Failed() {
		return
	}
	for _, p := range w.processes {
		raw, err := os.ReadFile(p.log)
		if err == nil {
			err = os.WriteFile(fmt.Sprintf("%s/soak-%d-%s.log", os.TempDir(), seed, p.id), raw, 0o600)
		}
		if err != nil {
			w.t.Logf("log of %s not kept: %v", p.id, err)
		}
	}
	w.t.Logf("logs of the daemons are kept as %s/soak-%d-*.log", os.TempDir(), seed)
}

// faults injects faults one after the other, some while others last.
func (c *checker) faults(ctx context.Context, w *world, rng *rand.Rand) {
	version, weights := 2, 2
	var wg sync.WaitGroup
	defer wg.Wait()
	for ctx.Err() == nil {
		p := w.processes[rng.IntN(len(w.processes))]
		length := time.Duration(200+rng.IntN(1300)) * time.Millisecond
		switch rng.IntN(6) {
		case 0:
			wg.Go(func() { w.restart(p, syscall.SIGKILL) })
		case 1:
			wg.Go(func() { w.restart(p, syscall.SIGTERM) })
		case 2:
			wg.Go(func() { p.signal(syscall.SIGSTOP); time.Sleep(length); p.signal(syscall.SIGCONT) })
		case 3:
			m := mode(rng.IntN(int(modes)))
			wg.Go(func() { p.store.set(m); time.Sleep(length); p.store.set(modePass) })
		case 4:
			w.store.Put("keyed.op", "version/m", map[string]any{"model": "m", "version": weights})
			weights++
		case 5:
			w.configure(version, "key-a")
			version++
			c.revokedAt.CompareAndSwap(0, time.Now().UnixNano())
		}
		pause := time.Duration(100+rng.IntN(600)) * time.Millisecond
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// restart ends a process by a signal and starts it again.
func (w *world) restart(p *process, s syscall.Signal) {
	p.mu.Lock()
	if p.stopped {
		p.mu.Unlock()
		return
	}
	p.stopped = true
	p.mu.Unlock()
	p.signal(syscall.SIGCONT)
	p.signal(s)
	select {
	case <-p.done:
	case <-time.After(6 * time.Second):
		// A stopped process does not hear SIGTERM before it goes on.
		p.kill()
	}
	w.start(p)
}

// client sends requests until ctx ends, each to a daemon of its choice.
func (c *checker) client(ctx context.Context, w *world, rng *rand.Rand) {
	h := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}, Timeout: 7 * time.Second}
	defer h.CloseIdleConnections()
	// Most callers go where the directory sends them, some to any daemon.
	asks := rng.IntN(4) > 0
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%d-%d-%d", c.seed, rng.Uint32(), n)
		p := w.processes[rng.IntN(len(w.processes))]
		if asks {
			p = c.ask(h, w, p, rng)
		}
		kind := [...]string{"note", "order", "lookup"}[rng.IntN(3)]
		key := "key-a"
		if rng.IntN(8) == 0 {
			key = "key-b"
		}
		c.request(h, p, kind, id, key)
		time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
	}
}

// ask picks one of the daemons that a daemon names, or that one itself if it names none.
func (c *checker) ask(h *http.Client, w *world, of *process, rng *rand.Rand) *process {
	resp, err := h.Get("http://" + of.directory + "/api/resolve?name=h.example")
	if err != nil {
		return of
	}
	defer resp.Body.Close()
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&answer) != nil || len(answer.Addresses) == 0 {
		return of
	}
	address := answer.Addresses[rng.IntN(len(answer.Addresses))]
	for _, p := range w.processes {
		if p.callers == address {
			return p
		}
	}
	c.violation("the directory of %s names %s, which is no daemon", of.id, address)
	return of
}

func (c *checker) request(h *http.Client, p *process, kind, id, key string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+p.callers+"/"+kind+"/x", strings.NewReader("body of "+id))
	if err != nil {
		c.violation("%v", err)
		return
	}
	req.Host = "h.example"
	req.Header.Set("X-Gooseberryway-Attempt-Id", id)
	req.Header.Set("X-Gooseberryway-Deadline-Milliseconds", "4000")
	req.Header.Set("Authorization", "Bearer "+key)
	if kind == "note" {
		req.Header.Set("X-Gooseberryway-Model", "m")
		req.Header.Set("X-Gooseberryway-Token-Counts", "100,8")
		req.Header.Set("X-Gooseberryway-Prompt-Prefix", "aa:50,bb:30,cc:20")
	}
	// Sent once only: the client must not repeat what may have run.
	req.GetBody = nil
	begun := time.Now()
	resp, err := h.Do(req)
	if err != nil {
		c.told(kind, id, 0)
		return
	}
	defer resp.Body.Close()
	c.told(kind, id, resp.StatusCode)
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, resp.Body)
		return
	}
	if at := c.revokedAt.Load(); key == "key-b" && at > 0 && begun.Sub(time.Unix(0, at)) > revokedWithin {
		c.violation("request %s was served with a key that was withdrawn %v before", id, begun.Sub(time.Unix(0, at)))
	}
	if got := resp.Header.Get("X-Gooseberryway-Attempt-Id"); got != id {
		c.violation("request %s got the answer of %q", id, got)
	}
	if kind == "note" {
		c.stream(resp.Body, id)
		return
	}
	raw, err := io.ReadAll(resp.Body)
	if err == nil && !strings.HasPrefix(string(raw), "answer of app-") {
		c.violation("request %s got %q", id, raw)
	}
	c.good.Add(1)
}

// stream checks that events come in order, without a gap, and that a stream that ends as complete is.
func (c *checker) stream(body io.Reader, id string) {
	scanner := bufio.NewScanner(body)
	next := 1
	for scanner.Scan() {
		event, ok := strings.CutPrefix(scanner.Text(), "id: ")
		if !ok {
			continue
		}
		if event != strconv.Itoa(next) {
			c.violation("stream %s: event %s came where %d was due", id, event, next)
		}
		next++
	}
	if scanner.Err() == nil && next != 9 {
		c.violation("stream %s ended as complete after %d events of 8", id, next-1)
	}
	c.good.Add(1)
}

func (c *checker) told(kind, id string, status int) {
	if kind != "order" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.once = append(c.once, sent{id, status})
}

// settle waits until all daemons serve again and checks what the workers saw.
func (c *checker) settle(w *world) {
	for _, p := range w.processes {
		p.signal(syscall.SIGCONT)
		p.store.set(modePass)
	}
	w.ready()
	runs := map[string]int{}
	for _, a := range w.apps {
		for _, r := range a.Runs() {
			runs[r.ID]++
			if r.Header.Get("Authorization") != "" {
				c.violation("the worker saw the key of %s", r.ID)
			}
			if r.ID != "" && r.Body != "body of "+r.ID {
				c.violation("request %s ran with body %q", r.ID, r.Body)
			}
		}
	}
	for _, s := range c.once {
		n := runs[s.id]
		refused := s.status == http.StatusServiceUnavailable || s.status == http.StatusTooManyRequests
		if n > 1 {
			c.violation("call %s ran %d times", s.id, n)
		}
		if refused && n > 0 {
			c.violation("call %s was refused as not run (%d) and ran", s.id, s.status)
		}
	}
	require.Positive(c.t, c.good.Load(), "seed %d: nothing was served", c.seed)
}
