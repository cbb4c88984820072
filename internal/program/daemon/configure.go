package daemon

import (
	"github.com/gooseberryway/gooseberryway/internal/coordination/member"
	"github.com/gooseberryway/gooseberryway/internal/state/config"
)

// configStates are the configuration states that the components were last updated to.
type configStates struct {
	applied, inForce *config.State
}

// onViewChange updates the components to a new view of the fleet. It renews the lease last, so that a change that revokes
// something, such as the ownership of a slice, takes effect before the lease is extended.
func (c *components) onViewChange() {
	c.configMu.Lock()
	defer c.configMu.Unlock()
	view := c.membership.View()
	if view == nil {
		return
	}
	current := configStates{applied: view.Applied, inForce: view.InForce}
	if current != c.configured {
		c.configure(view)
		c.configured = current
	}
	c.updateDaemonRank(view)
	c.lease.Renew()
}

// configure applies a new configuration to the components. On the first call it also starts those that need this daemon's
// incarnation.
func (c *components) configure(view *member.View) {
	if c.configured.applied == nil {
		c.limiter.Incarnation = view.Incarnation
		c.claimer.Incarnation = view.Incarnation
		c.moveController.Incarnation = view.Incarnation
		c.background.Go(func() { c.claimer.Run(c.runCtx) })
		c.background.Go(func() { c.moveController.Run(c.runCtx) })
		c.background.Go(func() { c.loadScheduler.Run(c.runCtx) })
	}
	c.splitter.Update(view.Applied)
	c.limiter.Observe(quotaView(c.follower.History()))
	c.ownership.update(view.Applied, view.InForce)
	c.router.Update(view.Applied.Upstreams())
	c.followSettings(view.Applied)
	if digest := c.warmDigest.Swap(nil); digest != nil {
		c.router.Merge(digest)
	}
	c.watchers.update(c.runCtx, view.Applied.Upstreams())
}
