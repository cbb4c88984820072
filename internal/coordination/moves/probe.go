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
	// enabled says that this daemon is one of the few that send probes.
	enabled atomic.Bool
	// generation is raised by each call of grantAllRoutes; a route that has an older generation gets a new budget.
	generation atomic.Int64
	budget     atomic.Int64
	probes     atomic.Pointer[map[groupKey]*probe]
	// mu serialises the writers of probes.
	mu sync.Mutex
}

type probe struct {
	generation atomic.Int64
	remaining  atomic.Int64
	// sentAt is when the unanswered probe was sent, in nanoseconds since the Unix epoch, 0 if there is none.
	sentAt atomic.Int64
}

// grantAllRoutes gives every route a budget of n probes.
func (p *probeSet) grantAllRoutes(n int64) {
	p.budget.Store(n)
	p.generation.Add(1)
}

// grant gives one route, or one organisation on it, a budget of n probes.
func (p *probeSet) grant(key groupKey, n int64) {
	p.generation.CompareAndSwap(0, 1)
	pr := p.getOrCreate(key)
	pr.generation.Store(p.generation.Load())
	pr.remaining.Store(n)
}

// tryTake reports whether the next request of the organisation on the route is a probe.
func (p *probeSet) tryTake(route ident.RouteID, org ident.OrganisationID) bool {
	generation := p.generation.Load()
	if generation == 0 || !p.enabled.Load() {
		return false
	}
	if pr := p.existing(groupKey{route, org}); pr != nil && pr.tryClaim() {
		return true
	}
	pr := p.getOrCreate(groupKey{route: route})
	if old := pr.generation.Load(); old != generation && pr.generation.CompareAndSwap(old, generation) {
		pr.remaining.Store(p.budget.Load())
	}
	return pr.tryClaim()
}

// tryClaim reports whether a probe may be sent now: there is budget, and no other probe is unanswered.
func (p *probe) tryClaim() bool {
	if p.remaining.Load() <= 0 {
		return false
	}
	now, sent := time.Now().UnixNano(), p.sentAt.Load()
	if sent != 0 && now-sent < int64(probeTimeout) {
		return false
	}
	if !p.sentAt.CompareAndSwap(sent, now) {
		return false
	}
	return p.remaining.Add(-1) >= 0
}

// release lets the next probes of the route and of the organisation go.
func (p *probeSet) release(route ident.RouteID, org ident.OrganisationID) {
	if pr := p.existing(groupKey{route: route}); pr != nil {
		pr.sentAt.Store(0)
	}
	if pr := p.existing(groupKey{route, org}); pr != nil {
		pr.sentAt.Store(0)
	}
}

// releaseRoute lets the next probes of a route and all its organisations go.
func (p *probeSet) releaseRoute(route ident.RouteID) {
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

func (p *probeSet) existing(key groupKey) *probe {
	if probes := p.probes.Load(); probes != nil {
		return (*probes)[key]
	}
	return nil
}

func (p *probeSet) getOrCreate(key groupKey) *probe {
	if pr := p.existing(key); pr != nil {
		return pr
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if pr := p.existing(key); pr != nil {
		return pr
	}
	next := map[groupKey]*probe{}
	if probes := p.probes.Load(); probes != nil {
		maps.Copy(next, *probes)
	}
	pr := &probe{}
	next[key] = pr
	p.probes.Store(&next)
	return pr
}
