package entry

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/platform/standin"
)

const (
	// deadlyPart crashes each engine that begins to answer a request with it.
	deadlyPart = "dead"
	// engineDownTime is how long a crashed upstream is away before it starts again under another id.
	engineDownTime = 500 * time.Millisecond
	// The users' bounds: so many deadly requests later than a stability window after the last crash that is allowed for.
	stabilityWindow = 3 * time.Second
	allowedLate     = 3
)

// crashingUpstreams keeps upstreams running that crash on deadly requests and start again.
type crashingUpstreams struct {
	f       *testFleet
	service string
	// isDeadly tells which requests crash them.
	isDeadly func(r *http.Request) bool
	mu       sync.Mutex
	// deadly holds when deadly requests arrived, crashes when upstreams ended.
	deadly, crashes []time.Time
	running         map[*standin.Upstream]bool
	started         int
	closed          bool
	closing         sync.WaitGroup
}

func (c *crashingUpstreams) start() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.started++
	u := &standin.Upstream{ID: fmt.Sprint("e", c.started)}
	if c.service == "llm" {
		u.Model, u.Version, u.EventCount, u.EventInterval = "m", 1, 3, 10*time.Millisecond
	}
	u.Intercept = func(w http.ResponseWriter, r *http.Request) bool {
		if !c.isDeadly(r) {
			return false
		}
		c.mu.Lock()
		c.deadly = append(c.deadly, time.Now())
		c.mu.Unlock()
		if c.service == "llm" {
			w.Header().Set("X-Gooseberryway-Attempt-Id", r.Header.Get("X-Gooseberryway-Attempt-Id"))
			w.Header().Set(signatureKey, "sig")
			_ = http.NewResponseController(w).Flush()
		}
		time.Sleep(20 * time.Millisecond)
		c.crash(u)
		panic(http.ErrAbortHandler)
	}
	c.running[u] = true
	c.f.store.Put("keyed.servers", u.ID, u.Registration(c.service, u.Start(), "ready"))
}

// crash ends an engine, once, and starts another one after engineDownTime. As on the platform, its registration ends
// some time after the crash.
func (c *crashingUpstreams) crash(u *standin.Upstream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.running[u] {
		return
	}
	delete(c.running, u)
	c.crashes = append(c.crashes, time.Now())
	c.closing.Go(func() {
		u.Close()
		time.Sleep(engineDownTime)
		c.f.store.Put("keyed.servers", u.ID, nil)
		c.start()
	})
}

// lateAfter returns how many deadly requests arrived later than a stability window after the nth crash.
func (c *crashingUpstreams) lateAfter(nth int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	late := 0
	for _, at := range c.deadly {
		if len(c.crashes) >= nth && at.After(c.crashes[nth-1].Add(stabilityWindow)) {
			late++
		}
	}
	return late
}

func (c *crashingUpstreams) close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.closing.Wait()
	for u := range c.running {
		u.Close()
	}
}

func hasDeadlyPart(r *http.Request) bool {
	return strings.Contains(r.Header.Get("X-Gooseberryway-Prompt-Prefix"), deadlyPart+":")
}

func startCrashingUpstreams(f *testFleet, n int, service string, isDeadly func(r *http.Request) bool) *crashingUpstreams {
	c := &crashingUpstreams{f: f, service: service, isDeadly: isDeadly, running: map[*standin.Upstream]bool{}}
	f.t.Cleanup(c.close)
	for range n {
		c.start()
	}
	return c
}

// callerRequest is a request of a caller.
type callerRequest struct {
	path, prompt, body string
	deadly             bool
}

func (f *testFleet) callWith(d *testDaemon, id string, r callerRequest) *http.Response {
	return f.call(d, r.path, id, "secret", r.body,
		"X-Gooseberryway-Model", "m", "X-Gooseberryway-Token-Counts", "200,5", "X-Gooseberryway-Prompt-Prefix", r.prompt)
}

// promptWithPart returns the nth request with a common first part, every fifth with deadlyPart.
func promptWithPart(n int) callerRequest {
	r := callerRequest{path: [...]string{"/draft/x", "/note/x"}[n%2], prompt: fmt.Sprintf("sys:100,doc%d:50,own%d:20", n%7, n), deadly: n%5 == 0}
	if r.deadly {
		r.prompt = fmt.Sprintf("sys:100,%s:30,doc%d:50,own%d:20", deadlyPart, n%7, n)
	}
	return r
}

