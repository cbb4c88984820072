package place

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

const (
	// reportLead is how long before an engine is taken to hang it is asked for a report: long enough for a second one, if the first is lost.
	reportLead = 900 * time.Millisecond
	// reportValidity is how much longer than bytes a report defers a hang, so that an engine at work is asked once a second.
	reportValidity = 400 * time.Millisecond
)

// SilentEngines returns the engines that have requests of this daemon and send nothing, so that they are soon taken to hang unless a report
// shows that they work.
func (p *Placer) SilentEngines() []*view.Upstream {
	config, listed, maxReportAge := p.Snapshots.Config(), p.Snapshots.Upstreams().ByID, p.peerReportTTL()
	if config == nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	var out []*view.Upstream
	for id, state := range p.upstreamStates {
		u := listed[id]
		if state.own.Requests == 0 || u == nil || config.Services[u.Service] == nil || config.Services[u.Service].Engine == nil {
			continue
		}
		if state.isHung(now.Add(reportLead), maxReportAge) {
			out = append(out, u)
		}
	}
	return out
}

// ConfirmWork records that an engine works on requests, as its report says, so that its silence is no hang.
func (p *Placer) ConfirmWork(id ident.UpstreamID, incarnation ident.Incarnation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if state := p.upstreamStates[id]; state != nil && state.incarnation == incarnation {
		state.workConfirmedAt = time.Now()
		state.lastActiveAt = state.workConfirmedAt
	}
}

// isHung reports whether the upstream has sent nothing for longer than hangTimeout beyond the prefill of its prompts, and no report has shown
// meanwhile that it works. One that doesn't answer new connections either gets no time for a prefill.
func (s *upstreamState) isHung(now time.Time, maxReportAge time.Duration) bool {
	since := s.lastBytesAt
	if confirmed := s.workConfirmedAt.Add(reportValidity); confirmed.After(since) {
		since = confirmed
	}
	allowed := hangTimeout
	if !s.connectUnanswered || !s.isDownFor(now, unreachableConfirmTime) {
		allowed += prefillSlackFactor * s.prefillTime(s.totalWork(now, maxReportAge).PrefillTokens)
	}
	return s.silentFor(now, since) > allowed
}
