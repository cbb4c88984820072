// Package orders schedules the loading and unloading of weights that moves between model versions need, from the
// replicated configuration and the engines' last reports. Only the daemon that owns a move gives orders for it. Few
// engines load at a time, as the weight store is rate-limited, and enough engines are left to serve.
//
// Every order carries a fencing token: the offset of the record that made the daemon the owner. Engines that check the
// token reject an older owner. For engines that ignore it, a new owner waits until the lease of the previous one and its
// longest order must have ended. No request of a caller leads to an order; CheckRoute keeps plain routes away from
// engines.
package orders

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/coordination/moves"
	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/scope"
)

// Settings limit the loading of weights.
type Settings struct {
	// MaxConcurrentLoads is the number of engines that may load weights at the same time; 0 means the default, two.
	MaxConcurrentLoads int `json:"loadsTogether,omitempty" validate:"min=0,max=64"`
}

// DefaultSettings returns the settings with all defaults filled in.
func DefaultSettings() Settings { return Settings{MaxConcurrentLoads: defaultMaxConcurrentLoads} }

// Report is the last load report of an engine.
type Report struct {
	// Versions are the versions that the engine has loaded.
	Versions []ident.VersionID
	// Age is the age of the report. OutstandingRequests counts the engine's running and waiting requests.
	Age                 time.Duration
	OutstandingRequests int
}

// OrderError means that an order to an engine failed. The engine may still have carried it out, for example if its
// response was lost.
type OrderError struct {
	Upstream ident.UpstreamID
	Kind     extern.OrderKind
	Version  ident.VersionID
	Err      error
}

func (e *OrderError) Error() string {
	return fmt.Sprintf("order %s of version %s to %s: %v", e.Kind, e.Version, e.Upstream, e.Err)
}

func (e *OrderError) Unwrap() error { return e.Err }

// Scheduler gives engines the load and unload orders that moves need. All daemons run it, but only the owner of a move
// gives orders for it. Set the exported fields before Run.
type Scheduler struct {
	// Daemon is the ID of this daemon.
	Daemon ident.DaemonID
	// State returns the current configuration.
	State func() *config.State
	// HoldsLease reports whether this daemon holds its serving lease.
	HoldsLease func() bool
	// LastReport returns the last report of an engine, and false if there is none or the engine counts as dead.
	LastReport func(ident.UpstreamID) (Report, bool)
	// Engine sends the orders.
	Engine extern.Engine
	// Splitter knows which versions serve traffic, which moves are stopped and which had no owner before.
	Splitter *moves.Splitter
	// Settings returns the limits in use; nil means the defaults.
	Settings func() Settings
	// MinServingEngines returns how many engines of a model must go on serving while others load; nil means two thirds
	// of the live ones.
	MinServingEngines func(ident.ModelID) int

	// mu guards the fields down to fencedEpochs.
	mu sync.Mutex
	// running holds the targets of the orders in flight.
	running map[target]bool
	// retries holds the earliest time of the next order for a target.
	retries     map[target]*retry
	ownerEpochs map[ident.MoveID]observedEpoch
	unusedSince map[target]time.Time
	// loadTime is the duration of the last successful load; 0 before the first.
	loadTime time.Duration
	// fencedEpochs holds, for each move, the last epoch in which an engine rejected this daemon's fencing token.
	fencedEpochs map[ident.MoveID]ident.Offset
	executing    sync.WaitGroup
	lifetime     scope.Scope
}

// target identifies a version at an engine.
type target struct {
	upstream ident.UpstreamID
	version  ident.VersionID
}

type retry struct {
	backoff   *backoff.ExponentialBackOff
	notBefore time.Time
}

// observedEpoch is the epoch of a move's owner and the time when this daemon first saw it.
type observedEpoch struct {
	epoch       ident.Offset
	firstSeenAt time.Time
}

// Run gives orders until ctx ends or Close is called, and returns once the orders in flight have ended.
func (s *Scheduler) Run(ctx context.Context) {
	ctx, leave := s.lifetime.Enter(ctx)
	defer leave()
	s.initState()
	defer s.executing.Wait()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		s.tick(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *Scheduler) initState() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running = map[target]bool{}
	s.retries = map[target]*retry{}
	s.ownerEpochs = map[ident.MoveID]observedEpoch{}
	s.unusedSince = map[target]time.Time{}
	s.fencedEpochs = map[ident.MoveID]ident.Offset{}
}

// Close cancels Run and waits for it and for the orders in flight.
func (s *Scheduler) Close() { s.lifetime.Close() }

// tick starts the orders that are due, if this daemon holds its serving lease.
func (s *Scheduler) tick(ctx context.Context) {
	state, now := s.State(), time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range state.Moves() {
		s.trackOwnerEpoch(state, m, now)
	}
	if !s.HoldsLease() {
		return
	}
	for _, j := range s.plan(state, now) {
		s.running[j.target] = true
		s.executing.Go(func() { s.execute(ctx, j) })
	}
}

