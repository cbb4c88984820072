// Package wstore is a stand-in for the platform's weight store, whose loads share a limited rate.
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

// Store is the stand-in. It implements extern.WeightStore itself, for tests without sockets, and the weight loader of
// the stand-in engine.
type Store struct {
	httpd.Base
	// Weights are the known versions; nil knows all.
	Weights map[ident.VersionID]extern.Weights
	// LoadTime is how long one load takes while no more than Parallel run; 0 is 0.6 s.
	LoadTime time.Duration
	// ParallelLoads is the number of loads that run at full speed together; 0 is two.
	ParallelLoads int
	// TimeScale multiplies LoadTime; 0 is 1.
	TimeScale float64

	mu      sync.Mutex
	active  int
	peak    int
	loads   int
	changed chan struct{}
}

// Stats counts loads.
type Stats struct {
	Loads int `json:"loads"`
	// PeakLoads is the largest number of loads at the same time.
	PeakLoads int `json:"peak"`
}

// UnknownVersionError is a version that the store does not have.
type UnknownVersionError struct {
	Version ident.VersionID
}

func (e *UnknownVersionError) Error() string {
	return fmt.Sprintf("no weights of version %s", e.Version)
}

// OutageError is a call during an outage.
type OutageError struct{}

func (e *OutageError) Error() string { return "the weight store is not available" }

var _ extern.WeightStore = (*Store)(nil)

// Stat implements extern.WeightStore.
func (s *Store) Stat(_ context.Context, version ident.VersionID) (extern.Weights, error) {
	if s.Outage() {
		return extern.Weights{}, &extern.UpstreamError{Kind: extern.UpstreamOverloaded, Err: &OutageError{}}
	}
	if s.Weights == nil {
		return extern.Weights{Name: string(version), Bytes: defaultBytes}, nil
	}
	weights, ok := s.Weights[version]
	if !ok {
		return extern.Weights{}, &extern.UpstreamError{Kind: extern.UpstreamRejected, Err: &UnknownVersionError{Version: version}}
	}
	return weights, nil
}

// Load returns when the weights have been loaded at the shared rate. The error is that of Stat or of ctx.
func (s *Store) Load(ctx context.Context, version ident.VersionID) error {
	if _, err := s.Stat(ctx, version); err != nil {
		return err
	}
	s.join(1)
	defer s.join(-1)
	left := s.loadTime()
	for left > 0 {
		speed, changed := s.speed()
		started := time.Now()
		timer := time.NewTimer(time.Duration(float64(left) / speed))
		select {
		case <-timer.C:
			return nil
		case <-changed:
			timer.Stop()
			left -= time.Duration(float64(time.Since(started)) * speed)
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
	return Stats{Loads: s.loads, PeakLoads: s.peak}
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

// join changes the number of running loads.
func (s *Store) join(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active += n
	s.loads += max(n, 0)
	s.peak = max(s.peak, s.active)
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// speed returns the share of full speed that each load has, and a channel that closes when it changes.
func (s *Store) speed() (float64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	parallel := s.ParallelLoads
	if parallel == 0 {
		parallel = defaultParallel
	}
	return min(1, float64(parallel)/float64(s.active)), s.changed
}

// Handler serves GET /v1/weights/{version}, POST /v1/loads/{version} for engines, /standin/stats and
// /standin/control.
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
