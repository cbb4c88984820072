package entry

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/platform/standin"
)

// Guards against daemons that together have more requests rejected at an upstream than it can bear: it falls over.
func TestBrittleUpstreamsStayUpAboveCapacity(t *testing.T) {
	const (
		slots       = 8
		serviceTime = 400 * time.Millisecond
		settleTime  = 3 * time.Second
		playTime    = 12 * time.Second
		// interval is between requests: twice as many as the upstreams can run.
		interval = serviceTime / (2 * slots * 4)
	)
	f := newTestFleet(t)
	f.configureRate(1, 1000000, "secret")
	var upstreams []*standin.Brittle
	for i := range 4 {
		b := &standin.Brittle{
			Upstream: standin.Upstream{ID: fmt.Sprint("b", i)}, Slots: slots, Queue: 1, MaxRejections: 6,
			ServiceTime: serviceTime, SettleTime: settleTime, DownTime: 1500 * time.Millisecond,
		}
		address := b.Start()
		t.Cleanup(b.Close)
		f.store.Put("keyed.servers", b.ID, b.Registration("app", address, "ready"))
		upstreams = append(upstreams, b)
	}
	for i := range 4 {
		f.start(fmt.Sprint("d", i), nil)
	}
	f.ready(len(upstreams))
	var callers sync.WaitGroup
	var served, refused atomic.Int64
	started := time.Now()
	for sent := 0; time.Since(started) < playTime; sent++ {
		callers.Go(func() {
			resp := f.call(f.daemons[sent%4], "/lookup/x", fmt.Sprint("r", sent), "secret", "")
			switch {
			case time.Since(started) < settleTime:
			case resp.StatusCode == http.StatusOK:
				served.Add(1)
			default:
				refused.Add(1)
				if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") == "" {
					t.Error("a refusal doesn't say when to come back")
				}
			}
		})
		time.Sleep(interval)
	}
	callers.Wait()
	falls := 0
	for _, b := range upstreams {
		falls += b.Falls()
	}
	t.Logf("%d falls, %d served, %d not", falls, served.Load(), refused.Load())
	require.LessOrEqual(t, falls, 2+len(upstreams)/10)
	capacity := float64(len(upstreams)*slots) * (playTime - settleTime).Seconds() / serviceTime.Seconds()
	require.GreaterOrEqual(t, float64(served.Load()), capacity/2, "rejections are no reason to send nothing")
}

// Guards against a rejection limit that is only read in responses to requests that ran, is not told to other daemons, or
// outlives what the upstream says.
func TestRejectionLimitIsToldAndEnds(t *testing.T) {
	f := newTestFleet(t)
	f.configureRate(1, 1000000, "secret")
	var healthy, misdirected atomic.Bool
	misdirected.Store(true)
	f.startUpstream("app", &standin.Upstream{ID: "b", Intercept: func(w http.ResponseWriter, r *http.Request) bool {
		if healthy.Load() {
			return false
		}
		w.Header().Set("Server-Brittle", "10")
		w.Header().Set("X-Gooseberryway-Attempt-Id", r.Header.Get("X-Gooseberryway-Attempt-Id"))
		w.Header().Set("X-Gooseberryway-Not-Executed", "1")
		if misdirected.Load() {
			w.WriteHeader(http.StatusMisdirectedRequest)
		} else {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return true
	}})
	for i := range 3 {
		f.start(fmt.Sprint("d", i), nil)
	}
	f.ready(1)
	known := func() int {
		n := 0
		for _, d := range f.daemons {
			n += len(d.rejectionLimits.Limits())
		}
		return n
	}
	sent := 0
	call := func() int {
		sent++
		return f.call(f.daemons[sent%3], "/order/x", fmt.Sprint("r", sent), "secret", "").StatusCode
	}
	call()
	require.Zero(t, known(), "a misdirected response comes from another upstream")
	misdirected.Store(false)
	require.Equal(t, http.StatusServiceUnavailable, call())
	f.eventually(func() bool { return known() == 3 }, "not all daemons know the limit")
	healthy.Store(true)
	f.eventually(func() bool { return call() == http.StatusOK }, "the upstream gets no requests any more")
	f.eventually(func() bool { return known() == 0 }, "the limit has not ended everywhere")
}
