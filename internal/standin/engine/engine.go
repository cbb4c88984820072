// Package engine is a stand-in for a model engine: continuous batching, a prefix cache of limited size, priorities,
// resumption, orders and the faults that real engines show. The engine itself has no I/O and runs on the runtime's
// clock; Handler and Start serve it over HTTP.
package engine

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/standin/events"
	"github.com/gooseberryway/gooseberryway/internal/standin/httpd"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// BlockStore is the KV cache store as an engine uses it.
type BlockStore interface {
	// LookupPrefix returns the number of leading blocks of the chain that the store has.
	LookupPrefix(ctx context.Context, chain []ident.BlockHash) int
	// Export gives blocks to the store.
	Export(ctx context.Context, blocks []ident.BlockHash)
}

// WeightLoader is the weight store as an engine uses it.
type WeightLoader interface {
	// Load returns when the weights have been loaded or ctx ends.
	Load(ctx context.Context, version ident.VersionID) error
}

// Engine is the stand-in. Set Settings, Store and Weights before Run or Start; the methods work before, too,
// but nothing is computed until then.
type Engine struct {
	Settings
	// Store is the KV cache store; nil is none.
	Store BlockStore
	// Weights is where versions are loaded from; nil loads in Settings.LoadVersion.
	Weights WeightLoader
	// Address is where Start listens; empty is a free loopback port.
	Address string

	once        sync.Once
	mu          sync.Mutex
	incarnation ident.Incarnation
	upAt        time.Time
	versions    map[ident.VersionID]*loadedVersion
	fencing     ident.Offset
	role        string
	adapters    map[string]bool
	cache       *cache
	waiting     []*job
	running     []*job
	pieces      []piece
	arrivals    uint64
	faults      Faults
	behaviours  map[ident.VersionID]activeBehaviour
	random      *rand.Rand
	stats       Stats
	runs        map[ident.RequestID]int
	callerKeys  []string
	leftAt      time.Time
	exports     chan []ident.BlockHash
	wake        chan struct{}
	feed        events.Feed

	server  *httpd.Server
	cancel  context.CancelFunc
	started sync.WaitGroup
}

type loadedVersion struct{}

// init fills in the defaults; all methods call it first.
func (e *Engine) init() {
	e.once.Do(func() {
		e.fill()
		e.incarnation = e.Incarnation
		e.versions = map[ident.VersionID]*loadedVersion{}
		for _, v := range e.Versions {
			e.versions[v] = &loadedVersion{}
		}
		e.adapters = map[string]bool{}
		e.cache = newCache(e.CacheBlocks)
		e.behaviours = map[ident.VersionID]activeBehaviour{}
		e.random = rand.New(rand.NewPCG(e.Seed, e.Seed))
		e.runs = map[ident.RequestID]int{}
		e.exports = make(chan []ident.BlockHash, exportQueue)
		e.wake = make(chan struct{}, 1)
		e.feed.Lag = e.scaled(e.EventLag)
		e.feed.LossRate = e.EventGaps
		e.feed.Seed = e.Seed
		e.feed.CachedBlocks = e.CachedBlocks
		e.feed.Reset(e.incarnation)
	})
}

// Run computes until ctx ends. It returns after everything that it started has ended.
func (e *Engine) Run(ctx context.Context) {
	e.init()
	var wg sync.WaitGroup
	wg.Go(func() { e.schedule(ctx) })
	wg.Go(func() { e.report(ctx) })
	if e.Store != nil {
		wg.Go(func() { e.export(ctx) })
	}
	wg.Wait()
}

// Watch delivers cache events and load reports after the position until ctx ends.
func (e *Engine) Watch(ctx context.Context, from extern.EnginePosition, deliver func(any) error) error {
	e.init()
	return e.feed.Watch(ctx, from, deliver)
}

// CachedBlocks returns every block that the cache holds, in no order.
func (e *Engine) CachedBlocks() []ident.BlockHash {
	e.init()
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.all()
}

// CachedPrefix returns the number of leading blocks of the chain that the cache holds.
func (e *Engine) CachedPrefix(chain []ident.BlockHash) int {
	e.init()
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.held(chain)
}

// report publishes load reports, drops idle blocks and ends the downtime of a crash.
func (e *Engine) report(ctx context.Context) {
	ticker := time.NewTicker(max(e.scaled(e.ReportInterval), time.Millisecond))
	defer ticker.Stop()
	for {
		e.reportOnce()
		e.comeBack(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (e *Engine) reportOnce() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isDown() {
		return
	}
	e.feed.Publish(nil, e.evict())
	load := extern.LoadReport{WaitingRequests: len(e.waiting), RunningRequests: len(e.running)}
	for _, j := range e.waiting {
		load.QueuedTokens += j.prompt
	}
	for _, j := range e.running {
		load.QueuedTokens += j.prompt - j.processed
	}
	for v := range e.versions {
		load.Versions = append(load.Versions, v)
	}
	e.feed.Report(load)
}

// comeBack listens again after a crash.
func (e *Engine) comeBack(ctx context.Context) {
	e.mu.Lock()
	down := e.isDown()
	e.mu.Unlock()
	if down || e.server == nil || ctx.Err() != nil {
		return
	}
	if err := e.server.Start(ctx); err != nil {
		klog.ErrorS(err, "Stand-in engine can't listen again", "upstream", e.ID)
	}
}

// evict drops blocks from the cache and returns them; e.mu is held.
func (e *Engine) evict() []ident.BlockHash {
	var idleSince time.Time
	if e.IdleTTL > 0 {
		idleSince = time.Now().Add(-e.scaled(e.IdleTTL))
	}
	return e.cache.evict(idleSince)
}

// isDown reports whether the engine has crashed and not come back yet; e.mu is held.
func (e *Engine) isDown() bool {
	return time.Now().Before(e.upAt)
}

func (e *Engine) export(ctx context.Context) {
	for {
		select {
		case blocks := <-e.exports:
			e.Store.Export(ctx, blocks)
		case <-ctx.Done():
			return
		}
	}
}

// poke wakes the scheduler.
func (e *Engine) poke() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}
