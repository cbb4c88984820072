package moves

import (
	"sync"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// brokenUpstreams makes the crash of one engine count as one failure, however many requests were on it and however
// many daemons saw it.
type brokenUpstreams struct {
	mu     sync.Mutex
	last   map[ident.UpstreamID]*breakMark
	totals map[brokenKey]int64
	// fresh lists the breaks that peers have not been told.
	fresh []brokenUpstream
}

type brokenKey struct {
	route ident.RouteID
	isNew bool
}

type brokenUpstream struct {
	brokenKey
	upstream ident.UpstreamID
}

// breakMark is the last break of an upstream that was counted.
type breakMark struct {
	at time.Time
	// down is true until the upstream has answered a request that was sent after the break.
	down bool
}

// covers reports whether a sample that ends now belongs to the break. While an engine is down or has lost the version,
// it fails requests that it would answer again after.
func (m *breakMark) covers(o Outcome) bool {
	switch o {
	case OutcomeUnreachable:
		return m.down
	case OutcomeRefused:
		return time.Since(m.at) < refusedWindow
	default:
		return false
	}
}

// saw counts a sample's broken connection unless it belongs to a break that was counted before.
func (b *brokenUpstreams) saw(s *sample, isNew bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	mark := b.last[s.Upstream]
	if mark != nil && mark.covers(s.Outcome) {
		return
	}
	event := brokenUpstream{brokenKey{s.Route, isNew}, s.Upstream}
	if b.count(event) {
		b.fresh = append(b.fresh, event)
	}
}

// answered notes that an upstream has answered a request.
func (b *brokenUpstreams) answered(upstream ident.UpstreamID, started time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if mark := b.last[upstream]; mark != nil && started.After(mark.at) {
		mark.down = false
	}
}

// heard counts a break that a peer has counted.
func (b *brokenUpstreams) heard(event brokenUpstream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.count(event)
}

// count adds a break and reports whether it is a new one.
func (b *brokenUpstreams) count(event brokenUpstream) bool {
	if b.last == nil {
		b.last, b.totals = map[ident.UpstreamID]*breakMark{}, map[brokenKey]int64{}
	}
	if mark := b.last[event.upstream]; mark != nil && time.Since(mark.at) < brokenWindow {
		return false
	}
	b.last[event.upstream] = &breakMark{at: time.Now(), down: true}
	b.totals[event.brokenKey]++
	return true
}

// total returns the number of breaks counted so far.
func (b *brokenUpstreams) total(route ident.RouteID, isNew bool) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.totals[brokenKey{route, isNew}]
}

// take returns the breaks since the last call.
func (b *brokenUpstreams) take() []brokenUpstream {
	b.mu.Lock()
	defer b.mu.Unlock()
	fresh := b.fresh
	b.fresh = nil
	return fresh
}
