// Package plain is a stand-in for plain services, the upstreams that run no model. It counts how often each call took
// effect, and injects faults before and after the effect.
package plain

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/standin/httpd"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Service is the stand-in. It accepts every method on every path; GET, HEAD, PUT, DELETE and OPTIONS are idempotent.
type Service struct {
	httpd.Base
	// Seed makes the choice of faults repeatable.
	Seed uint64

	initOnce      sync.Once
	mu            sync.Mutex
	faults        Faults
	random        *rand.Rand
	effectCounts  map[ident.RequestID]int
	stats         Stats
	callerKeys    []string
	leaveDeadline time.Time
}

// Faults are the faults that the service injects. Shares are from 0 to 1. The zero value injects none.
type Faults struct {
	// Delay is the time before the effect. A call whose connection ends before that takes effect at once.
	Delay time.Duration `json:"delayNanos"`
	// Refused is the share of calls that get status 503 with a header that says that they did not run.
	Refused float64 `json:"refused"`
	// LostBefore is the share of calls whose connection is dropped before the effect; LostAfter is that for after the effect.
	LostBefore float64 `json:"lostBefore"`
	LostAfter  float64 `json:"lostAfter"`
	// Errors is the share of calls that get status 500 after the effect.
	Errors float64 `json:"errors"`
	// Truncated is the share of responses that break off in the body.
	Truncated float64 `json:"truncated"`
	// Mismatched is the share of responses that carry the request id of another call.
	Mismatched float64 `json:"crossed"`
	// Late is the share of calls whose response is sent LateBy after the effect.
	Late   float64       `json:"late"`
	LateBy time.Duration `json:"lateByNanos"`
}

// Stats counts calls and their effects.
type Stats struct {
	Requests int `json:"requests"`
	Refused  int `json:"refused"`
	// Effects counts calls that took effect.
	Effects int `json:"effects"`
	// RepeatedEffects counts effects of calls that are not idempotent and had already taken effect.
	RepeatedEffects int `json:"repeatedEffects"`
	// CallerKeysSeen counts calls with one of the keys given to WatchCallerKeys in a header or the URL.
	CallerKeysSeen int `json:"callerKeysSeen"`
	// WorkAfterLeaving counts calls that arrived after the grace period given to SetLeaveGrace.
	WorkAfterLeaving int `json:"workAfterLeaving"`
}

// Response is the body of each complete response.
type Response struct {
	RequestID    ident.RequestID      `json:"requestId"`
	Organisation ident.OrganisationID `json:"organisation"`
	Method       string               `json:"method"`
	Path         string               `json:"path"`
	Query        string               `json:"query"`
	// EffectCount is how often the call has taken effect, this time included.
	EffectCount int `json:"run"`
	// Body is the body of the request.
	Body string `json:"body"`
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Stats returns the counters.
func (s *Service) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Runs returns how often the call with the request id took effect.
func (s *Service) Runs(id ident.RequestID) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.effectCounts[id]
}

// WatchCallerKeys sets the callers' keys that must never reach an upstream; Stats counts calls that carry one.
func (s *Service) WatchCallerKeys(keys []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callerKeys = keys
}

// SetLeaveGrace makes calls that arrive after the grace period count as WorkAfterLeaving.
func (s *Service) SetLeaveGrace(grace time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaveDeadline = time.Now().Add(grace)
}

// Start listens on Address and serves until Close.
func (s *Service) Start(ctx context.Context) error { return s.Listen(ctx, s.Handler()) }

// Handler serves the calls, and /standin/stats and /standin/control for tests.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/", s.serve)
	mux.HandleFunc("GET /standin/stats", func(w http.ResponseWriter, _ *http.Request) {
		httpd.WriteJSON(w, http.StatusOK, s.Stats())
	})
	mux.HandleFunc("POST /standin/control", httpd.Decode(s.Apply))
	return mux
}

// Control is the body of POST /standin/control. Absent fields change nothing.
type Control struct {
	Faults     *Faults  `json:"faults,omitempty"`
	LeaveMs    *int64   `json:"leaveMs,omitempty"`
	CallerKeys []string `json:"callerKeys,omitempty"`
}

// Apply applies a control message.
func (s *Service) Apply(c Control) {
	if c.Faults != nil {
		s.SetFaults(*c.Faults)
	}
	if c.LeaveMs != nil {
		s.SetLeaveGrace(time.Duration(*c.LeaveMs) * time.Millisecond)
	}
	if c.CallerKeys != nil {
		s.WatchCallerKeys(c.CallerKeys)
	}
}

// callFaults holds the faults that one call meets.
type callFaults struct {
	delay, lateBy                                                      time.Duration
	refused, lostBefore, lostAfter, serverError, truncated, mismatched bool
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id := ident.RequestID(r.Header.Get("X-Request-Id"))
	f := s.drawFaults(r)
	sleep(r.Context(), f.delay)
	w.Header().Set("X-Request-Id", string(id))
	if f.refused {
		w.Header().Set("X-Not-Run", "true")
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if f.lostBefore {
		httpd.Abort()
	}
	effectCount := s.recordEffect(r.Method, id)
	sleep(r.Context(), f.lateBy)
	if f.lostAfter {
		httpd.Abort()
	}
	if f.serverError {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if f.mismatched {
		w.Header().Set("X-Request-Id", string(id)+"-other")
	}
	if f.truncated {
		w.Header().Set("Content-Length", "1000")
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		httpd.Abort()
	}
	httpd.WriteJSON(w, http.StatusOK, Response{
		RequestID:    id,
		Organisation: ident.OrganisationID(r.Header.Get("X-Organisation-Id")),
		Method:       r.Method,
		Path:         r.URL.Path,
		Query:        r.URL.RawQuery,
		EffectCount:  effectCount,
		Body:         string(body),
	})
}

// drawFaults counts a call and draws its faults.
func (s *Service) drawFaults(r *http.Request) callFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.initOnce.Do(func() {
		s.random = rand.New(rand.NewPCG(s.Seed, s.Seed))
		s.effectCounts = map[ident.RequestID]int{}
	})
	s.stats.Requests++
	if slices.ContainsFunc(s.callerKeys, func(key string) bool { return httpd.ContainsSecret(r, key) }) {
		s.stats.CallerKeysSeen++
	}
	if !s.leaveDeadline.IsZero() && time.Now().After(s.leaveDeadline) {
		s.stats.WorkAfterLeaving++
	}
	f := callFaults{
		delay:       s.faults.Delay,
		refused:     s.chance(s.faults.Refused),
		lostBefore:  s.chance(s.faults.LostBefore),
		lostAfter:   s.chance(s.faults.LostAfter),
		serverError: s.chance(s.faults.Errors),
		truncated:   s.chance(s.faults.Truncated),
		mismatched:  s.chance(s.faults.Mismatched),
	}
	if f.refused {
		s.stats.Refused++
	}
	if s.chance(s.faults.Late) {
		f.lateBy = s.faults.LateBy
	}
	return f
}

// recordEffect counts the effect of a call and returns how often the call has taken effect.
func (s *Service) recordEffect(method string, id ident.RequestID) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.effectCounts[id]++
	s.stats.Effects++
	if s.effectCounts[id] > 1 && !idempotent(method) {
		s.stats.RepeatedEffects++
	}
	return s.effectCounts[id]
}

// chance returns true with the given probability; s.mu is held.
func (s *Service) chance(share float64) bool {
	return share > 0 && s.random.Float64() < share
}

func idempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodPut, http.MethodDelete, http.MethodOptions:
		return true
	default:
		return false
	}
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
