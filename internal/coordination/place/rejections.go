package place

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/coordination/reject"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// reservations are the choices of an upstream that falls over when it rejects too many requests.
type reservations struct {
	// chosen is the number of choices that are not followed by Begin yet, unanswered the number of requests beyond this
	// daemon's places that have no response yet.
	chosen, unanswered int
}

func (r *reservations) reserve(c *Choice) {
	r.chosen++
	if c.risky {
		r.unanswered++
	}
}

// cancel ends a reservation that is not followed by Begin.
func (r *reservations) cancel(c *Choice) {
	r.chosen--
	if c.risky {
		r.unanswered--
	}
}

// admission says whether the upstream's rejection limit allows a request.
func (p *Placer) admission(state *upstreamState, u *view.Upstream, q *query) reject.Admission {
	if p.RejectionLimits == nil || !p.RejectionLimits.InForce() {
		return reject.Admission{}
	}
	return p.RejectionLimits.Admit(u, reject.Load{
		Own: state.own.Requests + state.chosen, Unanswered: state.unanswered,
		Total: state.totalWork(q.now, q.maxReportAge).Requests + state.chosen,
	})
}

// fullFor returns how long an upstream's rejection limit keeps requests of this daemon away, and adds the rate at which the
// upstream ends requests to blocked.
func (p *Placer) fullFor(state *upstreamState, u *view.Upstream, q *query, blocked *BlockedError) time.Duration {
	admission := p.admission(state, u, q)
	if median := state.estimates.serviceTime.Median(); admission.Limited && median > 0 {
		blocked.limits += ident.RequestsPerSecond(float64(u.Slots) / median.Seconds())
	}
	return admission.Wait
}

// MarkFull records that an upstream rejected a request for want of room.
func (p *Placer) MarkFull(u *view.Upstream) {
	if p.RejectionLimits == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if state := p.upstreamStates[u.ID]; state != nil {
		p.RejectionLimits.Reject(u, state.own.Requests+state.chosen)
	}
}
