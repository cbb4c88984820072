// Package orders schedules what engines are told to load and unload: few at a time, as the weight store is
// rate-limited, with enough engines left to serve, and only by the daemon that owns the move.
//
// Every order carries the offset of the record that made the daemon the owner. Engines that check this fencing number
// refuse an older owner. For engines that ignore it, a new owner waits until the older one's lease and its longest
// order have run out. Nothing that a caller sends leads to an order; CheckRoute keeps plain routes away from engines.
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

// Settings limit the loads.
type Settings struct {
	// MaxConcurrentLoads is the number of engines that may load weights at the same time; 0 is two.
	MaxConcurrentLoads int `json:"loadsTogether,omitempty" validate:"min=0,max=64"`
}

// DefaultSettings returns the settings with every default.
func DefaultSettings() Settings { return Settings{MaxConcurrentLoads: defaultTogether} }

// Report is what an engine last reported.
type Report struct {
	Versions []ident.VersionID
	// Age is the age of the report; Busy is the number of its requests, running or waiting.
	Age                 time.Duration
	OutstandingRequests int
}

// OrderError says that an engine has not carried out an order.
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

// Scheduler gives engines the orders that moves need. All daemons run it; only owners of moves give orders.
type Scheduler struct {
	Daemon ident.DaemonID
	State  func() *config.State
	// HoldsLease reports whether this daemon holds its serving lease.
	HoldsLease func() bool
	// LastReport returns what an engine last reported, false if it is unknown or counts as dead.
	LastReport func(ident.UpstreamID) (Report, bool)
	Engine     extern.Engine
	// Splitter tells which versions serve and which moves had no owner before.
	Splitter *moves.Splitter
	// Settings returns the limits in use; nil means the defaults.
	Settings func() Settings
	// MinServingEngines returns how many engines of a model must go on serving while others load; nil means two thirds.
	MinServingEngines func(ident.ModelID) int

	mu       sync.Mutex
	running  map[target]bool
	retries  map[target]*retry
	epochs   map[ident.MoveID]epochSeen
	idle     map[target]time.Time
	loadTime time.Duration
	fenced   map[ident.MoveID]ident.Offset
	started  sync.WaitGroup
	life     scope.Scope
}

// target is a version at an engine.
type target struct {
	upstream ident.UpstreamID
	version  ident.VersionID
}

type retry struct {
	backoff *backoff.ExponentialBackOff
	at      time.Time
}

// epochSeen is when this daemon first saw the epoch of a move's owner.
type epochSeen struct {
	epoch ident.Offset
	at    time.Time
}

// Run gives orders until ctx ends or Close is called.
func (o *Scheduler) Run(ctx context.Context) {
	ctx, leave := o.life.Enter(ctx)
	defer leave()
	o.start()
	defer o.started.Wait()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		o.tick(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (o *Scheduler) start() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.running = map[target]bool{}
	o.retries = map[target]*retry{}
	o.epochs = map[ident.MoveID]epochSeen{}
	o.idle = map[target]time.Time{}
	o.fenced = map[ident.MoveID]ident.Offset{}
}

// Close ends Run and waits for it and for the orders that are under way.
func (o *Scheduler) Close() { o.life.Close() }

// tick starts the orders that are due.
func (o *Scheduler) tick(ctx context.Context) {
	state, now := o.State(), time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, m := range state.Moves() {
		o.follow(state, m, now)
	}
	if !o.HoldsLease() {
		return
	}
	for _, j := range o.plan(state, now) {
		o.running[j.target] = true
		o.started.Go(func() { o.give(ctx, j) })
	}
}

func (o *Scheduler) follow(state *config.State, m *config.Move, now time.Time) {
	epoch := moves.OwnerEpoch(state, m)
	seen, known := o.epochs[m.ID]
	if !known || seen.epoch != epoch {
		o.epochs[m.ID] = epochSeen{epoch, now}
	}
}

// job is one order to give.
type job struct {
	target
	move    ident.MoveID
	baseURL string
	order   extern.EngineOrder
}

// give carries out a job and notes how it went.
func (o *Scheduler) give(ctx context.Context, j job) {
	begin := time.Now()
	ctx, cancel := context.WithTimeout(ctx, OrderTimeout)
	defer cancel()
	err := o.Engine.Order(ctx, j.baseURL, j.order)
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.running, j.target)
	if err == nil {
		o.succeeded(j, time.Since(begin))
		return
	}
	o.failed(j, &OrderError{Upstream: j.upstream, Kind: j.order.Kind, Version: j.version, Err: err})
}

func (o *Scheduler) succeeded(j job, took time.Duration) {
	if j.order.Kind == extern.OrderLoadVersion {
		o.loadTime = took
	}
	// The engine's next report tells whether the order is still needed.
	o.retries[j.target] = &retry{at: time.Now().Add(settleTime)}
	klog.InfoS("Order carried out", "upstream", j.upstream, "kind", j.order.Kind, "version", j.version, "took", took)
}

func (o *Scheduler) failed(j job, err *OrderError) {
	var up *extern.UpstreamError
	if errors.As(err, &up) && up.Kind == extern.UpstreamFenced {
		o.fenced[j.move] = j.order.FencingToken
	}
	r := o.retries[j.target]
	if r == nil || r.backoff == nil {
		r = &retry{backoff: backoff.NewExponentialBackOff()}
		r.backoff.InitialInterval, r.backoff.MaxInterval = retryInitial, retryMax
		o.retries[j.target] = r
	}
	r.at = time.Now().Add(r.backoff.NextBackOff())
	klog.ErrorS(err, "Order failed", "upstream", j.upstream, "version", j.version)
}

// mayOrder reports whether this daemon may order an engine on behalf of a move.
func (o *Scheduler) mayOrder(state *config.State, m *config.Move, up *config.Upstream, now time.Time) bool {
	seen := o.epochs[m.ID]
	if m.Owner != o.Daemon || o.fenced[m.ID] == moves.OwnerEpoch(state, m) {
		return false
	}
	return up.ChecksFencing || o.Splitter.HasFirstOwner(m.ID) || now.Sub(seen.at) >= leaseTTL+OrderTimeout
}

// HasCapacity reports whether enough engines have loaded the new version of a move for a share.
func (o *Scheduler) HasCapacity(m *config.Move, share ident.Permille) bool {
	engines := o.engines(o.State(), m.Model)
	loaded := 0
	for _, e := range engines {
		if e.has(m.To) {
			loaded++
		}
	}
	need := (len(engines)*int(share) + wholePermille - 1) / wholePermille
	return loaded > 0 && loaded >= min(len(engines), max(need, spareEngines))
}

// RemainingLoadTime returns how long the engines still need to load the new version of a move.
func (o *Scheduler) RemainingLoadTime(m *config.Move) time.Duration {
	missing := 0
	for _, e := range o.engines(o.State(), m.Model) {
		if !e.has(m.To) {
			missing++
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	each := o.loadTime
	if each == 0 {
		each = firstLoadTime
	}
	rounds := (missing + o.together() - 1) / o.together()
	return time.Duration(rounds) * each
}

func (o *Scheduler) together() int {
	if o.Settings != nil && o.Settings().MaxConcurrentLoads > 0 {
		return o.Settings().MaxConcurrentLoads
	}
	return defaultTogether
}

// InFlight returns the orders that are under way, by engine.
func (o *Scheduler) InFlight() map[ident.UpstreamID]ident.VersionID {
	o.mu.Lock()
	defer o.mu.Unlock()
	running := map[ident.UpstreamID]ident.VersionID{}
	for t := range maps.Keys(o.running) {
		running[t.upstream] = t.version
	}
	return running
}
