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

// Handler serves the log's protocol, and /standin/stats and /standin/control for tests.
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
		serveFailure(w, err)
		return
	}
	httpd.WriteJSON(w, http.StatusOK, wirelog.AppendResponse{Offset: offset})
}

func (s *Service) serveRead(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.FormValue("from"), 10, 64)
	limit, errLimit := strconv.Atoi(r.FormValue("limit"))
	if err = errors.Join(err, errLimit); err != nil {
		httpd.WriteJSON(w, http.StatusBadRequest, wirelog.ErrorBody{Kind: string(extern.LogRefused), Message: err.Error()})
		return
	}
	batch, err := s.Read(r.Context(), extern.Stream(r.PathValue("stream")), ident.Offset(from), limit)
	if err != nil {
		serveFailure(w, err)
		return
	}
	answer := wirelog.ReadResponse{First: batch.First, Tail: batch.Tail}
	for _, e := range batch.Entries {
		answer.Entries = append(answer.Entries, wirelog.Entry(e))
	}
	httpd.WriteJSON(w, http.StatusOK, answer)
}

// serveFailure answers with what a real service could tell: nothing at all when the answer is lost.
func serveFailure(w http.ResponseWriter, err error) {
	var rate *RateError
	var outage *OutageError
	var logErr *extern.LogError
	switch {
	case errors.As(err, &rate):
		w.Header().Set("Retry-After", "1")
		httpd.WriteJSON(w, http.StatusTooManyRequests, wirelog.ErrorBody{Kind: string(extern.LogRefused), Message: rate.Error()})
	case errors.As(err, &outage) && outage.Mode == ModeFailing:
		httpd.WriteJSON(w, http.StatusServiceUnavailable, wirelog.ErrorBody{Message: outage.Error()})
	case errors.As(err, &logErr) && logErr.Kind == extern.LogExpired:
		httpd.WriteJSON(w, http.StatusGone, wirelog.ErrorBody{Kind: string(extern.LogExpired), Message: "older than the oldest record"})
	default:
		httpd.Abort()
	}
}

// Control is the body of POST /standin/control. Fields that are absent change nothing.
type Control struct {
	Faults
	// ForMs ends all faults after so many milliseconds; 0 lets them last.
	ForMs int64 `json:"forMs"`
}

func (s *Service) serveControl(w http.ResponseWriter, r *http.Request) {
	control := Control{Faults: s.Faults()}
	if err := json.NewDecoder(r.Body).Decode(&control); err != nil {
		httpd.WriteJSON(w, http.StatusBadRequest, wirelog.ErrorBody{Message: err.Error()})
		return
	}
	if control.Mode == ModeRefusing {
		// The connection ends with the switch, so the answer goes first.
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

// applyControl sets the faults, and only then the timer that ends them: a timer that fires first would end nothing.
func (s *Service) applyControl(control Control) error {
	err := s.SetFaults(control.Faults)
	if control.ForMs > 0 {
		s.after(time.Duration(control.ForMs)*time.Millisecond, func() { _ = s.SetFaults(Faults{}) })
	}
	return err
}
