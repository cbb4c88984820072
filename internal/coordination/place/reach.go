package place

import (
	"maps"
	"slices"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// IsUnreachable reports whether this daemon can connect to none of the upstreams of a service, though some are listed as ready.
func (p *Placer) IsUnreachable(service view.ServiceID) bool {
	upstreams := p.Snapshots.Upstreams().ByService[service]
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isUnreachable(upstreams)
}

// UnreachableServices returns the services that IsUnreachable reports, in order.
func (p *Placer) UnreachableServices() []view.ServiceID {
	byService := p.Snapshots.Upstreams().ByService
	var out []view.ServiceID
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, service := range slices.Sorted(maps.Keys(byService)) {
		if p.isUnreachable(byService[service]) {
			out = append(out, service)
		}
	}
	return out
}

// heardWindow is how long after its last bytes an upstream counts as heard.
const heardWindow = time.Second

// HasHeardOf reports whether an upstream of the service has sent something to this daemon lately.
func (p *Placer) HasHeardOf(service view.ServiceID) bool {
	upstreams := p.Snapshots.Upstreams().ByService[service]
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(upstreams, func(u *view.Upstream) bool {
		state := p.upstreamStates[u.ID]
		return state != nil && time.Since(state.heardAt) < heardWindow
	})
}

// isUnreachable reports whether all of the upstreams that take requests are down, of which there must be some. The caller holds p.mu.
func (p *Placer) isUnreachable(upstreams []*view.Upstream) bool {
	down := 0
	for _, u := range upstreams {
		if u.State != view.UpstreamReady {
			continue
		}
		state := p.upstreamStates[u.ID]
		switch {
		case p.Snapshots.IsEvacuated(u.FailureDomain):
		case state == nil || state.incarnation != u.Incarnation:
			return false
		case state.leaving:
		case !state.down:
			return false
		default:
			down++
		}
	}
	return down > 0
}
