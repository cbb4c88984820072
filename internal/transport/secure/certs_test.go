package secure

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// authority signs certificates for tests.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test CA"}, IsCA: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		KeyUsage: x509.KeyUsageCertSign, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	cert, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	return &authority{cert: cert, key: key}
}

// write issues a certificate with the serial number and writes it with its key and CA into the directory.
func (a *authority) write(t *testing.T, dir string, serial int64) *Reloader {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "daemon"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	require.NoError(t, err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	require.NoError(t, err)
	r := &Reloader{CertFile: filepath.Join(dir, "cert.pem"), KeyFile: filepath.Join(dir, "key.pem"), CAFile: filepath.Join(dir, "ca.pem")}
	writePEM(t, r.CertFile, "CERTIFICATE", der)
	writePEM(t, r.KeyFile, "PRIVATE KEY", keyDER)
	writePEM(t, r.CAFile, "CERTIFICATE", a.cert.Raw)
	return r
}

func writePEM(t *testing.T, file, kind string, der []byte) {
	t.Helper()
	require.NoError(t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
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

func TestMutualTLSTakesOnlyTheCA(t *testing.T) {
	ca := newAuthority(t)
	server := ca.write(t, t.TempDir(), 2)
	require.NoError(t, server.Load())
	url := serveTLS(t, server.Server(true))

	client := ca.write(t, t.TempDir(), 3)
	require.NoError(t, client.Load())
	_, err := get(t, url, client.Client())
	require.NoError(t, err)

	stranger := newAuthority(t).write(t, t.TempDir(), 4)
	require.NoError(t, stranger.Load())
	_, err = get(t, url, stranger.Client())
	require.Error(t, err, "a certificate of another CA")
}

func TestCertificatesAreReloaded(t *testing.T) {
	ca, dir := newAuthority(t), t.TempDir()
	r := ca.write(t, dir, 2)
	require.NoError(t, r.Load())
	url := serveTLS(t, r.Server(true))

	ca.write(t, dir, 9)
	later := time.Now().Add(time.Minute)
	require.NoError(t, os.Chtimes(r.CertFile, later, later))
	r.mu.Lock()
	r.checked = time.Time{}
	r.mu.Unlock()

	state, err := get(t, url, r.Client())
	require.NoError(t, err)
	require.Equal(t, int64(9), state.PeerCertificates[0].SerialNumber.Int64())
}

func TestABrokenFileLeavesTheOldCertificate(t *testing.T) {
	r := newAuthority(t).write(t, t.TempDir(), 2)
	require.NoError(t, r.Load())
	require.NoError(t, os.WriteFile(r.CertFile, []byte("broken"), 0o600))
	r.checked = time.Time{}
	cert, _ := r.current()
	require.NotNil(t, cert)
}

func TestLoadReportsTheFile(t *testing.T) {
	var certErr *CertificateError
	require.ErrorAs(t, (&Reloader{CertFile: "none.pem", KeyFile: "none.pem"}).Load(), &certErr)
	require.Equal(t, "none.pem", certErr.File)
}

func TestRequireToken(t *testing.T) {
	next := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	cases := []struct {
		name, wanted, sent string
		status             int
	}{
		{"right", "secret", "secret", http.StatusNoContent},
		{"wrong", "secret", "other", http.StatusUnauthorized},
		{"missing", "secret", "", http.StatusUnauthorized},
		{"not in use", "", "", http.StatusNoContent},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			req := httptest.NewRequest(http.MethodPost, "/", http.NoBody)
			AddToken(req.Header, tc.sent)
			w := httptest.NewRecorder()
			RequireToken(tc.wanted, next).ServeHTTP(w, req)
			require.Equal(t, tc.status, w.Code)
		})
	}
}
