package local

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/program/client"
	"github.com/gooseberryway/gooseberryway/internal/program/setup"
	"github.com/gooseberryway/gooseberryway/internal/standin/certs"
	"github.com/gooseberryway/gooseberryway/internal/standin/engine"
	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Guards against TLS settings with which daemons don't accept each other's heartbeats, against an admin API that clients
// reach without its CA, and against peer listeners that accept plain text.
func TestDaemonsFormFleetOverTLS(t *testing.T) {
	authority, err := certs.New()
	require.NoError(t, err)
	files, err := authority.Issue(t.TempDir(), 2)
	require.NoError(t, err)
	certificate := setup.Certificate{CertFile: files.Cert, KeyFile: files.Key, CAFile: files.CA}
	system := &System{
		DaemonCount: 2, FailureDomains: []ident.FailureDomain{"riga-1", "riga-2"}, EngineCount: 1,
		EngineSettings: engine.Settings{TimeScale: 0.1},
		Model:          "girth", Version: "girth-1",
		Organisations: []config.Organisation{{ID: "survey", Team: "alder", Rate: 1_000_000, Burst: 4_000_000}},
		AdjustSettings: func(s *setup.Settings) {
			s.SharedToken = ""
			s.TLS.Peers, s.TLS.Admin = certificate, certificate
		},
	}
	t.Cleanup(system.Close)
	require.NoError(t, system.Start(t.Context()), "each daemon needs the other's heartbeats")

	c := &client.Client{Seeds: system.Addresses(), Key: system.Keys["survey"], Retries: 5}
	t.Cleanup(c.Close)
	_, err = c.Complete(t.Context(), newRequest("certificates"))
	require.NoError(t, err)

	address := system.AdminAddresses()[0]
	admin := &client.AdminClient{Server: "https://" + address, Key: system.OperatorKey, CAFile: files.CA}
	require.NoError(t, admin.Get(t.Context(), "/status", nil))
	withoutCA := &client.AdminClient{Server: "https://" + address, Key: system.OperatorKey}
	require.Error(t, withoutCA.Get(t.Context(), "/status", nil), "a client without the CA")

	peers := system.Daemon(0).Addresses().Peers
	resp, err := http.Get("http://" + peers) // #nosec G107 -- a loopback address.
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusBadRequest, resp.StatusCode, "the peer listener rejects plain text")
}
