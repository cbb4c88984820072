// Package plain is a stand-in for the plain services beside the engines. It counts how often each call had its
// effect, and shows faults before and after the effect.
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

// Service is the stand-in. Any path takes any method; GET, HEAD, PUT, DELETE and OPTIONS are idempotent.
type Service struct {
	httpd.Base
	// Seed makes faults repeatable.
	Seed uint64

	once       sync.Once
	mu         sync.Mutex
	faults     Faults
	random     *rand.Rand
	runs       map[ident.RequestID]int
	stats      Stats
	callerKeys []string
	leftAt     time.Time
}

// Faults are the faults that the service shows. Shares are from 0 to 1.
type Faults struct {
	// Delay is added before the effect, which comes even if the caller has gone.
	Delay time.Duration `json:"delayNanos"`
	// Refused is the share of calls that are answered 503 and said not to have run.
	Refused float64 `json:"refused"`
	// LostBefore is the share of calls whose connection drops before the effect, LostAfter after it.
	LostBefore float64 `json:"lostBefore"`
	LostAfter  float64 `json:"lostAfter"`
	// Errors is the share of calls that are answered 500 after the effect.
	Errors float64 `json:"errors"`
	// Truncated is the share of answers that end in the middle.
	Truncated float64 `json:"truncated"`
	// Mismatched is the share of answers that carry another call's id.
	Mismatched float64 `json:"crossed"`
	// Late is the share of calls that are answered LateBy after the effect.
	Late   float64       `json:"late"`
	LateBy time.Duration `json:"lateByNanos"`
}

// Stats counts what the service has seen.
type Stats struct {
	Requests int `json:"requests"`
	Refused  int `json:"refused"`
	// Effects counts calls that had their effect.
	Effects int `json:"effects"`
	// RepeatedEffects counts effects of a call that is not idempotent and had its effect before.
	RepeatedEffects int `json:"repeatedEffects"`
	// CallerKeysSeen counts calls that showed one of the keys given to WatchCallerKeys.
	CallerKeysSeen int `json:"callerKeysSeen"`
	// WorkAfterLeaving counts calls taken after the time given to Leave.
	WorkAfterLeaving int `json:"workAfterLeaving"`
}

// Response is the body of each answer.
type Response struct {
	RequestID    ident.RequestID      `json:"requestId"`
	Organisation ident.OrganisationID `json:"organisation"`
	Method       string               `json:"method"`
	Path         string               `json:"path"`
	Query        string               `json:"query"`
	// Run is how often the call has had its effect, this one included.
	Run int `json:"run"`
	// Body is the call's body.
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

// Runs returns how often a call had its effect.
func (s *Service) Runs(id ident.RequestID) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// WatchCallerKeys sets the callers' keys that must never be seen here.
func (s *Service) WatchCallerKeys(keys []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callerKeys = keys
}

// Leave makes calls that come later than grace count as work after leaving.
func (s *Service) Leave(grace time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leftAt = time.Now().Add(grace)
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

// Control is the body of POST /standin/control. Fields that are absent change nothing.
type Control struct {
	Faults     *Faults  `json:"faults,omitempty"`
	LeaveMs    *int64   `json:"leaveMs,omitempty"`
	CallerKeys []string `json:"callerKeys,omitempty"`
}

// Apply carries out a control message.
func (s *Service) Apply(c Control) {
	if c.Faults != nil {
		s.SetFaults(*c.Faults)
	}
	if c.LeaveMs != nil {
		s.Leave(time.Duration(*c.LeaveMs) * time.Millisecond)
	}
	if c.CallerKeys != nil {
		s.WatchCallerKeys(c.CallerKeys)
	}
}

// fate is what becomes of one call.
type fate struct {
	delay, lateBy                                            time.Duration
	refused, lostBefore, lostAfter, failed, truncated, cross bool
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id := ident.RequestID(r.Header.Get("X-Request-Id"))
	f := s.arrive(r)
	wait(r.Context(), f.delay)
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
	run := s.effect(r.Method, id)
	wait(r.Context(), f.lateBy)
	if f.lostAfter {
		httpd.Abort()
	}
	if f.failed {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if f.cross {
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
		Run:          run,
		Body:         string(body),
	})
}

// arrive counts a call and decides its fate.
func (s *Service) arrive(r *http.Request) fate {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.once.Do(func() {
		s.random = rand.New(rand.NewPCG(s.Seed, s.Seed))
		s.runs = map[ident.RequestID]int{}
	})
	s.stats.Requests++
	if slices.ContainsFunc(s.callerKeys, func(key string) bool { return httpd.ContainsSecret(r, key) }) {
		s.stats.CallerKeysSeen++
	}
	if !s.leftAt.IsZero() && time.Now().After(s.leftAt) {
		s.stats.WorkAfterLeaving++
	}
	f := fate{
		delay:      s.faults.Delay,
		refused:    s.chance(s.faults.Refused),
		lostBefore: s.chance(s.faults.LostBefore),
		lostAfter:  s.chance(s.faults.LostAfter),
		failed:     s.chance(s.faults.Errors),
		truncated:  s.chance(s.faults.Truncated),
		cross:      s.chance(s.faults.Mismatched),
	}
	if f.refused {
		s.stats.Refused++
	}
	if s.chance(s.faults.Late) {
		f.lateBy = s.faults.LateBy
	}
	return f
}

// effect counts the effect of a call and returns how often it has had it.
func (s *Service) effect(method string, id ident.RequestID) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id]++
	s.stats.Effects++
	if s.runs[id] > 1 && !idempotent(method) {
		s.stats.RepeatedEffects++
	}
	return s.runs[id]
}

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

func wait(ctx context.Context, d time.Duration) {
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
