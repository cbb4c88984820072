package entry

import (
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/gooseberryway/gooseberryway/internal/program/local"
	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	plainservice "github.com/gooseberryway/gooseberryway/internal/standin/plain"
	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/platform/standin"
)

const operationsPage = "../../../docs/OPERATIONS.md"

// socket is a TCP connection of this process. options are written as on the page.
type socket struct {
	local, remote, options string
}

// openSockets returns the connections of this process.
func openSockets(t *testing.T) []socket {
	t.Helper()
	files, err := os.ReadDir("/proc/self/fd")
	require.NoError(t, err)
	var found []socket
	for _, f := range files {
		fd, err := strconv.Atoi(f.Name())
		if err != nil {
			continue
		}
		own, err := unix.Getsockname(fd)
		if err != nil {
			continue
		}
		peer, err := unix.Getpeername(fd)
		if err != nil {
			continue
		}
		if kind, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_TYPE); err != nil || kind != unix.SOCK_STREAM {
			continue
		}
		found = append(found, socket{local: addressOf(own), remote: addressOf(peer), options: optionsOf(fd)})
	}
	return found
}

func addressOf(a unix.Sockaddr) string {
	switch a := a.(type) {
	case *unix.SockaddrInet4:
		return net.JoinHostPort(net.IP(a.Addr[:]).String(), strconv.Itoa(a.Port))
	case *unix.SockaddrInet6:
		return net.JoinHostPort(net.IP(a.Addr[:]).String(), strconv.Itoa(a.Port))
	default:
		return ""
	}
}

// optionsOf returns keep-alive and TCP_USER_TIMEOUT of a connection, or "" if it is closed meanwhile.
func optionsOf(fd int) string {
	option := func(level, name int) int {
		v, err := unix.GetsockoptInt(fd, level, name)
		if err != nil {
			return -1
		}
		return v
	}
	keepAlive, userTimeout := "none", "none"
	if option(unix.SOL_SOCKET, unix.SO_KEEPALIVE) != 0 {
		keepAlive = fmt.Sprintf("%d s, %d s, %d", option(unix.IPPROTO_TCP, unix.TCP_KEEPIDLE), option(unix.IPPROTO_TCP, unix.TCP_KEEPINTVL),
			option(unix.IPPROTO_TCP, unix.TCP_KEEPCNT))
	}
	if ms := option(unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT); ms != 0 {
		userTimeout = fmt.Sprintf("%d ms", ms)
	}
	return keepAlive + " | " + userTimeout
}

// documentedOptions returns the options of the connections on the page, by the names of the connections.
func documentedOptions(t *testing.T) map[string]string {
	t.Helper()
	page, err := os.ReadFile(operationsPage)
	require.NoError(t, err)
	_, table, found := strings.Cut(string(page), "| --- | --- | --- | --- | --- |\n| callers |")
	require.True(t, found)
	options := map[string]string{}
	for line := range strings.Lines("| callers |" + table) {
		cells := strings.Split(line, " | ")
		if len(cells) != 5 {
			break
		}
		options[strings.TrimPrefix(cells[0], "| ")] = cells[1] + " | " + cells[2]
	}
	return options
}

