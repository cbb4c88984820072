// Package engine is a stand-in for a model engine. It simulates continuous batching, chunked prefill, an LRU prefix cache
// with cache events, request priorities, resumption, load orders with fencing tokens, and the faults of real engines.
// Answers are deterministic functions of the request, so that tests can verify them. The simulation itself does no
// network I/O and uses the runtime's clock, so it runs under testing/synctest; Handler and Start serve it over HTTP.
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

// BlockStore is the part of the KV cache store that an engine uses.
type BlockStore interface {
	// LookupPrefix returns the number of leading blocks of the chain that the store has.
	LookupPrefix(ctx context.Context, chain []ident.BlockHash) int
	// Export copies blocks to the store. Failures are not reported.
	Export(ctx context.Context, blocks []ident.BlockHash)
}

// WeightLoader is the part of the weight store that an engine uses.
type WeightLoader interface {
	// Load returns when the weights of the version have been loaded, or with an error, which is that of ctx if it ends first.
	Load(ctx context.Context, version ident.VersionID) error
}

// Engine is the stand-in. Set the exported fields before the first method call. Requests can be submitted before Run or
// Start, but are not processed until then. The methods are safe for concurrent use.
type Engine struct {
	Settings
	// Store is the KV cache store; with nil, the engine imports and exports no blocks.
	Store BlockStore
	// Weights is the store from which versions are loaded; with nil, loading takes Settings.LoadTime.
	Weights WeightLoader
	// Address is the host and port on which Start listens; empty selects a free loopback port.
	Address string

	once            sync.Once
	mu              sync.Mutex
	incarnation     ident.Incarnation
	downUntil       time.Time
	versions        map[ident.VersionID]*loadedVersion
	fencingToken    ident.Offset
	role            string
	adapters        map[string]bool
	cache           *cache
	waiting         []*job
	running         []*job
	completedBlocks []completedBlock
	arrivalCount    uint64
	faults          Faults
	behaviours      map[ident.VersionID]activeBehaviour
	random          *rand.Rand
	stats           Stats
	runCounts       map[ident.RequestID]int
	callerKeys      []string
	leaveAt         time.Time
	exportQueue     chan []ident.BlockHash
	wake            chan struct{}
	feed            events.Feed

	server     *httpd.Server
	cancel     context.CancelFunc
	background sync.WaitGroup
}

type loadedVersion struct{}

// init sets the defaults and creates the internal state once. Exported methods call it first.
func (e *Engine) init() {
	e.once.Do(func() {
		e.fillDefaults()
		e.incarnation = e.Incarnation
		e.versions = map[ident.VersionID]*loadedVersion{}
		for _, v := range e.Versions {
			e.versions[v] = &loadedVersion{}
		}
		e.adapters = map[string]bool{}
		e.cache = newCache(e.CacheBlocks)
		e.behaviours = map[ident.VersionID]activeBehaviour{}
		e.random = rand.New(rand.NewPCG(e.Seed, e.Seed))
		e.runCounts = map[ident.RequestID]int{}
		e.exportQueue = make(chan []ident.BlockHash, exportQueueLength)
		e.wake = make(chan struct{}, 1)
		e.feed.Lag = e.scaled(e.EventLag)
		e.feed.LossRate = e.EventGaps
		e.feed.Seed = e.Seed
		e.feed.CachedBlocks = e.CachedBlocks
		e.feed.Reset(e.incarnation)
	})
}

// Run processes requests, publishes load reports and exports blocks until ctx ends. It returns once all its goroutines
// have ended.
func (e *Engine) Run(ctx context.Context) {
	e.init()
	var wg sync.WaitGroup
	wg.Go(func() { e.schedule(ctx) })
	wg.Go(func() { e.publishReports(ctx) })
	if e.Store != nil {
		wg.Go(func() { e.exportBlocks(ctx) })
	}
	wg.Wait()
}

// Watch delivers the cache events after the position, and load reports, until ctx ends, deliver fails or the engine
// crashes (*events.ResetError).
func (e *Engine) Watch(ctx context.Context, from extern.EnginePosition, deliver func(any) error) error {
	e.init()
	return e.feed.Watch(ctx, from, deliver)
}

// CachedBlocks returns the hashes of all blocks in the cache, in no particular order.
func (e *Engine) CachedBlocks() []ident.BlockHash {
	e.init()
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.hashes()
}

// CachedPrefix returns the number of leading blocks of the chain that are in the cache.
func (e *Engine) CachedPrefix(chain []ident.BlockHash) int {
	e.init()
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.cachedPrefix(chain)
}

// publishReports evicts idle blocks and publishes a load report at each ReportInterval, and restarts the server when the
// downtime after a crash is over.
func (e *Engine) publishReports(ctx context.Context) {
	ticker := time.NewTicker(max(e.scaled(e.ReportInterval), time.Millisecond))
	defer ticker.Stop()
	for {
		e.publishReport()
		e.restartServer(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (e *Engine) publishReport() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isDown() {
		return
	}
	e.feed.Publish(nil, e.evict())
	load := extern.LoadReport{WaitingRequests: len(e.waiting), RunningRequests: len(e.running)}
	for _, j := range e.waiting {
		load.QueuedTokens += j.promptTokens
	}
	for _, j := range e.running {
		load.QueuedTokens += j.promptTokens - j.processedTokens
	}
	for v := range e.versions {
		load.Versions = append(load.Versions, v)
	}
	e.feed.Report(load)
}

// restartServer listens again once the downtime after a crash is over. It does nothing while the server is running.
func (e *Engine) restartServer(ctx context.Context) {
	e.mu.Lock()
	down := e.isDown()
	e.mu.Unlock()
	if down || e.server == nil || ctx.Err() != nil {
		return
	}
	if err := e.server.Start(ctx); err != nil {
		klog.ErrorS(err, "Stand-in engine failed to listen again after its simulated crash", "upstream", e.ID)
	}
}

// evict removes blocks beyond the capacity or idle for IdleTTL and returns their hashes. The caller holds e.mu.
func (e *Engine) evict() []ident.BlockHash {
	var idleSince time.Time
	if e.IdleTTL > 0 {
		idleSince = time.Now().Add(-e.scaled(e.IdleTTL))
	}
	return e.cache.evict(idleSince)
}

// isDown reports whether the downtime of a crash has not passed yet. The caller holds e.mu.
func (e *Engine) isDown() bool {
	return time.Now().Before(e.downUntil)
}

func (e *Engine) exportBlocks(ctx context.Context) {
	for {
		select {
		case blocks := <-e.exportQueue:
			e.Store.Export(ctx, blocks)
		case <-ctx.Done():
			return
		}
	}
}

// wakeScheduler makes an idle scheduler plan its next step. It never blocks.
func (e *Engine) wakeScheduler() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}
