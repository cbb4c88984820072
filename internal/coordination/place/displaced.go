package place

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

const (
	// displacedTTL is how long an upstream gets no requests after another one has answered at its address, unless it registers again: the time
	// for which registrations of upstreams that have ended stay listed while the store is in trouble.
	displacedTTL = 5 * time.Second
	// displacedNewsTTL is how long a displacement is told to peers: several heartbeats, as some may be lost.
	displacedNewsTTL = time.Second
)

// Displacement says that another upstream answers at the address of one that is still listed. Upstreams that crash and start again with a new
// id leave their old registration behind, for as long as it is kept, and longer at daemons that are cut off from the store. It looks
// idle, so that it attracts requests, all of which are rejected. One such rejection is enough for all daemons.
type Displacement struct {
	Upstream    ident.UpstreamID
	Incarnation ident.Incarnation
	// For is how much longer the upstream gets no requests.
	For time.Duration
}

// displaced is what an upstream's state keeps of its displacement.
type displaced struct {
	displacedUntil time.Time
	// newsUntil is until when the displacement is told to peers; zero if a peer told it.
	newsUntil time.Time
	// displacedOffset is the position of the registration that is out of date.
	displacedOffset ident.Offset
}

// displacedFor returns for how much longer the upstream with this registration gets no requests.
func (d *displaced) displacedFor(u *view.Upstream, now time.Time) time.Duration {
	if u.Offset != d.displacedOffset {
		return 0
	}
	return max(0, d.displacedUntil.Sub(now))
}

// MarkDisplaced records that another upstream has answered at the address of u, and reports whether that is news.
func (p *Placer) MarkDisplaced(u *view.Upstream, by ident.UpstreamID) bool {
	listed := p.Snapshots.Upstreams().ByID[u.ID]
	if listed == nil || listed.Incarnation != u.Incarnation || listed.Address != u.Address {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	state, now := p.upstreamState(listed), time.Now()
	if state.displacedFor(listed, now) > 0 {
		return false
	}
	state.displaced = displaced{displacedUntil: now.Add(displacedTTL), newsUntil: now.Add(displacedNewsTTL), displacedOffset: listed.Offset}
	metrics.GetOrCreateCounter(`gooseberrywayDisplacedUpstreams{source="answer"}`).Inc()
	klog.InfoS("Another upstream has the address", "upstream", u.ID, "by", by, "address", u.Address, "offset", listed.Offset,
		"seenMs", now.Sub(listed.SeenAt).Milliseconds(), "requests", state.own.Requests, "forMs", displacedTTL.Milliseconds())
	return true
}

// ApplyDisplacement records a displacement that a peer has found.
func (p *Placer) ApplyDisplacement(d Displacement) {
	listed := p.Snapshots.Upstreams().ByID[d.Upstream]
	if listed == nil || listed.Incarnation != d.Incarnation {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	state, now := p.upstreamState(listed), time.Now()
	if state.displacedFor(listed, now) > 0 {
		return
	}
	state.displaced = displaced{displacedUntil: now.Add(min(d.For, displacedTTL)), displacedOffset: listed.Offset}
	metrics.GetOrCreateCounter(`gooseberrywayDisplacedUpstreams{source="peer"}`).Inc()
	klog.InfoS("Peer says that another upstream has the address", "upstream", d.Upstream, "offset", listed.Offset,
		"seenMs", now.Sub(listed.SeenAt).Milliseconds(), "forMs", d.For.Milliseconds())
}

// Displacements returns the displacements that this daemon has found of late, for its peers.
func (p *Placer) Displacements() []Displacement {
	listed := p.Snapshots.Upstreams().ByID
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	var out []Displacement
	for id, state := range p.upstreamStates {
		if u := listed[id]; u != nil && now.Before(state.newsUntil) {
			if left := state.displacedFor(u, now); left > 0 {
				out = append(out, Displacement{Upstream: id, Incarnation: u.Incarnation, For: left})
			}
		}
	}
	return out
}

// IsDisplaced reports whether another upstream is known to have the address of this one.
func (p *Placer) IsDisplaced(u *view.Upstream) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isDisplaced(u, time.Now())
}

// isDisplaced does the same for a caller that holds p.mu. A registration that the store took in late doesn't displace the upstream that
// answers at the address.
func (p *Placer) isDisplaced(u *view.Upstream, now time.Time) bool {
	if p.hasDisplacingAnswer(u, now) {
		return true
	}
	listed := p.Snapshots.Upstreams()
	by := listed.ByID[listed.Displaced[u.ID]]
	return by != nil && !p.hasDisplacingAnswer(by, now)
}

// hasDisplacingAnswer reports whether another upstream has answered at the address of this one.
func (p *Placer) hasDisplacingAnswer(u *view.Upstream, now time.Time) bool {
	state := p.upstreamStates[u.ID]
	return state != nil && state.incarnation == u.Incarnation && state.displacedFor(u, now) > 0
}