// Guards against a table of timeouts that isn't true of the connections.
func TestSocketOptionsAreThoseOnThePage(t *testing.T) {
	f := newTestFleet(t)
	kv := &standin.Upstream{ID: "kv"}
	kvAddress := kv.Start()
	t.Cleanup(kv.Close)
	f.store.Put("keyed.op", "config", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "order", "host": "h.example", "path-prefix": "/order/", "kind": "non_idempotent", "timeout-ms": 4000, "attempts": 1, "service": "app",
		}},
		"services": []any{
			map[string]any{"name": "llm", "engine": map[string]any{"slots": 8, "models": []any{map[string]any{"name": "m"}}}},
			map[string]any{"name": "app"},
			map[string]any{"name": "kv", "kv-store-address": kvAddress, "zone": "z", "kv-capacity": 1e6, "link-mbps": 100},
		},
	})
	engine := f.startUpstream("llm", &standin.Upstream{ID: "e1", Model: "m", Version: 1})
	app := f.startUpstream("app", &standin.Upstream{ID: "a1"})
	d1, d2 := f.start("d1", nil), f.start("d2", nil)
	f.ready(2)
	serving := startServing(t)

	listen := d1.Settings.Listen
	connections := map[string]func(s socket) bool{
		"callers":                       func(s socket) bool { return s.local == listen.Callers },
		"readiness":                     func(s socket) bool { return s.local == listen.Ready },
		"directory":                     func(s socket) bool { return s.local == listen.Directory },
		"metrics":                       func(s socket) bool { return s.local == listen.Metrics },
		"administration":                func(s socket) bool { return s.local == listen.Admin },
		"upstreams, requests":           func(s socket) bool { return s.remote == app.Address() },
		"upstreams, orders and reports": func(s socket) bool { return s.remote == engine.Address() },
		"store":                         func(s socket) bool { return s.remote == d1.Settings.Store },
		"KV cache stores":               func(s socket) bool { return s.remote == kvAddress },
		"peers, calls to them":          func(s socket) bool { return s.remote == d2.Settings.Listen.Peers },
		"peers, calls from them":        func(s socket) bool { return s.local == d2.Settings.Listen.Peers },
	}
	for name, match := range serving.connections() {
		connections[name] = match
	}
	want := documentedOptions(t)
	require.Len(t, want, len(connections))
	f.store.Put("keyed.op", "version/m", map[string]any{"model": "m", "version": 2})
	seen := map[string]string{}
	for end := time.Now().Add(waitTimeout); !maps.Equal(want, seen) && time.Now().Before(end); time.Sleep(waitTick) {
		bodyOf(f.call(d1, "/order/x", "r1", "", "p"))
		for _, address := range []string{listen.Ready, listen.Directory, listen.Metrics, listen.Admin} {
			get(t, "http://"+address+"/metrics")
		}
		serving.use(t)
		_, err := d1.peers.Fetch(t.Context(), d2.Settings.Listen.Peers, &wire.ChangesRequest{})
		require.NoError(t, err)
		sockets := openSockets(t)
		for name, match := range connections {
			for _, s := range sockets {
				if match(s) {
					seen[name] = s.options
				}
				if match(s) && s.options != want[name] {
					break
				}
			}
		}
	}
	require.Equal(t, want, seen)
}

// get sends a request whose response doesn't matter.
func get(t *testing.T, url string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, http.NoBody)
	require.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	_, _ = io.Copy(io.Discard, resp.Body)
	require.NoError(t, resp.Body.Close())
}

// servingSystem is a system of daemons of `serve`.
type servingSystem struct {
	local.System
	service plainservice.Service
}

func startServing(t *testing.T) *servingSystem {
	t.Helper()
	s := &servingSystem{}
	require.NoError(t, s.service.Start(t.Context()))
	t.Cleanup(func() { require.NoError(t, s.service.Close()) })
	s.DaemonCount, s.EngineCount, s.FailureDomains, s.Model, s.Version = 2, 1, []ident.FailureDomain{"z"}, "m", "m-1"
	s.Organisations = []config.Organisation{{ID: "survey", Team: "alder", Rate: 1_000_000, Burst: 4_000_000}}
	s.Upstreams = []config.Upstream{{ID: "bookings", Kind: config.UpstreamPlain, BaseURL: s.service.URL(), FailureDomain: "z"}}
	s.Routes = []config.Route{{
		ID: "open", Team: "alder", Kind: config.RoutePlain, PathPrefix: "/open", Open: true, Upstreams: []ident.UpstreamID{"bookings"},
		IdempotentMethods: []string{"GET"}, OnKeyWithdrawal: config.WithdrawalFinish,
	}}
	t.Cleanup(s.Close)
	require.NoError(t, s.Start(t.Context()))
	return s
}

// use sends a request to each listener for callers and operators, the first one through to the plain service.
func (s *servingSystem) use(t *testing.T) {
	t.Helper()
	get(t, "http://"+s.Addresses()[0]+"/open/visits")
	get(t, "http://"+s.AdminAddresses()[0]+"/")
}

func (s *servingSystem) connections() map[string]func(s socket) bool {
	callers, admin, peers := s.Addresses()[0], s.AdminAddresses()[0], s.Daemon(1).Addresses().Peers
	hostOf := func(url string) string { return strings.TrimPrefix(url, "http://") }
	return map[string]func(s socket) bool{
		"serve: callers":                func(c socket) bool { return c.local == callers },
		"serve: administration":         func(c socket) bool { return c.local == admin },
		"serve: peers, calls to them":   func(c socket) bool { return c.remote == peers },
		"serve: peers, calls from them": func(c socket) bool { return c.local == peers },
		"serve: plain services":         func(c socket) bool { return c.remote == hostOf(s.service.URL()) },
		"serve: engines":                func(c socket) bool { return c.remote == hostOf(s.EngineList()[0].URL()) },
		"serve: log service":            func(c socket) bool { return c.remote == hostOf(s.Log.URL()) },
		"serve: VM list":                func(c socket) bool { return c.remote == hostOf(s.VMs.URL()) },
	}
}
