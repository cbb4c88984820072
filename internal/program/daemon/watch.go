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

// watchers read the cache events and load reports of the configured engines, one goroutine an engine.
type watchers struct {
	engine extern.Engine
	router *route.Router

	mu      sync.Mutex
	running map[ident.UpstreamID]*watcher
	wg      sync.WaitGroup
}

type watcher struct {
	baseURL string
	cancel  context.CancelFunc
}

// update starts and ends watchers, so that they match the upstreams.
func (ws *watchers) update(ctx context.Context, upstreams map[ident.UpstreamID]*config.Upstream) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	if ws.running == nil {
		ws.running = map[ident.UpstreamID]*watcher{}
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

func (ws *watchers) start(ctx context.Context, id ident.UpstreamID, baseURL string) {
	ctx, cancel := context.WithCancel(ctx)
	ws.running[id] = &watcher{baseURL: baseURL, cancel: cancel}
	ws.wg.Go(func() { ws.watch(ctx, id, baseURL) })
}

// watch reads one engine's events until ctx ends, from where the last connection broke.
func (ws *watchers) watch(ctx context.Context, id ident.UpstreamID, baseURL string) {
	for ctx.Err() == nil {
		once, again := context.WithCancel(ctx)
		feed := &route.EventSink{Router: ws.router, Upstream: id, OnGap: again}
		err := ws.engine.Watch(once, baseURL, feed.Position(), feed)
		gap := once.Err() != nil
		again()
		if ctx.Err() != nil {
			return
		}
		if !gap {
			klog.V(1).InfoS("Engine's events interrupted", "upstream", id, "err", err)
			scope.Sleep(ctx, watchPause/2+rand.N(watchPause))
		}
	}
}

// wait returns when all watchers have ended. Their context must have ended.
func (ws *watchers) wait() { ws.wg.Wait() }
