package daemon

import (
	"github.com/gooseberryway/gooseberryway/internal/coordination/member"
	"github.com/gooseberryway/gooseberryway/internal/state/config"
)

// seen is the last configuration that the parts have been told of.
type seen struct {
	applied, inForce *config.State
}

// changed tells the parts of a new view of the fleet: what takes something away holds before the lease can be renewed.
func (p *parts) changed() {
	p.changing.Lock()
	defer p.changing.Unlock()
	view := p.fleet.View()
	if view == nil {
		return
	}
	now := seen{applied: view.Applied, inForce: view.InForce}
	if now != p.seen {
		p.configure(view)
		p.seen = now
	}
	p.takePart(view)
	p.lease.Renew()
}

func (p *parts) configure(view *member.View) {
	if p.seen.applied == nil {
		p.limiter.Incarnation = view.Incarnation
		p.claimer.Incarnation = view.Incarnation
		p.owner.Incarnation = view.Incarnation
		p.background.Go(func() { p.claimer.Run(p.life) })
		p.background.Go(func() { p.owner.Run(p.life) })
		p.background.Go(func() { p.orders.Run(p.life) })
	}
	p.splitter.Update(view.Applied)
	p.limiter.Observe(quotaView(p.follower.History()))
	p.owners.update(view.Applied, view.InForce)
	p.router.Update(view.Applied.Upstreams())
	p.followSettings(view.Applied)
	if warm := p.warm.Swap(nil); warm != nil {
		p.router.Merge(warm)
	}
	p.watchers.update(p.life, view.Applied.Upstreams())
}
