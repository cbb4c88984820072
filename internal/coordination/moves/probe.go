package moves

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// probeSet hands out probes of one move: requests that go to the new version ahead of its share, one at a time on
// each route, so that a verdict needs neither a long wait nor many requests.
type probeSet struct {
	// allowed says that this daemon is one of the few that send probes.
	allowed atomic.Bool
	// generation counts arms; a route that has not seen the newest gets a new budget.
	generation atomic.Int64
	budget     atomic.Int64
	probes     atomic.Pointer[map[controlKey]*probe]
	// mu serialises the writers of probes.
	mu sync.Mutex
}

type probe struct {
	generation atomic.Int64
	left       atomic.Int64
	// sentAt is the time of the probe that is under way in nanoseconds, 0 if there is none.
	sentAt atomic.Int64
}

// arm gives every route n probes.
func (p *probeSet) arm(n int64) {
	p.budget.Store(n)
	p.generation.Add(1)
}

// armOne gives one route, or one organisation on it, n probes.
func (p *probeSet) armOne(key controlKey, n int64) {
	p.generation.CompareAndSwap(0, 1)
	pr := p.of(key)
	pr.generation.Store(p.generation.Load())
	pr.left.Store(n)
}

// take reports whether the next request of the route is a probe.
func (p *probeSet) take(route ident.RouteID, org ident.OrganisationID) bool {
	generation := p.generation.Load()
	if generation == 0 || !p.allowed.Load() {
		return false
	}
	if pr := p.known(controlKey{route, org}); pr != nil && pr.claim() {
		return true
	}
	pr := p.of(controlKey{route: route})
	if old := pr.generation.Load(); old != generation && pr.generation.CompareAndSwap(old, generation) {
		pr.left.Store(p.budget.Load())
	}
	return pr.claim()
}

// claim takes the one place of the probe if it is free and there is budget.
func (p *probe) claim() bool {
	if p.left.Load() <= 0 {
		return false
	}
	now, sent := time.Now().UnixNano(), p.sentAt.Load()
	if sent != 0 && now-sent < int64(probeTimeout) {
		return false
	}
	if !p.sentAt.CompareAndSwap(sent, now) {
		return false
	}
	return p.left.Add(-1) >= 0
}

// answered frees the places of the route's and the organisation's probes.
func (p *probeSet) answered(route ident.RouteID, org ident.OrganisationID) {
	if pr := p.known(controlKey{route: route}); pr != nil {
		pr.sentAt.Store(0)
	}
	if pr := p.known(controlKey{route, org}); pr != nil {
		pr.sentAt.Store(0)
	}
}

// freeRoute frees the places of all probes of a route.
func (p *probeSet) freeRoute(route ident.RouteID) {
	probes := p.probes.Load()
	if probes == nil {
		return
	}
	for key, pr := range *probes {
		if key.route == route {
			pr.sentAt.Store(0)
		}
	}
}

func (p *probeSet) known(key controlKey) *probe {
	if probes := p.probes.Load(); probes != nil {
		return (*probes)[key]
	}
	return nil
}

func (p *probeSet) of(key controlKey) *probe {
	if pr := p.known(key); pr != nil {
		return pr
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if pr := p.known(key); pr != nil {
		return pr
	}
	next := map[controlKey]*probe{}
	if probes := p.probes.Load(); probes != nil {
		maps.Copy(next, *probes)
	}
	pr := &probe{}
	next[key] = pr
	p.probes.Store(&next)
	return pr
}
