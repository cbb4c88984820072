package health

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Table holds the upstreams of the configuration. Reads take no lock.
type Table struct {
	// MaxEjectedShare bounds the share of a group's upstreams that are ejected at the same time; 0 means
	// DefaultMaxEjectedPermille.
	MaxEjectedShare ident.Permille

	mu       sync.Mutex
	base     time.Time
	snapshot atomic.Pointer[snapshot]
}

// snapshot is an immutable set of upstreams. The upstreams of a group are ordered by hash.
type snapshot struct {
	byID  map[ident.UpstreamID]*Upstream
	group map[groupKey][]*Upstream
}

// groupKey identifies a group of upstreams with the same kind and model, which can replace each other.
type groupKey struct {
	kind  config.UpstreamKind
	model ident.ModelID
}

func groupKeyOf(cfg *config.Upstream) groupKey {
	return groupKey{kind: cfg.Kind, model: cfg.Model}
}

// Update replaces the set of upstreams by that of a configuration. Upstreams that remain keep their state. It returns the
// ids of those that were removed.
func (t *Table) Update(upstreams map[ident.UpstreamID]*config.Upstream) (removed []ident.UpstreamID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if t.base.IsZero() {
		// Times since base must be positive, as 0 means unset.
		t.base = now.Add(-time.Nanosecond)
	}
	old := t.currentSnapshot()
	next := &snapshot{
		byID:  make(map[ident.UpstreamID]*Upstream, len(upstreams)),
		group: make(map[groupKey][]*Upstream),
	}
	for id, cfg := range upstreams {
		u := old.byID[id]
		if u == nil {
			u = newUpstream(cfg, t.base)
		}
		u.configure(cfg, now)
		next.byID[id] = u
		next.group[groupKeyOf(cfg)] = append(next.group[groupKeyOf(cfg)], u)
	}
	for _, group := range next.group {
		slices.SortFunc(group, func(a, b *Upstream) int { return cmp.Compare(a.Hash, b.Hash) })
	}
	for id := range old.byID {
		if next.byID[id] == nil {
			removed = append(removed, id)
		}
	}
	t.snapshot.Store(next)
	return removed
}

// currentSnapshot returns the newest snapshot, an empty one before the first Update.
func (t *Table) currentSnapshot() *snapshot {
	if s := t.snapshot.Load(); s != nil {
		return s
	}
	return &snapshot{}
}

// Upstream returns the state of an upstream, or nil.
func (t *Table) Upstream(id ident.UpstreamID) *Upstream { return t.currentSnapshot().byID[id] }

// Upstreams returns all upstreams; the caller must not change the map.
func (t *Table) Upstreams() map[ident.UpstreamID]*Upstream { return t.currentSnapshot().byID }

// Engines returns the engines of a model in the order of their hashes; the caller must not change the slice.
func (t *Table) Engines(model ident.ModelID) []*Upstream {
	return t.currentSnapshot().group[groupKey{kind: config.UpstreamEngine, model: model}]
}
