package route

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Update makes the upstreams of a configuration the router's.
func (r *Router) Update(upstreams map[ident.UpstreamID]*config.Upstream) {
	for _, id := range r.Health.Update(upstreams) {
		r.Index.RemoveEngine(id)
	}
	var store ident.UpstreamID
	for id, cfg := range upstreams {
		if cfg.Kind == config.UpstreamKVStore && (store == "" || id < store) {
			store = id
		}
	}
	r.store.Store(&store)
}

// EventSink takes in what one engine publishes. It implements extern.EngineSink.
type EventSink struct {
	Router   *Router
	Upstream ident.UpstreamID
	// OnGap is called when events are missing, so that the engine must be watched anew from Position on; may be nil.
	OnGap func()
}

// CacheEvent takes in a cache event.
func (f *EventSink) CacheEvent(ev extern.CacheEvent) {
	if u := f.Router.Health.Upstream(f.Upstream); u != nil {
		u.UpdateIncarnation(ev.Position.Incarnation, time.Now())
	}
	if f.Router.Index.Apply(f.Upstream, ev) && f.OnGap != nil {
		f.OnGap()
	}
}

// LoadReport takes in a load report.
func (f *EventSink) LoadReport(report extern.LoadReport) {
	u := f.Router.Health.Upstream(f.Upstream)
	if u == nil {
		return
	}
	u.ApplyReport(report, time.Now())
	f.Router.Index.UpdateIncarnation(f.Upstream, u.Incarnation())
}

// Position returns the place from which the engine's events have to be read; sequence 0 asks for a resync.
func (f *EventSink) Position() extern.EnginePosition { return f.Router.Index.Position(f.Upstream) }
