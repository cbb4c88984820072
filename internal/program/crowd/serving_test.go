package crowd

import (
	"crypto/x509"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/program/local"
	"github.com/gooseberryway/gooseberryway/internal/standin/certs"
	"github.com/gooseberryway/gooseberryway/internal/standin/engine"
	"github.com/gooseberryway/gooseberryway/internal/standin/httpd"
	"github.com/gooseberryway/gooseberryway/internal/standin/plain"
	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/platform/standin"
)

// Paths of the callers' listener of a process that startServing returns.
const (
	plainPath = "/bookings/x"
	openPath  = "/open/x"
	chatPath  = "/v1/chat/completions"
	textPath  = "/v1/completions"
)

// startServing starts "gooseberryway serve" beside its platform, an engine and a plain service. Its listeners are the callers' one, once for each path.
func startServing(t *testing.T, secured bool) *process {
	t.Helper()
	bookings := &plain.Service{Base: httpd.Base{Address: "127.0.0.1:0"}}
	require.NoError(t, bookings.Start(t.Context()))
	t.Cleanup(func() { _ = bookings.Close() })
	route := func(id ident.RouteID, prefix string, open bool) config.Route {
		return config.Route{
			ID: id, Team: "alder", Kind: config.RoutePlain, PathPrefix: prefix, Open: open, Upstreams: []ident.UpstreamID{"bookings"},
			IdempotentMethods: []string{"POST"}, OnKeyWithdrawal: config.WithdrawalFinish,
		}
	}
	system := &local.System{
		FailureDomains: []ident.FailureDomain{"z"}, EngineCount: 1, EngineSettings: engine.Settings{TimeScale: 0.01}, Model: "girth", Version: "girth-1",
		Organisations: []config.Organisation{{ID: "survey", Team: "alder", Rate: 1e9, Burst: 4e9}},
		Upstreams:     []config.Upstream{{ID: "bookings", Kind: config.UpstreamPlain, BaseURL: bookings.URL(), FailureDomain: "z"}},
		Routes:        []config.Route{route("bookings", "/bookings", false), route("open", "/open", true)},
	}
	t.Cleanup(system.Close)
	require.NoError(t, system.Start(t.Context()))
	p := &process{t: t, maxSockets: manyDescriptors - reservedDescriptors}
	listen := p.listen("callers", "admin", "peers")
	callers := p.listeners[0]
	callers.key, callers.serves = system.Keys["survey"], true
	unused := map[string]any{"url": "http://" + standin.FreeAddress()}
	settings := map[string]any{
		"weightStore": unused,
		"daemonId":    "daemon-1", "failureDomain": "z", "listen": listen, "advertise": listen, "sharedToken": "only-for-loopback",
		"logService": map[string]any{"url": system.Log.URL()}, "vmList": map[string]any{"url": system.VMs.URL()},
	}
	if secured {
		certificate, roots := certificates(t)
		settings["tls"] = map[string]any{"callers": certificate}
		callers.roots = roots
	}
	p.listeners = nil
	for _, path := range []string{plainPath, openPath, chatPath} {
		l := callers
		l.name, l.path = callers.name+path, path
		p.listeners = append(p.listeners, l)
	}
	p.start("serve", settings)
	return p
}

// certificates returns the settings of a certificate for loopback, and its authority.
func certificates(t *testing.T) (settings map[string]any, roots *x509.CertPool) {
	t.Helper()
	authority, err := certs.New()
	require.NoError(t, err)
	files, err := authority.Issue(t.TempDir(), 2)
	require.NoError(t, err)
	raw, err := os.ReadFile(files.CA)
	require.NoError(t, err)
	roots = x509.NewCertPool()
	require.True(t, roots.AppendCertsFromPEM(raw))
	return map[string]any{"certFile": files.Cert, "keyFile": files.Key}, roots
}
