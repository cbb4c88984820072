package place

import "time"

// Wait is the estimated time from sending a request to the first byte of its answer.
type Wait struct {
	// All is the time behind all work at the upstream, Ahead the time before work that is late, and Own the part of both
	// that the request causes itself.
	All, Ahead, Own time.Duration
}

// wait estimates what a request waits for at the chosen upstream. What runs beside it slows reading down, so that the
// true time is rather longer.
func (p *Placer) wait(q *query, c *Choice) Wait {
	n := p.nodes[c.Upstream.ID]
	load := n.load(q.now, q.digest)
	queue := slotWait(load.Requests, c.Upstream.Slots, n.service.holding.Usual())
	if q.work.Model == "" {
		own := n.service.holding.Usual()
		return Wait{All: queue + own, Ahead: queue + own, Own: own}
	}
	if !n.service.reading.Known() {
		return Wait{}
	}
	own := n.service.reading.Base() + n.readIn(c.Unread)
	return Wait{
		All:   queue + own + n.readIn(load.Unread),
		Ahead: queue + own + n.readIn(max(0, load.Unread-load.Late)),
		Own:   own,
	}
}

// slotWait returns how long it takes until an upstream with so many requests has a free slot.
func slotWait(requests, slots int, holding time.Duration) time.Duration {
	if slots <= 0 || requests < slots {
		return 0
	}
	return holding * time.Duration(requests-slots+1) / time.Duration(slots)
}