// trackOwnerEpoch records when the current epoch of a move's owner was first seen.
func (s *Scheduler) trackOwnerEpoch(state *config.State, m *config.Move, now time.Time) {
	epoch := moves.OwnerEpoch(state, m)
	seen, known := s.ownerEpochs[m.ID]
	if !known || seen.epoch != epoch {
		s.ownerEpochs[m.ID] = observedEpoch{epoch, now}
	}
}

// job is one order to give.
type job struct {
	target
	move    ident.MoveID
	baseURL string
	order   extern.EngineOrder
}

// execute sends the order of a job and records its outcome.
func (s *Scheduler) execute(ctx context.Context, j job) {
	startedAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, OrderTimeout)
	defer cancel()
	err := s.Engine.Order(ctx, j.baseURL, j.order)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, j.target)
	if err == nil {
		s.recordSuccess(j, time.Since(startedAt))
		return
	}
	s.recordFailure(j, &OrderError{Upstream: j.upstream, Kind: j.order.Kind, Version: j.version, Err: err})
}

func (s *Scheduler) recordSuccess(j job, took time.Duration) {
	if j.order.Kind == extern.OrderLoadVersion {
		s.loadTime = took
	}
	// A report that is newer than the order shows whether it must be repeated.
	s.retries[j.target] = &retry{notBefore: time.Now().Add(repeatDelay)}
	klog.InfoS("Order carried out", "upstream", j.upstream, "kind", j.order.Kind, "version", j.version, "took", took)
}

func (s *Scheduler) recordFailure(j job, err *OrderError) {
	var up *extern.UpstreamError
	if errors.As(err, &up) && up.Kind == extern.UpstreamFenced {
		s.fencedEpochs[j.move] = j.order.FencingToken
	}
	r := s.retries[j.target]
	if r == nil || r.backoff == nil {
		r = &retry{backoff: backoff.NewExponentialBackOff()}
		r.backoff.InitialInterval, r.backoff.MaxInterval = retryInitialInterval, retryMaxInterval
		s.retries[j.target] = r
	}
	r.notBefore = time.Now().Add(r.backoff.NextBackOff())
	klog.ErrorS(err, "Order failed", "upstream", j.upstream, "version", j.version)
}

// mayOrder reports whether this daemon may give an engine orders for a move. It must own the move and not have been
// fenced in the present epoch. An engine that ignores fencing tokens gets no orders until those of a previous owner
// must have ended.
func (s *Scheduler) mayOrder(state *config.State, m *config.Move, up *config.Upstream, now time.Time) bool {
	seen := s.ownerEpochs[m.ID]
	if m.Owner != s.Daemon || s.fencedEpochs[m.ID] == moves.OwnerEpoch(state, m) {
		return false
	}
	return up.ChecksFencing || s.Splitter.HasFirstOwner(m.ID) || now.Sub(seen.firstSeenAt) >= leaseTTL+OrderTimeout
}

// HasCapacity reports whether enough engines have loaded the new version of a move to serve a share of the traffic.
func (s *Scheduler) HasCapacity(m *config.Move, share ident.Permille) bool {
	engines := s.liveEngines(s.State(), m.Model)
	loaded := 0
	for _, e := range engines {
		if e.hasLoaded(m.To) {
			loaded++
		}
	}
	needed := (len(engines)*int(share) + fullSharePermille - 1) / fullSharePermille
	return loaded > 0 && loaded >= min(len(engines), max(needed, minLoadedEngines))
}

// RemainingLoadTime estimates how long the engines still need to load the new version of a move, from the duration of
// the last load.
func (s *Scheduler) RemainingLoadTime(m *config.Move) time.Duration {
	missing := 0
	for _, e := range s.liveEngines(s.State(), m.Model) {
		if !e.hasLoaded(m.To) {
			missing++
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	perLoad := s.loadTime
	if perLoad == 0 {
		perLoad = defaultLoadTime
	}
	rounds := (missing + s.maxConcurrentLoads() - 1) / s.maxConcurrentLoads()
	return time.Duration(rounds) * perLoad
}

func (s *Scheduler) maxConcurrentLoads() int {
	if s.Settings != nil && s.Settings().MaxConcurrentLoads > 0 {
		return s.Settings().MaxConcurrentLoads
	}
	return defaultMaxConcurrentLoads
}

// InFlight returns the version of the order in flight at each engine that has one.
func (s *Scheduler) InFlight() map[ident.UpstreamID]ident.VersionID {
	s.mu.Lock()
	defer s.mu.Unlock()
	running := map[ident.UpstreamID]ident.VersionID{}
	for t := range maps.Keys(s.running) {
		running[t.upstream] = t.version
	}
	return running
}
