package moves

import (
	"sync"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// outageTracker counts the outage of one engine as one failure, however many requests it broke and however many
// daemons saw it. Otherwise the crash of a single engine would make a good version look bad.
type outageTracker struct {
	mu          sync.Mutex
	lastOutages map[ident.UpstreamID]*outageRecord
	totals      map[outageKey]int64
	// unsent lists the outages that have not been sent to peers.
	unsent []outageEvent
}

type outageKey struct {
	route ident.RouteID
	isNew bool
}

type outageEvent struct {
	outageKey
	upstream ident.UpstreamID
}

// outageRecord is the last counted outage of an upstream.
type outageRecord struct {
	at time.Time
	// down is true until the upstream has answered a request that was sent after the outage began.
	down bool
}

// covers reports whether an attempt that ends now belongs to the outage. While an engine is down or has lost the
// version, it fails requests that it would serve again later.
func (r *outageRecord) covers(o Outcome) bool {
	switch o {
	case OutcomeUnreachable:
		return r.down
	case OutcomeRefused:
		return time.Since(r.at) < refusalWindow
	default:
		return false
	}
}

// observe counts an attempt that failed with a broken connection, an unreachable engine or a refusal, unless it
// belongs to an outage that was counted before.
func (t *outageTracker) observe(ended *endedAttempt, isNew bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	last := t.lastOutages[ended.Upstream]
	if last != nil && last.covers(ended.Outcome) {
		return
	}
	event := outageEvent{outageKey{ended.Route, isNew}, ended.Upstream}
	if t.countNew(event) {
		t.unsent = append(t.unsent, event)
	}
}

// markAnswered records that an upstream has answered a request that was sent at the time started.
func (t *outageTracker) markAnswered(upstream ident.UpstreamID, started time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if last := t.lastOutages[upstream]; last != nil && started.After(last.at) {
		last.down = false
	}
}

// addFromPeer counts an outage that a peer has counted.
func (t *outageTracker) addFromPeer(event outageEvent) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.countNew(event)
}

// countNew counts an outage and reports whether it is new, that is, not within outageWindow of the last one of the
// upstream.
func (t *outageTracker) countNew(event outageEvent) bool {
	if t.lastOutages == nil {
		t.lastOutages, t.totals = map[ident.UpstreamID]*outageRecord{}, map[outageKey]int64{}
	}
	if last := t.lastOutages[event.upstream]; last != nil && time.Since(last.at) < outageWindow {
		return false
	}
	t.lastOutages[event.upstream] = &outageRecord{at: time.Now(), down: true}
	t.totals[event.outageKey]++
	return true
}

// total returns the number of outages counted so far.
func (t *outageTracker) total(route ident.RouteID, isNew bool) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.totals[outageKey{route, isNew}]
}

// takeUnsent returns the outages that this daemon has counted since the last call.
func (t *outageTracker) takeUnsent() []outageEvent {
	t.mu.Lock()
	defer t.mu.Unlock()
	unsent := t.unsent
	t.unsent = nil
	return unsent
}
