// Package admin is the HTTP interface towards operators: the administration API, its OpenAPI document,
// health checks, metrics and the page for phones.
package admin

import (
	"context"
	"crypto/tls"
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/transport/rest"
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
	Total        int              `json:"of"`
	Missing      []ident.DaemonID `json:"missing,omitempty"`
	// Summary is the same as one sentence.
	Summary string `json:"summary"`
}

// Server answers operators. Its fields are set before Handler is called.
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
	// BootstrapOperator is an operator with all rights; nil if there is none.
	BootstrapOperator *config.Operator
	// StatusPage returns what the page for phones shows.
	StatusPage func() any

	// closing is closed when the listener shuts down.
	closing chan struct{}
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

// HTTPServer returns the HTTP server of the interface; cfg is nil on loopback. Its updates end when it closes.
func (s *Server) HTTPServer(cfg *tls.Config) *rest.Server {
	s.closing = make(chan struct{})
	server := &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	server.RegisterOnShutdown(func() { close(s.closing) })
	return &rest.Server{TLS: cfg, HTTP: server}
}
