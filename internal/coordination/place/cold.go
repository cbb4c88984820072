package place

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// coldFor returns how long the coldness of an upstream keeps requests of this daemon away, and adds the rate that it bears
// to blocked.
func (p *Placer) coldFor(u *view.Upstream, blocked *BlockedError) time.Duration {
	if p.ColdLimits == nil {
		return 0
	}
	wait, rate, limited := p.ColdLimits.Wait(u)
	if limited {
		blocked.limits += rate
	}
	return wait
}

// takeCold takes the choice out of what its upstream bears while it is cold. It reports false if that allows none now.
func (p *Placer) takeCold(c *Choice, blocked *BlockedError) bool {
	if p.ColdLimits == nil {
		return true
	}
	ok, charged := p.ColdLimits.Take(c.Upstream)
	if !ok {
		blocked.addReason(BlockedCold, blockedRetryAfter)
	}
	c.chargedToCold = charged
	return ok
}

// returnCold gives back what takeCold took.
func (p *Placer) returnCold(c *Choice) {
	if c.chargedToCold {
		p.ColdLimits.Return(c.Upstream)
		c.chargedToCold = false
	}
}

// beginCold records that the request of a choice is sent now.
func (p *Placer) beginCold(c *Choice) {
	if p.ColdLimits != nil {
		p.ColdLimits.Begin(c.Upstream, c.chargedToCold)
		c.chargedToCold = false
	}
}
