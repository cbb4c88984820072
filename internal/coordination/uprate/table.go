// Package uprate holds the rates, in requests per second, to which upstreams limit all daemons together. An upstream
// names its limit in its responses, each of which only one daemon sees; heartbeats tell the others. A limit is divided
// into equal shares, each of which one daemon holds: a daemon without a share sends nothing to the upstream. Which
// daemons hold shares follows from a rendezvous hash over the active daemons, so that no messages are needed to agree,
// and a daemon that takes over a share begins with an empty bucket, so that both holders together don't send more.
package uprate

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/rhash"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// Table holds the limits in force and this daemon's shares of them. Its exported fields are set before the first call;
// its methods may be called concurrently.
type Table struct {
	Self ident.DaemonID
	// OnChange, if set, is called without locks after a response has changed what is known of a limit.
	OnChange func()

	// inForce is the number of limits in force, for the path of requests to upstreams without limits.
	inForce atomic.Int64

	mu      sync.Mutex
	limits  map[ident.UpstreamID]*limit
	members []rhash.Node
	// peakMembers is the largest number of members within memberMemory, last seen at peakAt.
	peakMembers int
	peakAt      time.Time
}

// limit is the limit of one incarnation of an upstream.
type limit struct {
	incarnation ident.Incarnation
	rate        ident.RequestsPerSecond
	// observedAt is when a daemon received the newest response with this statement, observedHereAt when this daemon
	// did; the latter is zero if it did not.
	observedAt, observedHereAt time.Time
	// confirmedAt is when a response or a holder of a share last confirmed the limit.
	confirmedAt time.Time
	// lifted says that the upstream no longer names a limit.
	lifted bool
	share  share
}

// Observe applies what a response of the upstream says. began is when the request was sent: a response to a request
// that is older than the last named limit doesn't lift the limit.
func (t *Table) Observe(u *view.Upstream, began time.Time, statement view.LimitStatement) {
	if t.observe(u, began, statement) && t.OnChange != nil {
		t.OnChange()
	}
}

// observe reports whether the response changed what is known.
func (t *Table) observe(u *view.Upstream, began time.Time, statement view.LimitStatement) bool {
	if _, none := statement.(*view.NoLimit); none && t.inForce.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	l := t.current(u)
	switch s := statement.(type) {
	case *view.RateLimit:
		// Heartbeats carry rates in single precision.
		changed := t.apply(u, ident.RequestsPerSecond(float32(s.Rate)), now, "response")
		l = t.limits[u.ID]
		l.observedHereAt, l.confirmedAt = now, now
		return changed
	case *view.NoLimit:
		if l == nil || l.lifted || !began.After(l.observedAt) {
			return false
		}
		t.lift(u, l, now, "response")
		l.observedHereAt = now
		return true
	case *view.InvalidLimit:
		klog.InfoS("Limit of an upstream can't be read", "upstream", u.ID, "value", s.Value)
		countNews("response", "invalid")
	}
	return false
}

// current returns what is known of the upstream's incarnation, or nil. The caller holds t.mu.
func (t *Table) current(u *view.Upstream) *limit {
	if l := t.limits[u.ID]; l != nil && l.incarnation == u.Incarnation {
		return l
	}
	return nil
}

// apply records a limit and reports whether it is new or changes the rate. The caller holds t.mu.
func (t *Table) apply(u *view.Upstream, rate ident.RequestsPerSecond, observedAt time.Time, source string) bool {
	l := t.current(u)
	if l != nil && !l.lifted && l.rate == rate {
		l.observedAt = observedAt
		return false
	}
	before := ident.RequestsPerSecond(-1)
	if l != nil && !l.lifted {
		before = l.rate
	}
	klog.InfoS("Upstream names a limit", "upstream", u.ID, "limit", rate, "before", before, "source", source,
		"ageMs", time.Since(observedAt).Milliseconds())
	countNews(source, "named")
	if l == nil {
		l = &limit{incarnation: u.Incarnation}
		if t.limits == nil {
			t.limits = map[ident.UpstreamID]*limit{}
		}
		t.limits[u.ID] = l
	}
	l.rate, l.lifted, l.observedAt, l.confirmedAt = rate, false, observedAt, time.Now()
	t.updateShare(u.ID, l)
	t.countInForce()
	return true
}

// lift records that an upstream no longer names a limit. The caller holds t.mu.
func (t *Table) lift(u *view.Upstream, l *limit, observedAt time.Time, source string) {
	klog.InfoS("Upstream lifts its limit", "upstream", u.ID, "limit", l.rate, "source", source,
		"namedMs", time.Since(l.observedAt).Milliseconds())
	countNews(source, "lifted")
	l.lifted, l.observedAt, l.share = true, observedAt, share{}
	t.countInForce()
}

// countInForce updates the number of limits in force. The caller holds t.mu.
func (t *Table) countInForce() {
	n := int64(0)
	for _, l := range t.limits {
		if !l.lifted {
			n++
		}
	}
	t.inForce.Store(n)
	metrics.GetOrCreateGauge("gooseberrywayUpstreamLimits", nil).Set(float64(n))
}

// SetMembers sets the daemons that callers are sent to, among which limits are divided, and forgets limits that
// nothing confirms. It is called at every heartbeat.
func (t *Table) SetMembers(members []rhash.Node) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if n := len(members); n >= t.peakMembers || now.Sub(t.peakAt) > memberMemory {
		t.peakMembers, t.peakAt = n, now
	}
	t.members = slices.Clone(members)
	for id, l := range t.limits {
		switch {
		case l.lifted && now.Sub(l.observedAt) > liftedTTL:
			delete(t.limits, id)
		case !l.lifted && !l.share.held && now.Sub(l.confirmedAt) > confirmTTL:
			klog.InfoS("Limit of an upstream expires", "upstream", id, "limit", l.rate)
			countNews("none", "expired")
			delete(t.limits, id)
		case !l.lifted:
			t.updateShare(id, l)
		}
	}
	t.countInForce()
}

// RemoveUnlisted forgets the limits of upstreams that are no longer registered or have restarted.
func (t *Table) RemoveUnlisted(listed map[ident.UpstreamID]*view.Upstream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, l := range t.limits {
		if u := listed[id]; u == nil || u.Incarnation != l.incarnation {
			delete(t.limits, id)
		}
	}
	t.countInForce()
}

func countNews(source, change string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`gooseberrywayUpstreamLimitNews{source=%q,change=%q}`, source, change)).Inc()
}
