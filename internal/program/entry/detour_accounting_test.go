package entry

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/platform/standin"
)

// Guards against arrivals at upstreams beyond the retry budget, if peers refuse what their upstreams have rejected.
func TestRejectionsAtPeersAreRetries(t *testing.T) {
	t.Parallel()
	var rejecting atomic.Bool
	var arrivals atomic.Int64
	f := newStrandedFleetWithRetries(t, 3, 1, func(u *standin.Upstream) {
		u.Intercept = func(w http.ResponseWriter, r *http.Request) bool {
			if !rejecting.Load() || r.Header.Get(requestIDKey) == "" {
				return false
			}
			arrivals.Add(1)
			w.Header().Set(requestIDKey, r.Header.Get(requestIDKey))
			w.Header().Set("X-Gooseberryway-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return true
		}
	})
	d := f.daemons[0]
	f.cutOff(d, "/order/x")
	rejecting.Store(true)
	const requests = 40
	for range requests {
		require.Equal(t, http.StatusServiceUnavailable, f.try(d, "/order/x").status)
	}
	require.LessOrEqual(t, arrivals.Load(), int64(requests+len(f.daemons)+requests/5), "a fifth of the requests may be repeated, and one at each daemon")
}

// Guards against requests that run and are charged to no organisation.
func TestRequestThatRanStaysCharged(t *testing.T) {
	t.Parallel()
	const requests, cost = 10, 2000
	began, goOn := make(chan struct{}, requests), make(chan struct{})
	f := newStrandedFleet(t, 1, func(u *standin.Upstream) {
		u.Intercept = func(_ http.ResponseWriter, r *http.Request) bool {
			if !strings.HasPrefix(r.Header.Get(requestIDKey), "held") {
				return false
			}
			_, _ = io.Copy(io.Discard, r.Body)
			began <- struct{}{}
			<-goOn
			panic(http.ErrAbortHandler)
		}
	})
	d := f.daemons[0]
	f.configureRate(2, 40_000, "secret")
	f.eventually(func() bool { return d.configVersion() == 2 }, "the configuration is not in force")
	statuses := make(chan int, requests)
	for i := range requests {
		go func() {
			resp, err := http.DefaultClient.Do(f.request(t.Context(), d, "/lookup/x", "held"+strconv.Itoa(i), "secret", "p",
				"X-Gooseberryway-Token-Counts", "1500,500"))
			if err != nil {
				statuses <- 0
				return
			}
			_ = resp.Body.Close()
			statuses <- resp.StatusCode
		}()
	}
	for range requests {
		<-began
	}
	d.link.set(linkRefuses, nil)
	f.eventually(func() bool {
		f.try(d, "/order/x")
		return len(d.placer.UnreachableServices()) > 0
	}, "the daemon does not notice that it is cut off")
	close(goOn)
	for range requests {
		require.Equal(t, http.StatusBadGateway, <-statuses)
	}
	require.GreaterOrEqual(t, d.limiter.Usage()["acme"].Admitted, float64(requests*cost))
}

// Guards against refusing a key that the first daemon accepted.
func TestKeyThatConnectionHeaderListsOutlivesHop(t *testing.T) {
	t.Parallel()
	f := newStrandedFleet(t, 2, nil)
	f.cutOff(f.daemons[0], "/order/x")
	a := f.try(f.daemons[0], "/order/x", "Connection", "Authorization")
	require.Equal(t, http.StatusOK, a.status)
}

// Guards against passed requests that get one attempt where the route allows two.
func TestPeerRetriesAfterFailureOfUpstream(t *testing.T) {
	t.Parallel()
	var arrivals atomic.Int64
	f := newStrandedFleet(t, 3, func(u *standin.Upstream) {
		u.Intercept = func(w http.ResponseWriter, r *http.Request) bool {
			if !strings.HasPrefix(r.Header.Get(requestIDKey), "failing") || arrivals.Add(1) > 1 {
				return false
			}
			w.Header().Set(requestIDKey, r.Header.Get(requestIDKey))
			w.WriteHeader(http.StatusInternalServerError)
			return true
		}
	})
	f.cutOff(f.daemons[0], "/lookup/x")
	resp, err := http.DefaultClient.Do(f.request(t.Context(), f.daemons[0], "/lookup/x", "failing", "secret", "p"))
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.EqualValues(t, 2, arrivals.Load())
}
