package entry

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/platform/standin"
)

// frozenUpstream takes connections in the kernel but reads nothing until it thaws.
type frozenUpstream struct{ *net.TCPListener }

func (f *testFleet) startFrozen(service, id string) *frozenUpstream {
	f.t.Helper()
	l, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = l.Close() })
	f.store.Put("keyed.servers", id, (&standin.Upstream{ID: id}).Registration(service, l.Addr().String(), "ready"))
	return &frozenUpstream{l}
}

// thaw reads the requests that wait and returns how many have the id.
func (u *frozenUpstream) thaw(id string) int {
	n := 0
	for {
		_ = u.SetDeadline(time.Now().Add(200 * time.Millisecond))
		c, err := u.Accept()
		if err != nil {
			return n
		}
		_ = c.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil && req.Header.Get(requestIDKey) == id {
			n++
		}
		_ = c.Close()
	}
}

// Guards against a promise for a request that waits at a frozen upstream, which runs it when it goes on, and against a second copy of it.
func TestRequestAtFrozenUpstreamIsNotPromised(t *testing.T) {
	refuse := func(w http.ResponseWriter, r *http.Request) bool {
		w.Header().Set(requestIDKey, r.Header.Get(requestIDKey))
		w.Header().Set("X-Gooseberryway-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
	for name, c := range map[string]struct {
		path string
		// end ends the wait; the deadline does if it is nil.
		end     func(d *testDaemon)
		refused bool
		status  int
	}{
		"deadline":                {path: "/order/x", status: http.StatusGatewayTimeout},
		"deadline, stream":        {path: "/draft/x", status: http.StatusGatewayTimeout},
		"deadline, after refusal": {path: "/order/x", refused: true, status: http.StatusGatewayTimeout},
		"planned stop":            {path: "/order/x", end: func(d *testDaemon) { d.requestStop.Expire() }, status: http.StatusBadGateway},
		"planned stop, stream":    {path: "/draft/x", end: func(d *testDaemon) { d.requestStop.Expire() }, status: http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newTestFleet(t)
			f.configureRate(1, 1_000_000, "secret")
			service, upstreams := "app", 1
			if c.path == "/draft/x" {
				service = "llm"
			}
			u := f.startFrozen(service, "f1")
			if c.refused {
				f.startUpstream(service, &standin.Upstream{ID: "f0", Intercept: refuse})
				upstreams++
			}
			d := f.start("d1", nil)
			f.ready(upstreams)
			if c.end != nil {
				time.AfterFunc(500*time.Millisecond, func() { c.end(d) })
			}
			resp := f.call(d, c.path, "r1", "secret", "body", deadlineHeader, "1500", modelHeader, "m")
			bodyOf(resp)
			if c.refused && resp.StatusCode == http.StatusServiceUnavailable {
				require.Zero(t, u.thaw("r1"), "it was refused")
				return
			}
			require.Equal(t, c.status, resp.StatusCode)
			require.Equal(t, 1, u.thaw("r1"))
		})
	}
}
