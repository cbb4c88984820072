package entry

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/platform/standin"
)

// arrivalLog records when requests arrive at an upstream.
type arrivalLog struct {
	mu sync.Mutex
	at []time.Time
}

// add records an arrival and returns how many there are.
func (a *arrivalLog) add() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.at = append(a.at, time.Now())
	return len(a.at)
}

// mostWithin returns the largest number of arrivals after from in any window.
func (a *arrivalLog) mostWithin(from time.Time, window time.Duration) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	most := 0
	for i, first := range a.at {
		if first.Before(from) {
			continue
		}
		n := 0
		for _, at := range a.at[i:] {
			if at.Sub(first) < window {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// The bound is the users': in 4 s one and a half times what the limit allows, and five requests.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

func allowedInWindow(rate float64) int {
	return int(limitFactor*rate*limitWindow.Seconds()) + limitSlack
}

// Guards against an upstream that gets more requests than the limit it names, from all daemons together.
func TestUpstreamGetsNoMoreThanItsNamedLimit(t *testing.T) {
	const rate = 1.4
	f := newTestFleet(t)
	f.configureRate(1, 1000000, "secret")
	var arrivals arrivalLog
	f.startUpstream("app", &standin.Upstream{ID: "limited", Intercept: func(w http.ResponseWriter, _ *http.Request) bool {
		arrivals.add()
		w.Header().Set("Server-Limit", fmt.Sprint(rate))
		return false
	}})
	other := f.startUpstream("app", &standin.Upstream{ID: "other"})
	for i := range 3 {
		f.start(fmt.Sprint("d", i), nil)
	}
	f.ready(2)
	var callers sync.WaitGroup
	started := time.Now()
	for sent := 0; time.Since(started) < time.Second+limitWindow; sent++ {
		callers.Go(func() {
			resp := f.call(f.daemons[sent%3], "/lookup/x", fmt.Sprint("r", sent), "secret", "")
			require.Equal(t, http.StatusOK, resp.StatusCode, "what the limited upstream can't take goes to the other one")
		})
		time.Sleep(25 * time.Millisecond)
	}
	callers.Wait()
	require.LessOrEqual(t, arrivals.mostWithin(started.Add(time.Second), limitWindow), allowedInWindow(rate))
	require.NotEmpty(t, other.Runs())
}

// Guards against requests that net/http sends again by itself when a kept connection breaks: neither the limits of
// upstreams nor the retry budget would count them.
func TestBrokenConnectionDoesNotRepeatRequestUncounted(t *testing.T) {
	f := newTestFleet(t)
	f.configureRate(1, 1000000, "secret")
	var arrivals arrivalLog
	f.startUpstream("app", &standin.Upstream{ID: "a1", Intercept: func(http.ResponseWriter, *http.Request) bool {
		if arrivals.add() > 1 {
			panic(http.ErrAbortHandler)
		}
		return false
	}})
	d := f.start("d1", nil)
	f.ready(1)
	get := func(id string) int {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+d.Settings.Listen.Callers+"/lookup/x", http.NoBody)
		require.NoError(t, err)
		req.Host = "h.example"
		req.Header.Set("X-Gooseberryway-Attempt-Id", id)
		req.Header.Set("Authorization", "Bearer secret")
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		defer resp.Body.Close()
		_ = text(t, resp)
		return resp.StatusCode
	}
	require.Equal(t, http.StatusOK, get("r1"))
	require.Equal(t, http.StatusBadGateway, get("r2"))
	require.Equal(t, 3, arrivals.add(), "two requests arrived")
}
