package place

import "time"

// WaitEstimate is the estimated time from sending a request to the first byte of its answer.
type WaitEstimate struct {
	// Total is the time behind all work at the upstream, Ahead the time before work that is late, and Own the part of both
	// that the request causes itself.
	Total, BeforeLate, Own time.Duration
}

// wait estimates what a request waits for at the chosen upstream. What runs beside it slows reading down, so that the
// true time is rather longer.
func (p *Placer) wait(q *query, c *Choice) WaitEstimate {
	n := p.nodes[c.Upstream.ID]
	load := n.load(q.now, q.digest)
	queue := slotWait(load.Requests, c.Upstream.Slots, n.service.holding.Median())
	if q.work.Model == "" {
		own := n.service.holding.Median()
		return WaitEstimate{Total: queue + own, BeforeLate: queue + own, Own: own}
	}
	if !n.service.reading.Known() {
		return WaitEstimate{}
	}
	own := n.service.reading.Overhead() + n.readIn(c.PrefillTokens)
	return WaitEstimate{
		Total:      queue + own + n.readIn(load.PrefillTokens),
		BeforeLate: queue + own + n.readIn(max(0, load.PrefillTokens-load.LatePrefillTokens)),
		Own:        own,
	}
}

// slotWait returns how long it takes until an upstream with so many requests has a free slot.
func slotWait(requests, slots int, holding time.Duration) time.Duration {
	if slots <= 0 || requests < slots {
		return 0
	}
	return holding * time.Duration(requests-slots+1) / time.Duration(slots)
}
