// Package secure provides TLS configurations that reload their certificates when the files change, and authentication by a
// shared token for daemons that reach each other on loopback without TLS.
package secure

import (
	"crypto/subtle"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// recheckInterval is the minimum time between two checks of the certificate files for changes.
const recheckInterval = 5 * time.Second

// CertificateError is a certificate file that cannot be used.
type CertificateError struct {
	File string
	Err  error
}

func (e *CertificateError) Error() string { return fmt.Sprintf("certificate %s: %v", e.File, e.Err) }

func (e *CertificateError) Unwrap() error { return e.Err }

// EmptyCAError is the cause in a *CertificateError for a CA file without a PEM certificate.
type EmptyCAError struct{}

func (e *EmptyCAError) Error() string { return "no certificate in PEM form found" }

// CertReloader provides a certificate and a CA pool from files and reloads them when the files change. If reloading fails,
// the last valid certificate and pool stay in use. Load must succeed before the configurations are used.
type CertReloader struct {
	CertFile, KeyFile, CAFile string

	mu        sync.Mutex
	checkedAt time.Time
	modTimes  [3]time.Time
	cert      *tls.Certificate
	caPool    *x509.CertPool
}

// Load reads the files at the start. The error is a *CertificateError.
func (r *CertReloader) Load() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.load()
}

func (r *CertReloader) load() error {
	modTimes := r.fileModTimes()
	cert, err := tls.LoadX509KeyPair(r.CertFile, r.KeyFile)
	if err != nil {
		return &CertificateError{File: r.CertFile, Err: err}
	}
	pool, err := r.loadPool()
	if err != nil {
		return err
	}
	r.cert, r.caPool = &cert, pool
	r.modTimes, r.checkedAt = modTimes, time.Now()
	return nil
}

func (r *CertReloader) loadPool() (*x509.CertPool, error) {
	if r.CAFile == "" {
		return nil, nil
	}
	raw, err := os.ReadFile(r.CAFile)
	if err != nil {
		return nil, &CertificateError{File: r.CAFile, Err: err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(raw) {
		return nil, &CertificateError{File: r.CAFile, Err: &EmptyCAError{}}
	}
	return pool, nil
}

// fileModTimes returns the modification times of the three files, zero for a file that cannot be read.
func (r *CertReloader) fileModTimes() [3]time.Time {
	var modTimes [3]time.Time
	for i, file := range []string{r.CertFile, r.KeyFile, r.CAFile} {
		if info, err := os.Stat(file); err == nil {
			modTimes[i] = info.ModTime()
		}
	}
	return modTimes
}

// current returns the certificate and the CA pool, reloaded if the files have changed. Files are checked at most every
// recheckInterval.
func (r *CertReloader) current() (*tls.Certificate, *x509.CertPool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.checkedAt) < recheckInterval {
		return r.cert, r.caPool
	}
	r.checkedAt = time.Now()
	if r.fileModTimes() != r.modTimes {
		// On failure the last valid certificate stays in use.
		_ = r.load()
	}
	return r.cert, r.caPool
}

// ServerConfig returns the TLS configuration of a listener. If mutual is set, clients must present a certificate signed
// by the CA.
func (r *CertReloader) ServerConfig(mutual bool) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool := r.current()
			cfg := &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*cert},
				NextProtos:   []string{"h2", "http/1.1"},
			}
			if mutual {
				cfg.ClientAuth = tls.RequireAndVerifyClientCert
				cfg.ClientCAs = pool
			}
			return cfg, nil
		},
	}
}

// ClientConfig returns the TLS configuration of a client that presents its certificate and verifies the server's against
// the CA. Daemons dial each other by IP address, so there is no host name to verify and any certificate of the CA is
// accepted. The CA must therefore sign certificates of daemons only.
func (r *CertReloader) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := r.current()
			return cert, nil
		},
		// VerifyConnection verifies the chain, because RootCAs cannot change with the CA file.
		InsecureSkipVerify: true, // #nosec G402 -- VerifyConnection verifies the chain.
		VerifyConnection: func(state tls.ConnectionState) error {
			_, pool := r.current()
			return verifyChain(state, pool)
		},
	}
}

// verifyChain verifies the server's certificate against the roots, and its host name if the client has dialled one.
func verifyChain(state tls.ConnectionState, roots *x509.CertPool) error {
	intermediates := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		DNSName:       state.ServerName,
		Roots:         roots,
		Intermediates: intermediates,
	})
	return err
}

// tokenHeader carries the shared token between daemons on loopback.
const tokenHeader = "X-Shared-Token" // #nosec G101 -- the name of a header.

// AddToken sets the header of the shared token, unless the token is empty.
func AddToken(header http.Header, token string) {
	if token != "" {
		header.Set(tokenHeader, token)
	}
}

// RequireToken answers requests without the shared token with status 401. With an empty token it returns next: TLS then
// authenticates the peer.
func RequireToken(token string, next http.Handler) http.Handler {
	if token == "" {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if subtle.ConstantTimeCompare([]byte(r.Header.Get(tokenHeader)), []byte(token)) != 1 {
			// A stranger may have further calls in progress on the connection.
			w.Header().Set("Connection", "close")
			http.Error(w, "credentials are needed", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}
