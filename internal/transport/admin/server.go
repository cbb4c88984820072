// Package admin is the HTTP interface towards operators: the administration API, its OpenAPI document,
// health checks, metrics and the page for phones.
package admin

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Writer appends records to the control stream.
type Writer interface {
	// Write returns the offset at which the record took effect. The error is a *config.ConflictError,
	// a *config.InvalidError or an *Error.
	Write(ctx context.Context, rec *wire.Record) (ident.Offset, error)
}

// States of a change.
const (
	StatePending  = "pending"
	StateAccepted = "accepted"
	StateInForce  = "inForce"
)

// Progress tells how far a change has come.
type Progress struct {
	Offset ident.Offset `json:"offset"`
	// State is "accepted", "pending" or "inForce".
	State string `json:"state"`
	// Acknowledged daemons of Of have applied the change; Missing have not.
	Acknowledged int              `json:"acknowledged"`
	Of           int              `json:"of"`
	Missing      []ident.DaemonID `json:"missing,omitempty"`
	// Summary is the same as one sentence.
	Summary string `json:"summary"`
}

// Server answers operators. Its fields are set before Handler or Serve is called.
type Server struct {
	State    func() *config.State
	Writer   Writer
	Progress func(ident.Offset) Progress
	// Status returns what the page and "gooseberryway status" show.
	Status func() any
	// Burn returns the report on service-level burn.
	Burn func() any
	// Records reads the control stream for the audit trail, oldest first.
	Records func(ctx context.Context, from ident.Offset, limit int) ([]*wire.LogEntry, error)
	// Ready returns nil if the daemon serves callers.
	Ready func() error
	// Bootstrap is an operator with all rights; nil if there is none.
	Bootstrap *config.Operator
	// Update returns what the page for phones shows.
	Update func() any
	// TLS is nil on loopback.
	TLS *tls.Config

	http    *http.Server
	closing chan struct{}
	close   sync.Once
}

// Handler returns the handler of the interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", s.serveReady)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	for _, op := range s.operations() {
		mux.Handle(op.method+" "+basePath+op.path, op.handler)
	}
	mux.HandleFunc("GET "+basePath+"/openapi.json", serveOpenAPI)
	mux.Handle("GET "+basePath+"/updates", s.authenticated(http.HandlerFunc(s.serveUpdates)))
	mux.Handle("GET /", page())
	return mux
}

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := s.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// Serve answers operators on the listener until Close. It returns nil after Close.
func (s *Server) Serve(l net.Listener) error {
	s.Prepare()
	if s.TLS != nil {
		l = tls.NewListener(l, s.TLS)
	}
	err := s.http.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Prepare sets up the HTTP server. It must be called before Close can run beside Serve.
func (s *Server) Prepare() {
	if s.http != nil {
		return
	}
	s.closing = make(chan struct{})
	s.http = &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// Close stops listening, lets running requests finish for up to the timeout and cuts the rest.
func (s *Server) Close(timeout time.Duration) error {
	s.Prepare()
	s.close.Do(func() { close(s.closing) })
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := s.http.Shutdown(ctx); err != nil {
		_ = s.http.Close()
		return err
	}
	return nil
}

// Cut ends the server at once and breaks its connections.
func (s *Server) Cut() {
	s.Prepare()
	s.close.Do(func() { close(s.closing) })
	_ = s.http.Close()
}
