package view

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/guard"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// maxPreviousVersions bounds the replaced versions that are kept per model: engines are never that many versions behind.
const maxPreviousVersions = 16

// maxPreviousOrders bounds the replaced orders that are kept per service.
const maxPreviousOrders = 8

// Snapshots publishes the newest snapshot of each kind. Readers load it without a lock. The zero value is empty.
type Snapshots struct {
	config      atomic.Pointer[Config]
	upstreams   atomic.Pointer[Upstreams]
	weights     atomic.Pointer[map[ident.ModelID]Weights]
	rollouts    atomic.Pointer[map[ServiceID]Rollout]
	evacuations atomic.Pointer[map[ident.FailureDomain]Evacuation]

	mu sync.Mutex
}

// Config returns the newest configuration, or nil if none has been published yet.
func (s *Snapshots) Config() *Config { return s.config.Load() }

// Upstreams returns the newest list of upstreams, which is empty until one has been published.
func (s *Snapshots) Upstreams() *Upstreams {
	if u := s.upstreams.Load(); u != nil {
		return u
	}
	return &Upstreams{}
}

// Weights returns the version that operators have named for a model; false if they have named none.
func (s *Snapshots) Weights(model ident.ModelID) (Weights, bool) {
	all := s.weights.Load()
	if all == nil {
		return Weights{}, false
	}
	w, ok := (*all)[model]
	return w, ok
}

// AllWeights returns the named versions of all models. The caller must not change the map.
func (s *Snapshots) AllWeights() map[ident.ModelID]Weights {
	if all := s.weights.Load(); all != nil {
		return *all
	}
	return nil
}

// Rollouts returns the newest requested rollout of each service. The caller must not change the map.
func (s *Snapshots) Rollouts() map[ServiceID]Rollout {
	if all := s.rollouts.Load(); all != nil {
		return *all
	}
	return nil
}

// SetConfig publishes a configuration unless the same or a newer version is published already. It reports whether it did.
func (s *Snapshots) SetConfig(c *Config) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.config.Load()
	if old != nil && c.Version <= old.Version {
		return false
	}
	c.BuildIndex()
	s.config.Store(c)
	guard.Check(old == nil || c.Version > old.Version, guard.ConfigMonotonic, "version %d published", c.Version)
	return true
}

// SetWeights publishes the named version of a model unless the same or a newer one is known. It reports whether it did.
func (s *Snapshots) SetWeights(w Weights) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := maps.Clone(s.AllWeights())
	if all == nil {
		all = map[ident.ModelID]Weights{}
	}
	old, ok := all[w.Model]
	if ok && old.Version >= w.Version {
		return false
	}
	if ok {
		w.Previous = append([]NamedVersion{{old.Version, old.NamedAt}}, old.Previous...)
		w.Previous = w.Previous[:min(len(w.Previous), maxPreviousVersions)]
	}
	all[w.Model] = w
	s.weights.Store(&all)
	return true
}

// SetWeightsNamedAt sets the time at which a peer observed the naming of the version, if it is the newest known one. The
// earliest observation is kept: a daemon that was paused or partitioned learns of the version late. An observation always
// replaces an estimate. It returns what was known before, and whether that was replaced.
func (s *Snapshots) SetWeightsNamedAt(model ident.ModelID, version int64, at time.Time) (Weights, bool) {
	if w, ok := s.Weights(model); !ok || !w.shouldReplaceNamedAt(version, at) {
		return w, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	w, ok := s.Weights(model)
	if !ok || !w.shouldReplaceNamedAt(version, at) {
		return w, false
	}
	before := w
	w.NamedAt, w.NamedAtObserved = at, true
	all := maps.Clone(s.AllWeights())
	all[model] = w
	s.weights.Store(&all)
	return before, true
}

// SetRollout publishes a rollout unless the service has the same or a newer one. It reports whether it did.
func (s *Snapshots) SetRollout(r Rollout) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := maps.Clone(s.Rollouts())
	if all == nil {
		all = map[ServiceID]Rollout{}
	}
	r.Stated = r.Offset
	if old, ok := all[r.Service]; ok {
		switch {
		case old.Stated >= r.Offset || r.Offset.Era() > old.Stated.Era() && r.isPrevious(&old):
			return false
		case r.restates(&old):
			if r.RestatedAt = old.RestatedAt; r.Offset.Era() > old.Stated.Era() {
				r.RestatedAt = time.Now()
			}
			r.Offset, r.SeenAt, r.Previous = old.Offset, old.SeenAt, old.Previous
		default:
			r.Previous = append([]PreviousOrder{{old.Release, old.Offset}}, old.Previous...)
			r.Previous = r.Previous[:min(len(r.Previous), maxPreviousOrders)]
		}
	}
	all[r.Service] = r
	s.rollouts.Store(&all)
	return true
}

// IdentifyRollout sets the offset that identifies the newest order of a service and when it was given, as another daemon or the
// store's records know them. A daemon that starts after a restore of the store sees only that the order was written again.
func (s *Snapshots) IdentifyRollout(service ServiceID, offset ident.Offset, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.Rollouts()[service]
	if !ok || offset >= r.Offset {
		return
	}
	all := maps.Clone(s.Rollouts())
	r.Offset = offset
	if at.Before(r.SeenAt) {
		r.SeenAt = at
	}
	all[service] = r
	s.rollouts.Store(&all)
}

// SetUpstreams publishes a list of upstreams unconditionally.
func (s *Snapshots) SetUpstreams(u *Upstreams) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.upstreams.Store(u)
}
