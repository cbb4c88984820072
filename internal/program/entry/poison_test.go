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

	"github.com/gooseberryway/gooseberryway/internal/coordination/poison"
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

// sendPrompts sends requests with a common first part to all daemons in turn for the given time, every fifth of them
// with deadlyPart if deadly is set. It returns how many of the others were answered in full and how many there were.
func sendPrompts(f *testFleet, d time.Duration, deadly bool) (answered, sound int) {
	var mu sync.Mutex
	var callers sync.WaitGroup
	started := time.Now()
	for i := 0; time.Since(started) < d; i++ {
		prompt := fmt.Sprintf("sys:100,doc%d:50,own%d:20", i%7, i)
		isDeadly := deadly && i%5 == 0
		if isDeadly {
			prompt = fmt.Sprintf("sys:100,%s:30,doc%d:50,own%d:20", deadlyPart, i%7, i)
		}
		path := [...]string{"/draft/x", "/note/x"}[i%2]
		callers.Go(func() {
			resp := f.call(f.daemons[i%len(f.daemons)], path, fmt.Sprint(started.UnixNano(), "-", i), "secret", "",
				"X-Gooseberryway-Model", "m", "X-Gooseberryway-Token-Counts", "200,5", "X-Gooseberryway-Prompt-Prefix", prompt)
			whole := resp.StatusCode == http.StatusOK && strings.Contains(bodyOf(resp), "id: 3\n")
			mu.Lock()
			defer mu.Unlock()
			if isDeadly {
				return
			}
			sound++
			if whole {
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
	sendPrompts(f, stabilityWindow+2*time.Second, true)
	answered, sound := sendPrompts(f, 2*time.Second, true)
	require.LessOrEqual(t, engines.lateAfter(5), allowedLate, "requests with the part still reach engines, %d crashed", len(engines.crashes))
	require.GreaterOrEqual(t, answered, sound*9/10, "sound requests with the same first part are served")
}

// Guards against a quarantine that is lost when all daemons start again at once.
func TestQuarantineOutlivesRestartOfAllDaemons(t *testing.T) {
	f := newTestFleet(t)
	f.configureRate(1, 1000000, "secret")
	startCrashingUpstreams(f, 6, "llm", hasDeadlyPart)
	first := f.start("d0", nil)
	f.ready(6)
	sendPrompts(f, 4*time.Second, true)
	require.NotEmpty(t, first.detector.Quarantines(), "the part is not quarantined")
	key := first.detector.Quarantines()[0].Subjects.Key()
	f.eventually(func() bool { return len(f.store.Newest("keyed.quarantines", key)) > 0 }, "the quarantine is not in the store")
	first.stop()
	second := f.start("d1", nil)
	<-second.Listening()
	f.eventually(func() bool { return len(second.detector.Quarantines()) > 0 }, "the quarantine is lost")
	require.Error(t, second.detector.Check(&poison.Request{Parts: []poison.Hash{poison.HashPart("sys"), poison.HashPart(deadlyPart)}, Fingerprint: func() poison.Hash { return 0 }}))
}

// deadlyBody is the body of the request that crashes upstreams.
const deadlyBody = "deadly body"

func hasDeadlyBody(r *http.Request) bool {
	body, err := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(body))
	return err == nil && string(body) == deadlyBody
}

// sendRequests sends requests to all daemons in turn for the given time, every fifth with deadlyBody. It returns how many of the
// others were answered and how many there were.
func sendRequests(f *testFleet, path string, d time.Duration) (answered, sound int) {
	var mu sync.Mutex
	var callers sync.WaitGroup
	for i, started := 0, time.Now(); time.Since(started) < d; i++ {
		body := fmt.Sprint("body ", i%7)
		if i%5 == 0 {
			body = deadlyBody
		}
		// Callers' repeats have new ids, and new last parts of their prompts.
		prompt := fmt.Sprintf("sys:100,doc:50,own%d:20", i)
		callers.Go(func() {
			resp := f.call(f.daemons[i%len(f.daemons)], path, fmt.Sprint(started.UnixNano(), "-", i), "secret", body,
				"X-Gooseberryway-Model", "m", "X-Gooseberryway-Token-Counts", "200,5", "X-Gooseberryway-Prompt-Prefix", prompt)
			content := bodyOf(resp)
			mu.Lock()
			defer mu.Unlock()
			if body == deadlyBody {
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
			sendRequests(f, path, stabilityWindow+2*time.Second)
			answered, sound := sendRequests(f, path, 2*time.Second)
			require.LessOrEqual(t, upstreams.lateAfter(3), allowedLate, "the request still reaches upstreams, %d crashed", len(upstreams.crashes))
			require.GreaterOrEqual(t, answered, sound*9/10, "sound requests with the same shared parts are served")
		})
	}
}
