// Package admin implements the HTTP interface for operators: the administration API and its OpenAPI document, health
// checks, metrics and the status page. It authenticates operators by key, checks their roles on the configuration's
// paths and turns their changes into records of the control stream with optimistic concurrency control.
package admin

import (
	"context"
	"crypto/tls"
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/transport/intake"
	"github.com/gooseberryway/gooseberryway/internal/transport/rest"
)

// Writer appends records to the control stream of the log service.
type Writer interface {
	// Write returns the offset at which the record took effect. The error is a *config.ConflictError,
	// a *config.InvalidError or an *Error.
	Write(ctx context.Context, rec *wire.Record) (ident.Offset, error)
}

// States of a change, for Progress.State.
const (
	// StatePending means that less than a majority of the daemons is known to have applied the change.
	StatePending = "pending"
	// StateAccepted means that a majority has applied the change, so that the fleet will not lose it.
	StateAccepted = "accepted"
	// StateInForce means that no serving daemon can be without the change.
	StateInForce = "inForce"
)

// Progress is how far the daemons have applied a change.
type Progress struct {
	Offset ident.Offset `json:"offset"`
	// State is StatePending, StateAccepted or StateInForce.
	State string `json:"state"`
	// Acknowledged of Total daemons have applied the change; Missing lists those that have not.
	Acknowledged int              `json:"acknowledged"`
	Total        int              `json:"of"`
	Missing      []ident.DaemonID `json:"missing,omitempty"`
	// Summary is the progress as one sentence for operators.
	Summary string `json:"summary"`
}

// Server serves the HTTP interface for operators. Its fields are set before Handler is called.
type Server struct {
	// State returns the configuration that this daemon has applied.
	State  func() *config.State
	Writer Writer
	// Progress returns the progress of the change at an offset.
	Progress func(ident.Offset) Progress
	// Status returns the report of GET /admin/v1/status, which "gooseberryway status" prints.
	Status func() any
	// Burn returns the report on the burn rates of the service-level objectives.
	Burn func() any
	// Records returns at most limit entries of the control stream from an offset on, oldest first.
	Records func(ctx context.Context, from ident.Offset, limit int) ([]*wire.LogEntry, error)
	// Ready returns nil if the daemon serves callers, otherwise the reason why it does not.
	Ready func() error
	// UpdateMetrics sets gauges before they are read; nil for none.
	UpdateMetrics func()
	// BootstrapOperator is an operator from the daemon's settings, which needs no entity in the configuration; nil if there
	// is none.
	BootstrapOperator *config.Operator
	// StatusPage returns the content of the status page, which is streamed as JSON.
	StatusPage func() any

	// shutdown is closed when the HTTP server shuts down; it ends the streams of page updates.
	shutdown chan struct{}
}

// Handler returns the handler of all operator endpoints.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", s.serveReady)
	mux.Handle("GET /metrics", intake.HoldHandler(reportBytes, http.HandlerFunc(s.serveMetrics)))
	for _, op := range s.operations() {
		mux.Handle(op.method+" "+basePath+op.path, op.handler)
	}
	mux.HandleFunc("GET "+basePath+"/openapi.json", serveOpenAPI)
	mux.Handle("GET "+basePath+"/updates", s.requireOperator(http.HandlerFunc(s.serveUpdates)))
	mux.Handle("GET /", newPageHandler())
	return mux
}

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := s.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (s *Server) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	if s.UpdateMetrics != nil {
		s.UpdateMetrics()
	}
	metrics.WritePrometheus(w, true)
}

// HTTPServer returns the HTTP server for operators; cfg is nil on loopback, where it serves plain text. Closing the server
// ends the streams of page updates.
func (s *Server) HTTPServer(cfg *tls.Config) *rest.Server {
	s.shutdown = make(chan struct{})
	server := &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	server.RegisterOnShutdown(func() { close(s.shutdown) })
	return &rest.Server{TLS: cfg, HTTP: server}
}
