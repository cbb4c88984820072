// Package wstore is a stand-in for the platform's weight store. It knows the weight versions and delays loads: those
// that run at the same time share a limited rate.
package wstore

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/standin/httpd"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Store is the stand-in. It implements extern.WeightStore, for tests without sockets, and the weight loader of the
// stand-in engine.
type Store struct {
	httpd.Base
	// Weights are the known versions; nil means that every version is known.
	Weights map[ident.VersionID]extern.Weights
	// LoadTime is how long a load takes at full speed; 0 means 0.6 s.
	LoadTime time.Duration
	// ParallelLoads is the largest number of simultaneous loads that all run at full speed; 0 means 2. With more, each
	// load gets an equal share of that rate.
	ParallelLoads int
	// TimeScale multiplies LoadTime; 0 means 1.
	TimeScale float64

	mu            sync.Mutex
	activeLoads   int
	peakLoads     int
	startedLoads  int
	activeChanged chan struct{}
}

// Stats counts the loads that have started.
type Stats struct {
	Loads int `json:"loads"`
	// PeakLoads is the largest number of simultaneous loads so far.
	PeakLoads int `json:"peak"`
}

// UnknownVersionError is returned for a version that the store does not have.
type UnknownVersionError struct {
	Version ident.VersionID
}

func (e *UnknownVersionError) Error() string {
	return fmt.Sprintf("no weights of version %s", e.Version)
}

// OutageError is returned for a call during an outage.
type OutageError struct{}

func (e *OutageError) Error() string { return "the weight store is not available" }

var _ extern.WeightStore = (*Store)(nil)

// Stat implements extern.WeightStore. The error is an *extern.UpstreamError.
func (s *Store) Stat(_ context.Context, version ident.VersionID) (extern.Weights, error) {
	if s.Outage() {
		return extern.Weights{}, &extern.UpstreamError{Kind: extern.UpstreamOverloaded, Err: &OutageError{}}
	}
	if s.Weights == nil {
		return extern.Weights{Name: string(version), Bytes: defaultWeightsBytes}, nil
	}
	weights, ok := s.Weights[version]
	if !ok {
		return extern.Weights{}, &extern.UpstreamError{Kind: extern.UpstreamRejected, Err: &UnknownVersionError{Version: version}}
	}
	return weights, nil
}

// Load waits as long as loading the weights takes at the shared rate. The error is that of Stat or of ctx.
func (s *Store) Load(ctx context.Context, version ident.VersionID) error {
	if _, err := s.Stat(ctx, version); err != nil {
		return err
	}
	s.addActive(1)
	defer s.addActive(-1)
	remaining := s.loadTime()
	for remaining > 0 {
		speed, changed := s.speed()
		started := time.Now()
		timer := time.NewTimer(time.Duration(float64(remaining) / speed))
		select {
		case <-timer.C:
			return nil
		case <-changed:
			timer.Stop()
			remaining -= time.Duration(float64(time.Since(started)) * speed)
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
	}
	return nil
}

// Stats returns the counters.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Stats{Loads: s.startedLoads, PeakLoads: s.peakLoads}
}

// Start listens on Address and serves until Close.
func (s *Store) Start(ctx context.Context) error { return s.Listen(ctx, s.Handler()) }

func (s *Store) loadTime() time.Duration {
	d := s.LoadTime
	if d == 0 {
		d = defaultLoadTime
	}
	if s.TimeScale > 0 {
		d = time.Duration(float64(d) * s.TimeScale)
	}
	return d
}

// addActive adds n, 1 or -1, to the number of running loads and wakes the loads, whose speed changes with it.
func (s *Store) addActive(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeLoads += n
	s.startedLoads += max(n, 0)
	s.peakLoads = max(s.peakLoads, s.activeLoads)
	if s.activeChanged != nil {
		close(s.activeChanged)
		s.activeChanged = nil
	}
}

// speed returns the share of full speed, up to 1, at which each load runs, and a channel that closes when the number of
// running loads changes.
func (s *Store) speed() (float64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.activeChanged == nil {
		s.activeChanged = make(chan struct{})
	}
	parallel := s.ParallelLoads
	if parallel == 0 {
		parallel = defaultParallelLoads
	}
	return min(1, float64(parallel)/float64(s.activeLoads)), s.activeChanged
}

// Handler serves GET /v1/weights/{version}, POST /v1/loads/{version} for engines, and /standin/stats and
// /standin/control for tests.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/weights/{version}", func(w http.ResponseWriter, r *http.Request) {
		if s.RejectInOutage(w) {
			return
		}
		weights, err := s.Stat(r.Context(), ident.VersionID(r.PathValue("version")))
		if err != nil {
			http.Error(w, err.Error(), http.StatusNotFound)
			return
		}
		httpd.WriteJSON(w, http.StatusOK, weights)
	})
	mux.HandleFunc("POST /v1/loads/{version}", func(w http.ResponseWriter, r *http.Request) {
		if s.RejectInOutage(w) {
			return
		}
		if err := s.Load(r.Context(), ident.VersionID(r.PathValue("version"))); err != nil {
			http.Error(w, err.Error(), http.StatusNotFound)
			return
		}
		httpd.WriteJSON(w, http.StatusOK, struct{}{})
	})
	mux.HandleFunc("GET /standin/stats", func(w http.ResponseWriter, _ *http.Request) {
		httpd.WriteJSON(w, http.StatusOK, s.Stats())
	})
	mux.HandleFunc("POST /standin/control", httpd.Decode(func(c Control) { s.SetOutage(c.Outage) }))
	return mux
}

// Control is the body of POST /standin/control.
type Control struct {
	Outage bool `json:"outage"`
}
