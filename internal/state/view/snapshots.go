package view

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/guard"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// maxEarlier bounds the replaced versions that are remembered: engines are never so many versions behind.
const maxEarlier = 16

// Snapshots publishes the newest view. Readers take whole snapshots without a lock; the zero value is empty.
type Snapshots struct {
	config    atomic.Pointer[Config]
	upstreams atomic.Pointer[Upstreams]
	weights   atomic.Pointer[map[ident.ModelID]Weights]
	rollouts  atomic.Pointer[map[ServiceID]Rollout]

	mu sync.Mutex
}

// Config returns the newest configuration, or nil before the first.
func (b *Snapshots) Config() *Config { return b.config.Load() }

// Upstreams returns the list of upstreams; it is empty before the first.
func (b *Snapshots) Upstreams() *Upstreams {
	if u := b.upstreams.Load(); u != nil {
		return u
	}
	return &Upstreams{}
}

// Weights returns the named version of a model.
func (b *Snapshots) Weights(model ident.ModelID) (Weights, bool) {
	all := b.weights.Load()
	if all == nil {
		return Weights{}, false
	}
	w, ok := (*all)[model]
	return w, ok
}

// AllWeights returns the named versions of all models.
func (b *Snapshots) AllWeights() map[ident.ModelID]Weights {
	if all := b.weights.Load(); all != nil {
		return *all
	}
	return nil
}

// Rollouts returns the rollouts that were asked for.
func (b *Snapshots) Rollouts() map[ServiceID]Rollout {
	if all := b.rollouts.Load(); all != nil {
		return *all
	}
	return nil
}

// SetConfig publishes a configuration unless a newer one is known. It reports whether it did.
func (b *Snapshots) SetConfig(c *Config) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.config.Load()
	if old != nil && c.Version <= old.Version {
		return false
	}
	c.BuildIndex()
	b.config.Store(c)
	guard.Check(old == nil || c.Version > old.Version, guard.ConfigMonotonic, "version %d published", c.Version)
	return true
}

// SetWeights publishes the named version of a model unless a newer one is known. It reports whether it did.
func (b *Snapshots) SetWeights(w Weights) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := maps.Clone(b.AllWeights())
	if all == nil {
		all = map[ident.ModelID]Weights{}
	}
	old, ok := all[w.Model]
	if ok && old.Version >= w.Version {
		return false
	}
	if ok {
		w.Earlier = append([]NamedVersion{{old.Version, old.NamedAt}}, old.Earlier...)
		w.Earlier = w.Earlier[:min(len(w.Earlier), maxEarlier)]
	}
	all[w.Model] = w
	b.weights.Store(&all)
	return true
}

// SetWeightsNamedAt takes the time at which the newest known version was named from a peer that saw it happen. The earliest
// counts: a daemon that stood still or was cut off sees it late.
func (b *Snapshots) SetWeightsNamedAt(model ident.ModelID, version int64, at time.Time) {
	if w, ok := b.Weights(model); !ok || !w.namedEarlier(version, at) {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	w, ok := b.Weights(model)
	if !ok || !w.namedEarlier(version, at) {
		return
	}
	w.NamedAt, w.NamedAtObserved = at, true
	all := maps.Clone(b.AllWeights())
	all[model] = w
	b.weights.Store(&all)
}

// SetRollout publishes a rollout unless a newer one is known. It reports whether it did.
func (b *Snapshots) SetRollout(r Rollout) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := maps.Clone(b.Rollouts())
	if all == nil {
		all = map[ServiceID]Rollout{}
	}
	if old, ok := all[r.Service]; ok && old.Offset >= r.Offset {
		return false
	}
	all[r.Service] = r
	b.rollouts.Store(&all)
	return true
}

// SetUpstreams publishes the list of upstreams.
func (b *Snapshots) SetUpstreams(u *Upstreams) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.upstreams.Store(u)
}
