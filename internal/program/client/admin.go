package client

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/transport/httpc"
)

// adminTimeout is the timeout of one request to the admin API.
const adminTimeout = 15 * time.Second

// AdminError is an error response of the admin API. After a conflict, Current and Revision are the present state of the
// entity.
type AdminError struct {
	Status   int             `json:"-"`
	Code     string          `json:"code"`
	Message  string          `json:"message"`
	Path     string          `json:"path"`
	Current  json.RawMessage `json:"current"`
	Revision uint64          `json:"revision"`
	RecordID string          `json:"recordId"`
}

func (e *AdminError) Error() string {
	text := fmt.Sprintf("%s (%s)", e.Message, e.Code)
	if len(e.Current) > 0 {
		text += fmt.Sprintf("; now at revision %d: %s", e.Revision, e.Current)
	}
	if e.RecordID != "" {
		text += "; record " + e.RecordID
	}
	return text
}

// Resource is a configuration entity with its path and revision.
type Resource struct {
	Path     string          `json:"path"`
	Revision uint64          `json:"revision"`
	Entity   json.RawMessage `json:"entity"`
}

// Progress is the state of a change's rollout to the daemons.
type Progress struct {
	Offset  uint64 `json:"offset"`
	State   string `json:"state"`
	Summary string `json:"summary"`
}

// InForce reports whether all serving daemons have applied the change.
func (p *Progress) InForce() bool { return p.State == "inForce" }

// Change is the response to an accepted change. Secret is only set when a key was created.
type Change struct {
	Resource
	Progress Progress `json:"progress"`
	Secret   string   `json:"secret"`
}

// AdminClient sends requests of one operator to the admin API. Its fields are set before the first request.
type AdminClient struct {
	// Server is the address of a daemon's administration interface, with or without a scheme.
	Server string
	Key    string
	// CAFile is the PEM file of the CA that signed the server's certificate; if it is empty, the CAs of the operating
	// system are trusted.
	CAFile string

	pool *httpc.Pool
}

// Get reads the resource at a path of the API into v. Paths are relative to /admin/v1. Errors are those of Do.
func (a *AdminClient) Get(ctx context.Context, path string, v any) error {
	return a.Do(ctx, http.MethodGet, path, nil, nil, v)
}

// Post sends a body to a path and reads the response into v. Errors are those of Do.
func (a *AdminClient) Post(ctx context.Context, path string, body, v any) error {
	return a.Do(ctx, http.MethodPost, path, nil, body, v)
}

// Put replaces an entity if its revision is still base, or creates it if base is 0 and it does not exist. Errors are
// those of Do.
func (a *AdminClient) Put(ctx context.Context, path string, base uint64, body, v any) error {
	return a.Do(ctx, http.MethodPut, path, preconditionHeader(base), body, v)
}

// Delete deletes an entity if its revision is still base. Errors are those of Do.
func (a *AdminClient) Delete(ctx context.Context, path string, base uint64, v any) error {
	return a.Do(ctx, http.MethodDelete, path, preconditionHeader(base), nil, v)
}

func preconditionHeader(base uint64) http.Header {
	if base == 0 {
		return http.Header{"If-None-Match": {"*"}}
	}
	return http.Header{"If-Match": {strconv.Quote(strconv.FormatUint(base, 10))}}
}

// Do sends a request and decodes the response into v, or ignores the response if v is nil. The error is an *AdminError
// or a *TransportError.
func (a *AdminClient) Do(ctx context.Context, method, path string, header http.Header, body, v any) error {
	pool, err := a.connections()
	if err != nil {
		return &TransportError{Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	r, err := a.newRequest(ctx, method, path, header, body)
	if err != nil {
		return &TransportError{Err: err}
	}
	resp, err := pool.Do(r)
	if err != nil {
		return sendError(err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxEventBytes))
	if err != nil {
		return &TransportError{MaybeSent: true, Err: err}
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return adminError(resp.StatusCode, raw)
	}
	if v == nil {
		return nil
	}
	if err := json.Unmarshal(raw, v); err != nil {
		return &TransportError{MaybeSent: true, Err: err}
	}
	return nil
}

func adminError(status int, raw []byte) error {
	var body struct {
		Error *AdminError `json:"error"`
	}
	if json.Unmarshal(raw, &body) != nil || body.Error == nil {
		return &AdminError{Status: status, Code: strconv.Itoa(status), Message: strings.TrimSpace(string(raw))}
	}
	body.Error.Status = status
	return body.Error
}

func (a *AdminClient) newRequest(ctx context.Context, method, path string, header http.Header, body any) (*http.Request, error) {
	var reader io.Reader = http.NoBody
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return nil, err
		}
		reader = bytes.NewReader(raw)
	}
	server := a.Server
	if !strings.Contains(server, "://") {
		server = "http://" + server
	}
	r, err := http.NewRequestWithContext(ctx, method, server+"/admin/v1"+path, reader)
	if err != nil {
		return nil, err
	}
	for name, values := range header {
		r.Header[name] = values
	}
	r.Header.Set("Authorization", "Bearer "+a.Key)
	return r, nil
}

func (a *AdminClient) connections() (*httpc.Pool, error) {
	if a.pool != nil {
		return a.pool, nil
	}
	pool := &httpc.Pool{IdleTimeout: idleTimeout}
	if a.CAFile != "" {
		roots, err := loadCA(a.CAFile)
		if err != nil {
			return nil, err
		}
		pool.TLS = &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: roots}
	}
	a.pool = pool
	return pool, nil
}

// CAError reports a CA file without a certificate in PEM format.
type CAError struct {
	File string
}

func (e *CAError) Error() string { return e.File + " holds no certificate in PEM form" }

func loadCA(file string) (*x509.CertPool, error) {
	raw, err := os.ReadFile(file) // #nosec G304 -- the operator names the file.
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(raw) {
		return nil, &CAError{File: file}
	}
	return pool, nil
}
