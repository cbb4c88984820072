package logsvc

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/standin/httpd"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	wirelog "github.com/gooseberryway/gooseberryway/internal/transport/logsvc"
)

// Start listens on Address and serves until Close.
func (s *Service) Start(ctx context.Context) error {
	address := s.Address
	if address == "" {
		address = "127.0.0.1:0"
	}
	server := &httpd.Server{Address: address, Handler: s.Handler()}
	if err := server.Start(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	s.server = server
	s.mu.Unlock()
	return nil
}

// URL returns the base URL after Start.
func (s *Service) URL() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.server.URL()
}

// Handler serves the log service's HTTP API, and /standin/stats and /standin/control for tests.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{stream}/records", s.serveAppend)
	mux.HandleFunc("GET /v1/streams/{stream}/records", s.serveRead)
	mux.HandleFunc("GET /standin/stats", func(w http.ResponseWriter, _ *http.Request) {
		httpd.WriteJSON(w, http.StatusOK, s.Stats())
	})
	mux.HandleFunc("POST /standin/control", s.serveControl)
	return mux
}

func (s *Service) serveAppend(w http.ResponseWriter, r *http.Request) {
	payload, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxPayloadBytes))
	if err != nil {
		httpd.WriteJSON(w, http.StatusBadRequest, wirelog.ErrorBody{Kind: string(extern.LogRefused), Message: err.Error()})
		return
	}
	offset, err := s.Append(r.Context(), extern.Stream(r.PathValue("stream")), payload)
	if err != nil {
		writeError(w, err)
		return
	}
	httpd.WriteJSON(w, http.StatusOK, wirelog.AppendResponse{Offset: offset})
}

func (s *Service) serveRead(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.FormValue("from"), 10, 64)
	limit, limitErr := strconv.Atoi(r.FormValue("limit"))
	if err = errors.Join(err, limitErr); err != nil {
		httpd.WriteJSON(w, http.StatusBadRequest, wirelog.ErrorBody{Kind: string(extern.LogRefused), Message: err.Error()})
		return
	}
	batch, err := s.Read(r.Context(), extern.Stream(r.PathValue("stream")), ident.Offset(from), limit)
	if err != nil {
		writeError(w, err)
		return
	}
	response := wirelog.ReadResponse{First: batch.First, Tail: batch.Tail}
	for _, e := range batch.Entries {
		response.Entries = append(response.Entries, wirelog.Entry(e))
	}
	httpd.WriteJSON(w, http.StatusOK, response)
}

// writeError responds with no more than the real service could report: a lost response or a hanging call ends in a
// dropped connection.
func writeError(w http.ResponseWriter, err error) {
	var rateErr *RateError
	var outageErr *OutageError
	var logErr *extern.LogError
	switch {
	case errors.As(err, &rateErr):
		w.Header().Set("Retry-After", "1")
		httpd.WriteJSON(w, http.StatusTooManyRequests, wirelog.ErrorBody{Kind: string(extern.LogRefused), Message: rateErr.Error()})
	case errors.As(err, &outageErr) && outageErr.Mode == ModeFailing:
		httpd.WriteJSON(w, http.StatusServiceUnavailable, wirelog.ErrorBody{Message: outageErr.Error()})
	case errors.As(err, &logErr) && logErr.Kind == extern.LogExpired:
		httpd.WriteJSON(w, http.StatusGone, wirelog.ErrorBody{Kind: string(extern.LogExpired), Message: "older than the oldest record"})
	default:
		httpd.Abort()
	}
}

// Control is the body of POST /standin/control. Absent fields keep their present values.
type Control struct {
	Faults
	// ForMs is the time in milliseconds after which all faults end; 0 keeps them.
	ForMs int64 `json:"forMs"`
}

func (s *Service) serveControl(w http.ResponseWriter, r *http.Request) {
	control := Control{Faults: s.Faults()}
	if err := json.NewDecoder(r.Body).Decode(&control); err != nil {
		httpd.WriteJSON(w, http.StatusBadRequest, wirelog.ErrorBody{Message: err.Error()})
		return
	}
	if control.Mode == ModeRefusing {
		// Changing to this mode closes the connection, so the response is sent first.
		w.WriteHeader(http.StatusAccepted)
		_ = http.NewResponseController(w).Flush()
		_ = s.applyControl(control)
		return
	}
	if err := s.applyControl(control); err != nil {
		httpd.WriteJSON(w, http.StatusInternalServerError, wirelog.ErrorBody{Message: err.Error()})
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// applyControl sets the faults and then starts the timer that ends them. The other way round, a short timer could fire
// before the faults are set and would end nothing.
func (s *Service) applyControl(control Control) error {
	err := s.SetFaults(control.Faults)
	if control.ForMs > 0 {
		s.runAfter(time.Duration(control.ForMs)*time.Millisecond, func() { _ = s.SetFaults(Faults{}) })
	}
	return err
}
