package entry

import (
	"fmt"
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
	// engineDownTime is how long a crashed engine is away before it starts again under another id.
	engineDownTime = 500 * time.Millisecond
)

// crashingEngines keeps engines running that crash on deadlyPart and start again.
type crashingEngines struct {
	f  *testFleet
	mu sync.Mutex
	// deadly holds when requests with deadlyPart arrived, crashes when engines ended.
	deadly, crashes []time.Time
	running         map[*standin.Upstream]bool
	started         int
	closed          bool
	closing         sync.WaitGroup
}

func (c *crashingEngines) start() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.started++
	u := &standin.Upstream{ID: fmt.Sprint("e", c.started), Model: "m", Version: 1, EventCount: 3, EventInterval: 10 * time.Millisecond}
	u.Intercept = func(w http.ResponseWriter, r *http.Request) bool {
		if !strings.Contains(r.Header.Get("X-Gooseberryway-Prompt-Prefix"), deadlyPart+":") {
			return false
		}
		c.mu.Lock()
		c.deadly = append(c.deadly, time.Now())
		c.mu.Unlock()
		w.Header().Set("X-Gooseberryway-Attempt-Id", r.Header.Get("X-Gooseberryway-Attempt-Id"))
		_ = http.NewResponseController(w).Flush()
		time.Sleep(20 * time.Millisecond)
		c.crash(u)
		panic(http.ErrAbortHandler)
	}
	c.running[u] = true
	c.f.store.Put("keyed.servers", u.ID, u.Registration("llm", u.Start(), "ready"))
}

// crash ends an engine, once, and starts another one after engineDownTime. As on the platform, its registration ends
// some time after the crash.
func (c *crashingEngines) crash(u *standin.Upstream) {
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

func (c *crashingEngines) close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.closing.Wait()
	for u := range c.running {
		u.Close()
	}
}

func newCrashingEngines(f *testFleet, n int) *crashingEngines {
	c := &crashingEngines{f: f, running: map[*standin.Upstream]bool{}}
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
	// The bounds are the users': three requests later than a stability window after the fifth crash.
	const (
		stabilityWindow = 3 * time.Second
		allowed         = 3
	)
	f := newTestFleet(t)
	f.configureRate(1, 1000000, "secret")
	engines := newCrashingEngines(f, 6)
	for i := range 3 {
		f.start(fmt.Sprint("d", i), nil)
	}
	f.ready(6)
	sendPrompts(f, stabilityWindow+2*time.Second, true)
	answered, sound := sendPrompts(f, 2*time.Second, true)
	engines.mu.Lock()
	defer engines.mu.Unlock()
	if len(engines.crashes) >= 5 {
		late := 0
		for _, at := range engines.deadly {
			if at.After(engines.crashes[4].Add(stabilityWindow)) {
				late++
			}
		}
		require.LessOrEqual(t, late, allowed, "requests with the part still reach engines, %d crashed", len(engines.crashes))
	}
	require.GreaterOrEqual(t, answered, sound*9/10, "sound requests with the same first part are served")
}

// Guards against a quarantine that is lost when all daemons start again at once.
func TestQuarantineOutlivesRestartOfAllDaemons(t *testing.T) {
	f := newTestFleet(t)
	f.configureRate(1, 1000000, "secret")
	newCrashingEngines(f, 6)
	first := f.start("d0", nil)
	f.ready(6)
	sendPrompts(f, 4*time.Second, true)
	require.NotEmpty(t, first.detector.Quarantines(), "the part is not quarantined")
	key := first.detector.Quarantines()[0].Parts.Key()
	f.eventually(func() bool { return len(f.store.Newest("keyed.quarantines", key)) > 0 }, "the quarantine is not in the store")
	first.stop()
	second := f.start("d1", nil)
	<-second.Listening()
	f.eventually(func() bool { return len(second.detector.Quarantines()) > 0 }, "the quarantine is lost")
	require.Error(t, second.detector.Check([]poison.PartHash{poison.HashPart("sys"), poison.HashPart(deadlyPart)}))
}
