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
	// MaxEjectedShare bounds the ejected part of a model's engines in thousandths; 0 is DefaultEjectShare.
	MaxEjectedShare ident.Permille

	mu       sync.Mutex
	base     time.Time
	snapshot atomic.Pointer[snapshot]
}

type snapshot struct {
	byID  map[ident.UpstreamID]*Upstream
	peers map[peerKey][]*Upstream
}

// peerKey groups upstreams that do the same work.
type peerKey struct {
	kind  config.UpstreamKind
	model ident.ModelID
}

func peersOf(cfg *config.Upstream) peerKey {
	return peerKey{kind: cfg.Kind, model: cfg.Model}
}

// Update makes the upstreams of a configuration the table's. The state of those that stay is kept.
// It returns the ids of those that are gone.
func (t *Table) Update(upstreams map[ident.UpstreamID]*config.Upstream) (gone []ident.UpstreamID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if t.base.IsZero() {
		// Times since base are positive, as 0 stands for none.
		t.base = now.Add(-time.Nanosecond)
	}
	old := t.load()
	next := &snapshot{
		byID:  make(map[ident.UpstreamID]*Upstream, len(upstreams)),
		peers: make(map[peerKey][]*Upstream),
	}
	for id, cfg := range upstreams {
		u := old.byID[id]
		if u == nil {
			u = newUpstream(cfg, t.base)
		}
		u.configure(cfg, now)
		next.byID[id] = u
		next.peers[peersOf(cfg)] = append(next.peers[peersOf(cfg)], u)
	}
	for _, peers := range next.peers {
		slices.SortFunc(peers, func(a, b *Upstream) int { return cmp.Compare(a.Hash, b.Hash) })
	}
	for id := range old.byID {
		if next.byID[id] == nil {
			gone = append(gone, id)
		}
	}
	t.snapshot.Store(next)
	return gone
}

func (t *Table) load() *snapshot {
	if s := t.snapshot.Load(); s != nil {
		return s
	}
	return &snapshot{}
}

// Upstream returns the state of an upstream, or nil.
func (t *Table) Upstream(id ident.UpstreamID) *Upstream { return t.load().byID[id] }

// Upstreams returns all upstreams; the caller must not change the map.
func (t *Table) Upstreams() map[ident.UpstreamID]*Upstream { return t.load().byID }

// Engines returns the engines of a model in the order of their hashes; the caller must not change the slice.
func (t *Table) Engines(model ident.ModelID) []*Upstream {
	return t.load().peers[peerKey{kind: config.UpstreamEngine, model: model}]
}
