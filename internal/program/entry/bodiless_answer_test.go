package entry

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/platform/standin"
)

// Guards against requests that run twice, or are refused although they ran, because their answers have no body and other requests wait for
// their connections.
func TestBodilessAnswersOfBusyUpstreamsAreTheOnlyOnes(t *testing.T) {
	const callers, requests = 24, 100
	f := newTestFleet(t)
	f.configureRate(1, 100_000_000, "secret")
	var mu sync.Mutex
	runs := map[string]int{}
	answer := func(w http.ResponseWriter, r *http.Request) bool {
		id := r.Header.Get(requestIDKey)
		mu.Lock()
		runs[id]++
		mu.Unlock()
		w.Header().Set(requestIDKey, id)
		w.Header().Set(signatureKey, "sig")
		w.WriteHeader(http.StatusNoContent)
		return true
	}
	for _, id := range []string{"a1", "a2"} {
		f.startUpstream("app", &standin.Upstream{ID: id, Intercept: answer})
	}
	d := f.start("d1", nil)
	f.ready(2)
	statuses := map[int]int{}
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			for n := range requests {
				id := fmt.Sprint(i, "-", n)
				resp := f.call(d, "/order/x", id, "secret", "body")
				mu.Lock()
				statuses[resp.StatusCode]++
				if resp.StatusCode == http.StatusServiceUnavailable && runs[id] > 0 {
					t.Errorf("request %s was refused but ran", id)
				}
				mu.Unlock()
				bodyOf(resp)
			}
		})
	}
	wg.Wait()
	for id, n := range runs {
		require.Equal(t, 1, n, id)
	}
	require.Zero(t, statuses[http.StatusBadGateway], statuses)
}
