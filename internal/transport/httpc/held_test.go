package httpc

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against requests that fail, or count as not sent though they arrived, because another request took their connection before it
// was known whose answer it had brought.
func TestConcurrentRequestsWaitForHeldConnections(t *testing.T) {
	const callers, requests = 32, 300
	var arrived sync.Map
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrived.Store(r.URL.Path, true)
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer s.Close()
	p := &Pool{}
	defer p.Close()
	var mu sync.Mutex
	failed, notSentButArrived := 0, 0
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			for n := range requests {
				path := "/" + strconv.Itoa(i) + "/" + strconv.Itoa(n)
				req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.URL+path, strings.NewReader("x"))
				if err != nil {
					t.Error(err)
					return
				}
				req.GetBody = nil
				resp, err := p.DoHeld(req)
				if err == nil {
					Release(resp)
					_ = resp.Body.Close()
					continue
				}
				send, ok := errors.AsType[*SendError](err)
				_, came := arrived.Load(path)
				mu.Lock()
				failed++
				if ok && send.NotSent && came {
					notSentButArrived++
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	require.Zero(t, notSentButArrived, "requests count as not sent but arrived")
	require.Zero(t, failed, "requests that the server answered failed")
}
