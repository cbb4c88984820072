package place

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// WaitEstimate is the estimated time from sending a request to the first byte of its response.
type WaitEstimate struct {
	// Total is the time if the request runs after all outstanding work at the upstream, BeforeLate the time if it
	// runs before late requests and before less urgent ones. Own is the part of both that the request causes itself.
	Total, BeforeLate, Own time.Duration
}

// waitEstimate estimates the time to the first byte at the chosen upstream; it is zero while nothing is known of how
// long requests take. The true time is usually longer, as requests that run at the same time slow down the prefill.
func (p *Placer) waitEstimate(q *query, c *Choice) WaitEstimate {
	state := p.upstreamStates[c.Upstream.ID]
	totalWork := state.totalWork(q.now, q.maxReportAge)
	queue := waitForSlot(totalWork.Requests, c.Upstream.Slots, state.estimates.serviceTime.Median())
	if q.request.Model == "" {
		own := state.estimates.serviceTime.Median()
		return WaitEstimate{Total: queue + own, BeforeLate: queue + own, Own: own}
	}
	if !state.estimates.prefill.Known() {
		own := state.estimates.firstToken.Median()
		if own == 0 {
			return WaitEstimate{}
		}
		return WaitEstimate{Total: queue + own, BeforeLate: queue + own, Own: own}
	}
	own := state.estimates.prefill.Overhead() + state.prefillTime(c.PrefillTokens)
	return WaitEstimate{
		Total:      queue + own + state.prefillTime(totalWork.PrefillTokens),
		BeforeLate: own + p.waitBehindUrgent(q, state, totalWork, c.Upstream.Slots),
		Own:        own,
	}
}

// waitBehindUrgent returns the part of the wait at an engine that is due to requests as urgent as this one or more: engines admit the more
// urgent first, and process their prompts before others.
func (p *Placer) waitBehindUrgent(q *query, state *upstreamState, work OutstandingWork, slots int) time.Duration {
	mix, priority := &state.estimates.urgency, q.request.Priority
	tokens := state.tokensBefore(q, work)
	ahead := float64(max(0, work.Requests-slots)) * mix.requestsBefore(q.now, priority)
	queue := waitForSlot(min(work.Requests, slots)+int(ahead), slots, state.estimates.slotTime.Median())
	return queue + state.prefillTime(ident.Tokens(tokens))
}

// tokensBefore returns the queued prompt tokens that an engine processes before the request, if it can be on time.
func (s *upstreamState) tokensBefore(q *query, work OutstandingWork) float64 {
	onTime := float64(max(0, work.PrefillTokens-work.LatePrefillTokens))
	return onTime * s.estimates.urgency.tokensBefore(q.now, q.request.Priority)
}

// mayBeginTooLate reports whether the request may get its first token on replaced weights after OldWeightsGrace. The engine gives it then,
// whatever it is told meanwhile.
func (p *Placer) mayBeginTooLate(q *query, c *Choice) bool {
	return p.OldWeightsGrace > 0 && c.ReplacedFor > 0 && c.ReplacedFor > p.OldWeightsGrace-p.longestWait(q, c)
}

// longestWait returns how long the first token may take at the chosen engine, also while the prefill time is unknown: as long as others have waited
// there, whatever the estimate says. A wait for a slot while it isn't known how long requests run has no bound, and takes OldWeightsGrace.
func (p *Placer) longestWait(q *query, c *Choice) time.Duration {
	state := p.upstreamStates[c.Upstream.ID]
	work := state.totalWork(q.now, q.maxReportAge)
	prefill := state.estimates.prefill.Overhead() + state.prefillTime(work.PrefillTokens+c.PrefillTokens)
	serviceTime := state.estimates.serviceTime.Median()
	if serviceTime == 0 {
		serviceTime = time.Duration(c.Upstream.Slots) * p.OldWeightsGrace
	}
	queue := waitForSlot(work.Requests, c.Upstream.Slots, serviceTime)
	estimated := time.Duration(prefillSlackFactor * state.slowness(q.now) * float64(queue+prefill))
	return max(estimated, state.observedWait(q.now))
}

// waitForSlot returns how long it takes until an upstream with so many requests has a free slot.
func waitForSlot(requests, slots int, serviceTime time.Duration) time.Duration {
	if slots <= 0 || requests < slots {
		return 0
	}
	return serviceTime * time.Duration(requests-slots+1) / time.Duration(slots)
}
