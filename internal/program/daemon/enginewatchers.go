package daemon

import (
	"context"
	"math/rand/v2"
	"sync"

	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/coordination/route"
	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/scope"
)

// engineWatchers follow the cache events and load reports of the configured engines, with one goroutine per engine.
type engineWatchers struct {
	engine extern.Engine
	router *route.Router

	mu      sync.Mutex
	running map[ident.UpstreamID]*engineWatcher
	wg      sync.WaitGroup
}

type engineWatcher struct {
	baseURL string
	cancel  context.CancelFunc
}

// update starts and stops watchers to match the upstreams. An engine whose base URL has changed gets a new watcher. Plain
// services have none.
func (ws *engineWatchers) update(ctx context.Context, upstreams map[ident.UpstreamID]*config.Upstream) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	if ws.running == nil {
		ws.running = map[ident.UpstreamID]*engineWatcher{}
	}
	for id, w := range ws.running {
		if up, ok := upstreams[id]; !ok || up.BaseURL != w.baseURL {
			w.cancel()
			delete(ws.running, id)
		}
	}
	for id, up := range upstreams {
		if up.Kind != config.UpstreamPlain && ws.running[id] == nil && ctx.Err() == nil {
			ws.start(ctx, id, up.BaseURL)
		}
	}
}

func (ws *engineWatchers) start(ctx context.Context, id ident.UpstreamID, baseURL string) {
	ctx, cancel := context.WithCancel(ctx)
	ws.running[id] = &engineWatcher{baseURL: baseURL, cancel: cancel}
	ws.wg.Go(func() { ws.watch(ctx, id, baseURL) })
}

// watch follows the event stream of one engine until ctx ends. After a broken connection it resumes at the last position
// with a jittered delay; after a gap in the events it reconnects at once.
func (ws *engineWatchers) watch(ctx context.Context, id ident.UpstreamID, baseURL string) {
	for ctx.Err() == nil {
		connCtx, reconnect := context.WithCancel(ctx)
		sink := &route.EventSink{Router: ws.router, Upstream: id, OnGap: reconnect}
		err := ws.engine.Watch(connCtx, baseURL, sink.Position(), sink)
		gap := connCtx.Err() != nil
		reconnect()
		if ctx.Err() != nil {
			return
		}
		if !gap {
			klog.V(1).InfoS("Event stream of engine interrupted", "upstream", id, "err", err)
			scope.Sleep(ctx, watchRetryDelay/2+rand.N(watchRetryDelay))
		}
	}
}

// wait returns when all watchers have stopped. Their context must have ended.
func (ws *engineWatchers) wait() { ws.wg.Wait() }
