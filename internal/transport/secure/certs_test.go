package secure

import (
	"crypto/tls"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/standin/certs"
)

func newAuthority(t *testing.T) *certs.Authority {
	t.Helper()
	a, err := certs.New()
	require.NoError(t, err)
	return a
}

// issueCertificate writes a new certificate to the directory and returns a reloader for it.
func issueCertificate(t *testing.T, a *certs.Authority, dir string, serial int64) *CertReloader {
	t.Helper()
	files, err := a.Issue(dir, serial)
	require.NoError(t, err)
	return &CertReloader{CertFile: files.Cert, KeyFile: files.Key, CAFile: files.CA}
}

func serveTLS(t *testing.T, cfg *tls.Config) string {
	t.Helper()
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	srv.TLS = cfg
	srv.StartTLS()
	t.Cleanup(srv.Close)
	return srv.URL
}

func get(t *testing.T, url string, cfg *tls.Config) (*tls.ConnectionState, error) {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: cfg, DisableKeepAlives: true}}
	resp, err := client.Get(url)
	if err != nil {
		return nil, err
	}
	resp.Body.Close()
	return resp.TLS, nil
}

func TestMutualTLSRejectsCertificateOfAnotherCA(t *testing.T) {
	ca := newAuthority(t)
	server := issueCertificate(t, ca, t.TempDir(), 2)
	require.NoError(t, server.Load())
	url := serveTLS(t, server.ServerConfig(true))

	client := issueCertificate(t, ca, t.TempDir(), 3)
	require.NoError(t, client.Load())
	_, err := get(t, url, client.ClientConfig())
	require.NoError(t, err)

	otherCA := issueCertificate(t, newAuthority(t), t.TempDir(), 4)
	require.NoError(t, otherCA.Load())
	_, err = get(t, url, otherCA.ClientConfig())
	require.Error(t, err, "a certificate of another CA")
}

// A new certificate must be served without a restart once the files have changed and the check interval has passed.
func TestChangedCertificateIsReloaded(t *testing.T) {
	ca, dir := newAuthority(t), t.TempDir()
	r := issueCertificate(t, ca, dir, 2)
	require.NoError(t, r.Load())
	url := serveTLS(t, r.ServerConfig(true))

	issueCertificate(t, ca, dir, 9)
	later := time.Now().Add(time.Minute)
	require.NoError(t, os.Chtimes(r.CertFile, later, later))
	r.mu.Lock()
	r.checkedAt = time.Time{}
	r.mu.Unlock()

	state, err := get(t, url, r.ClientConfig())
	require.NoError(t, err)
	require.Equal(t, int64(9), state.PeerCertificates[0].SerialNumber.Int64())
}

// A certificate file that is invalid, for instance half written, must not stop a running daemon from serving TLS.
func TestInvalidCertificateFileKeepsLastCertificate(t *testing.T) {
	r := issueCertificate(t, newAuthority(t), t.TempDir(), 2)
	require.NoError(t, r.Load())
	require.NoError(t, os.WriteFile(r.CertFile, []byte("broken"), 0o600))
	r.checkedAt = time.Time{}
	cert, _ := r.current()
	require.NotNil(t, cert)
}

func TestLoadErrorNamesFile(t *testing.T) {
	var certErr *CertificateError
	require.ErrorAs(t, (&CertReloader{CertFile: "none.pem", KeyFile: "none.pem"}).Load(), &certErr)
	require.Equal(t, "none.pem", certErr.File)
}

func TestRequireToken(t *testing.T) {
	next := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	cases := []struct {
		name, required, sent string
		status               int
	}{
		{"correct token", "secret", "secret", http.StatusNoContent},
		{"wrong token", "secret", "other", http.StatusUnauthorized},
		{"missing token", "secret", "", http.StatusUnauthorized},
		{"no token required", "", "", http.StatusNoContent},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			req := httptest.NewRequest(http.MethodPost, "/", http.NoBody)
			AddToken(req.Header, tc.sent)
			w := httptest.NewRecorder()
			RequireToken(tc.required, next).ServeHTTP(w, req)
			require.Equal(t, tc.status, w.Code)
		})
	}
}