// repeatsOn returns requests to a path, every fifth with deadlyBody. Repeats have new last parts of their prompts.
func repeatsOn(path string) func(n int) callerRequest {
	return func(n int) callerRequest {
		r := callerRequest{path: path, prompt: fmt.Sprintf("sys:100,doc:50,own%d:20", n), body: fmt.Sprint("body ", n%7), deadly: n%5 == 0}
		if r.deadly {
			r.body = deadlyBody
		}
		return r
	}
}

// sendAll sends requests to all daemons in turn for the given time. It returns how many of the sound ones were answered in full and
// how many there were.
func sendAll(f *testFleet, d time.Duration, request func(n int) callerRequest) (answered, sound int) {
	var mu sync.Mutex
	var callers sync.WaitGroup
	started := time.Now()
	for n := 0; time.Since(started) < d; n++ {
		r := request(n)
		callers.Go(func() {
			resp := f.callWith(f.daemons[n%len(f.daemons)], fmt.Sprint(started.UnixNano(), "-", n), r)
			content := bodyOf(resp)
			mu.Lock()
			defer mu.Unlock()
			if r.deadly {
				return
			}
			sound++
			if resp.StatusCode == http.StatusOK && (strings.Contains(content, "id: 3\n") || strings.HasPrefix(content, "answer")) {
				answered++
			}
		})
		time.Sleep(40 * time.Millisecond)
	}
	callers.Wait()
	return answered, sound
}

// Guards against prompt parts that crash one engine after the other.
func TestPartThatCrashesEnginesIsRefused(t *testing.T) {
	f := newTestFleet(t)
	f.configureRate(1, 1000000, "secret")
	engines := startCrashingUpstreams(f, 6, "llm", hasDeadlyPart)
	for i := range 3 {
		f.start(fmt.Sprint("d", i), nil)
	}
	f.ready(6)
	sendAll(f, stabilityWindow+2*time.Second, promptWithPart)
	answered, sound := sendAll(f, 2*time.Second, promptWithPart)
	require.LessOrEqual(t, engines.lateAfter(5), allowedLate, "requests with the part still reach engines, %d crashed", len(engines.crashes))
	require.GreaterOrEqual(t, answered, sound*9/10, "sound requests with the same first part are served")
}

// Guards against a quarantine that is lost when all daemons start again at once.
func TestQuarantineOutlivesRestartOfAllDaemons(t *testing.T) {
	for name, c := range map[string]struct {
		isDeadly func(*http.Request) bool
		request  func(n int) callerRequest
	}{"part": {hasDeadlyPart, promptWithPart}, "request": {hasDeadlyBody, repeatsOn("/draft/x")}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newTestFleet(t)
			f.configureRate(1, 1000000, "secret")
			startCrashingUpstreams(f, 6, "llm", c.isDeadly)
			first := f.start("d0", nil)
			f.ready(6)
			sendAll(f, 4*time.Second, c.request)
			require.NotEmpty(t, first.detector.Quarantines(), "nothing is quarantined")
			key := first.detector.Quarantines()[0].Subjects.Key()
			f.eventually(func() bool { return len(f.store.Newest("keyed.quarantines", key)) > 0 }, "the quarantine is not in the store")
			first.stop()
			second := f.start("d1", nil)
			<-second.Listening()
			f.eventually(func() bool { return len(second.detector.Quarantines()) > 0 }, "the quarantine is lost")
			f.eventually(second.ready, "the daemon is not ready")
			require.Equal(t, http.StatusServiceUnavailable, f.callWith(second, "again", c.request(0)).StatusCode)
		})
	}
}

// deadlyBody is the body of the request that crashes upstreams.
const deadlyBody = "deadly body"

func hasDeadlyBody(r *http.Request) bool {
	body, err := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(body))
	return err == nil && string(body) == deadlyBody
}

// Guards against one request that comes again and crashes one upstream after the other.
func TestRepeatedRequestThatCrashesUpstreamsIsRefused(t *testing.T) {
	for path, service := range map[string]string{"/draft/x": "llm", "/note/x": "llm", "/order/x": "app", "/lookup/x": "app"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			f := newTestFleet(t)
			f.configureRate(1, 1000000, "secret")
			upstreams := startCrashingUpstreams(f, 6, service, hasDeadlyBody)
			for i := range 3 {
				f.start(fmt.Sprint("d", i), nil)
			}
			f.ready(6)
			sendAll(f, stabilityWindow+2*time.Second, repeatsOn(path))
			answered, sound := sendAll(f, 2*time.Second, repeatsOn(path))
			require.LessOrEqual(t, upstreams.lateAfter(3), allowedLate, "the request still reaches upstreams, %d crashed", len(upstreams.crashes))
			require.GreaterOrEqual(t, answered, sound*9/10, "sound requests with the same shared parts are served")
		})
	}
}
