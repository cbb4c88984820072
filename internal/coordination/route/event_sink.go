package route

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Update sets the configured upstreams. Engines that are no longer listed are removed from the index; of several KV cache
// stores the one with the lowest id is used.
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
	r.configuredStore.Store(&store)
}

// EventSink applies the cache events and load reports of one engine to the router. It implements extern.EngineSink.
type EventSink struct {
	Router   *Router
	Upstream ident.UpstreamID
	// OnGap is called when events were lost and the event stream must be opened again from Position; may be nil.
	OnGap func()
}

// CacheEvent applies a cache event to the index.
func (s *EventSink) CacheEvent(ev extern.CacheEvent) {
	if u := s.Router.Health.Upstream(s.Upstream); u != nil {
		u.UpdateIncarnation(ev.Position.Incarnation, time.Now())
	}
	if s.Router.Index.Apply(s.Upstream, ev) && s.OnGap != nil {
		s.OnGap()
	}
}

// LoadReport applies a load report to the engine's health entry and its incarnation to the index.
func (s *EventSink) LoadReport(report extern.LoadReport) {
	u := s.Router.Health.Upstream(s.Upstream)
	if u == nil {
		return
	}
	u.ApplyReport(report, time.Now())
	s.Router.Index.UpdateIncarnation(s.Upstream, u.Incarnation())
}

// Position returns the position after which the engine's events have to be read; sequence 0 asks for a resync.
func (s *EventSink) Position() extern.EnginePosition { return s.Router.Index.Position(s.Upstream) }
