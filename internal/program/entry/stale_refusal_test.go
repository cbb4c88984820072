package entry

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/platform/standin"
)

// staleAnswerer refuses the first request on a connection. While it runs the next one it sends the bytes of again, and works on
// until the connection is closed.
type staleAnswerer struct {
	first, again string
	ran          atomic.Int64
	// workedOn is for how many milliseconds it worked after these bytes; -1 until then.
	workedOn atomic.Int64
}

// maxOverlapMs is how long an upstream may work on a request that goes on elsewhere.
const maxOverlapMs = int64(400)

const refusalHead = "HTTP/1.1 503 Service Unavailable\r\nX-Gooseberryway-Not-Executed: 1\r\nContent-Length: 0\r\n"

// earlierRefusal is the refusal of request r0.
const earlierRefusal = refusalHead + "X-Gooseberryway-Attempt-Id: r0\r\n\r\n"

func (s *staleAnswerer) intercept(w http.ResponseWriter, r *http.Request) bool {
	if r.Header.Get("X-Gooseberryway-Attempt-Id") != "r0" || s.ran.Load() > 0 {
		return false
	}
	c, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return true
	}
	defer c.Close()
	_, _ = io.WriteString(c, s.first)
	next, err := http.ReadRequest(buffered.Reader)
	if err != nil {
		return true
	}
	_, _ = io.Copy(io.Discard, next.Body)
	s.ran.Add(1)
	began := time.Now()
	_, _ = io.WriteString(c, s.again)
	_, _ = io.Copy(io.Discard, buffered)
	s.workedOn.Store(time.Since(began).Milliseconds())
	return true
}

// Guards against an upstream's earlier refusal, sent once more on a kept connection, that is taken for the answer to a request that
// runs: callers would be told that it has not run, or it would run again elsewhere.
func TestEarlierRefusalSentAgainIsNotBelieved(t *testing.T) {
	answered := "HTTP/1.1 200 OK\r\nX-Gooseberryway-Attempt-Id: r0\r\nX-Gooseberryway-Response-Signature: s\r\nContent-Length: 0\r\n\r\n"
	for name, c := range map[string]struct{ nextID, first, again string }{
		"the same id":             {"r0", earlierRefusal, earlierRefusal},
		"another id":              {"r1", earlierRefusal, earlierRefusal},
		"no id":                   {"r1", earlierRefusal, refusalHead + "\r\n"},
		"another id, after a run": {"r1", answered, earlierRefusal},
		"no id, after a run":      {"r1", answered, refusalHead + "\r\n"},
	} {
		for _, path := range []string{"/order/x", "/lookup/x"} {
			t.Run(fmt.Sprint(name, path), func(t *testing.T) {
				t.Parallel()
				f := newTestFleet(t)
				f.configureRate(1, 1000000, "secret")
				s := &staleAnswerer{first: c.first, again: c.again}
				s.workedOn.Store(-1)
				a1 := f.startUpstream("app", &standin.Upstream{ID: "a1", Intercept: s.intercept})
				d := f.start("d0", nil)
				f.ready(1)
				bodyOf(f.call(d, path, "r0", "secret", "body"))
				for n := 0; n < 20 && s.ran.Load() == 0 && len(a1.Runs()) == 0; n++ {
					id := c.nextID
					if n > 0 {
						id = fmt.Sprint("r1", n)
					}
					resp := f.call(d, path, id, "secret", "body")
					bodyOf(resp)
					if s.ran.Load() == 0 {
						continue
					}
					require.NotContains(t, []int{http.StatusServiceUnavailable, http.StatusTooManyRequests}, resp.StatusCode, "it has run")
					f.eventually(func() bool { return s.workedOn.Load() >= 0 }, "the upstream works on")
					require.Less(t, s.workedOn.Load(), maxOverlapMs, "the upstream works on")
				}
			})
		}
	}
}

// Guards against a status that promises callers that their request has not run, where the upstream has not said so.
func TestStatusOfUpstreamThatRanIsNoPromise(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		f := newTestFleet(t)
		f.configure(1, "secret")
		f.startUpstream("app", &standin.Upstream{ID: "a1", Intercept: func(w http.ResponseWriter, r *http.Request) bool {
			w.Header().Set("X-Gooseberryway-Attempt-Id", r.Header.Get("X-Gooseberryway-Attempt-Id"))
			w.WriteHeader(status)
			return true
		}})
		d := f.start("d0", nil)
		f.ready(1)
		require.Equal(t, http.StatusBadGateway, f.call(d, "/order/x", "r0", "secret", "body").StatusCode, status)
	}
}
