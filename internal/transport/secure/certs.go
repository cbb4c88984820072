// Package secure provides TLS configurations whose certificates are reloaded without a restart,
// and the check of the shared token that daemons may use on loopback.
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

// recheckInterval is how often certificate files are looked at for changes.
const recheckInterval = 5 * time.Second

// CertificateError says that a certificate can't be used.
type CertificateError struct {
	File string
	Err  error
}

func (e *CertificateError) Error() string { return fmt.Sprintf("certificate %s: %v", e.File, e.Err) }

func (e *CertificateError) Unwrap() error { return e.Err }

// EmptyCAError is the cause of a *CertificateError for a file that holds no CA certificate.
type EmptyCAError struct{}

func (e *EmptyCAError) Error() string { return "no certificate in PEM form found" }

// CertReloader serves a certificate and a pool of CAs from files and reads them again when they change.
// A file that has become unreadable leaves the last good certificate in use.
type CertReloader struct {
	CertFile, KeyFile, CAFile string

	mu      sync.Mutex
	checked time.Time
	stamps  [3]time.Time
	cert    *tls.Certificate
	pool    *x509.CertPool
}

// Load reads the files for the first time. The error is a *CertificateError.
func (r *CertReloader) Load() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.load()
}

func (r *CertReloader) load() error {
	stamps := r.fileTimes()
	cert, err := tls.LoadX509KeyPair(r.CertFile, r.KeyFile)
	if err != nil {
		return &CertificateError{File: r.CertFile, Err: err}
	}
	pool, err := r.loadPool()
	if err != nil {
		return err
	}
	r.cert, r.pool = &cert, pool
	r.stamps, r.checked = stamps, time.Now()
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

func (r *CertReloader) fileTimes() [3]time.Time {
	var stamps [3]time.Time
	for i, file := range []string{r.CertFile, r.KeyFile, r.CAFile} {
		if info, err := os.Stat(file); err == nil {
			stamps[i] = info.ModTime()
		}
	}
	return stamps
}

// current returns the certificate and CAs, read again if the files have changed.
func (r *CertReloader) current() (*tls.Certificate, *x509.CertPool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.checked) < recheckInterval {
		return r.cert, r.pool
	}
	r.checked = time.Now()
	if r.fileTimes() != r.stamps {
		// On failure the last good certificate stays in use until the files change again.
		_ = r.load()
	}
	return r.cert, r.pool
}

// Server returns the configuration of a listener. With mutual set, clients must show a certificate of the CA.
func (r *CertReloader) Server(mutual bool) *tls.Config {
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

// Client returns the configuration of a client that shows its certificate and checks the server's against the CA. Daemons
// reach each other by IP number, so any certificate of the CA will do: the CA must sign daemons only.
func (r *CertReloader) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := r.current()
			return cert, nil
		},
		// The pool may change, so the chain is checked in VerifyConnection against the one of now.
		InsecureSkipVerify: true, // #nosec G402 -- VerifyConnection checks the chain.
		VerifyConnection: func(state tls.ConnectionState) error {
			_, pool := r.current()
			return verifyChain(state, pool)
		},
	}
}

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

// AddToken sets the shared token on a request if there is one.
func AddToken(header http.Header, token string) {
	if token != "" {
		header.Set(tokenHeader, token)
	}
}

// RequireToken refuses requests without the shared token. An empty token refuses nothing; TLS then authenticates.
func RequireToken(token string, next http.Handler) http.Handler {
	if token == "" {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if subtle.ConstantTimeCompare([]byte(r.Header.Get(tokenHeader)), []byte(token)) != 1 {
			http.Error(w, "credentials are needed", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}
