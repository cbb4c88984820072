package place

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// noticeTTL is how long a notice is remembered of an upstream that is not registered: its registration may return without a restart.
const noticeTTL = 10 * time.Minute

// MarkLeaving records that an upstream has said that it leaves. This incarnation gets no more requests.
func (p *Placer) MarkLeaving(u *view.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.noticeState(u)
	if state == nil || state.leaving {
		return
	}
	state.leaving = true
	metrics.GetOrCreateCounter("gooseberrywayUpstreamLeavingNotices").Inc()
	klog.InfoS("Upstream says that it leaves", "upstream", u.ID, "requests", state.own.Requests, "state", u.State,
		"seenMs", time.Since(u.SeenAt).Milliseconds())
}

// IsLeaving reports whether the incarnation of an upstream has said that it leaves.
func (p *Placer) IsLeaving(u *view.Upstream) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.upstreamStates[u.ID]
	return state != nil && state.incarnation == u.Incarnation && state.leaving
}

// Pause records that an upstream wants no requests from this daemon for a while.
func (p *Placer) Pause(u *view.Upstream, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	until := time.Now().Add(d)
	state := p.noticeState(u)
	if state == nil || !until.After(state.pausedUntil) {
		return
	}
	state.pausedUntil = until
	metrics.GetOrCreateCounter("gooseberrywayUpstreamPauses").Inc()
	klog.InfoS("Upstream wants no requests", "upstream", u.ID, "forMs", d.Milliseconds(), "requests", state.own.Requests)
}

// PausedFor returns the time after which an upstream of the service wants requests again; 0 if one that takes requests isn't paused.
func (p *Placer) PausedFor(service view.ServiceID) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	var shortest time.Duration
	for _, u := range p.Snapshots.Upstreams().ByService[service] {
		state := p.upstreamState(u)
		if u.State != view.UpstreamReady || state.leaving {
			continue
		}
		if !now.Before(state.pausedUntil) {
			return 0
		}
		if wait := state.pausedUntil.Sub(now); shortest == 0 || wait < shortest {
			shortest = wait
		}
	}
	return shortest
}

// HasNotice reports whether the incarnation of an upstream has said that it leaves, or wants a pause that has not ended.
func (p *Placer) HasNotice(u *view.Upstream) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.upstreamStates[u.ID]
	return state != nil && state.incarnation == u.Incarnation && (state.leaving || time.Now().Before(state.pausedUntil))
}

// noticeState returns the state in which to record a notice of an upstream; nil if a later incarnation is known. The caller holds p.mu.
func (p *Placer) noticeState(u *view.Upstream) *upstreamState {
	if current := p.Snapshots.Upstreams().ByID[u.ID]; current != nil && current.Incarnation != u.Incarnation {
		return nil
	}
	state := p.upstreamState(u)
	state.noticedAt = time.Now()
	return state
}
