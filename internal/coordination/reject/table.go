// Package reject keeps upstreams from falling over that bear only so many rejections a second from all daemons together. An
// upstream says so in its responses, each of which only one daemon sees; heartbeats tell the others. The upstream's slots
// are divided among the active daemons, and so is a part of the rejections that it bears: a daemon sends beyond its places
// only while slots are free, and only as many requests whose fate it doesn't know. After a rejection it sends less.
package reject

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/rhash"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// Table holds the rejection limits in force and this daemon's shares of them. Its exported fields are set before the first
// call; its methods may be called concurrently.
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
	jitter      *rand.Rand
}

// limit is the rejection limit of one incarnation of an upstream.
type limit struct {
	upstream    ident.UpstreamID
	service     view.ServiceID
	incarnation ident.Incarnation
	slots       int
	// perSecond is the number of rejections within a second above which the upstream falls over.
	perSecond float64
	// observedAt is when a daemon received the newest response with this statement. changedHereAt is when a response to
	// this daemon last changed what is known, zero for never, and toldAt when peers were last told.
	observedAt, changedHereAt, toldAt time.Time
	// confirmedAt is when a response or a holder of a share last confirmed the limit.
	confirmedAt time.Time
	// lifted says that the upstream no longer names a limit.
	lifted bool
	// presumed says that only other upstreams of the service have named a limit.
	presumed bool
	share    share
	backoff  backoff
}

// Observe applies what a response of the upstream says. began is when the request was sent: a response to a request that
// is older than the last named limit doesn't lift the limit.
func (t *Table) Observe(u *view.Upstream, began time.Time, statement view.RejectionStatement) {
	if t.observe(u, began, statement) && t.OnChange != nil {
		t.OnChange()
	}
}

// observe reports whether the response changed what is known.
func (t *Table) observe(u *view.Upstream, began time.Time, statement view.RejectionStatement) bool {
	if _, none := statement.(*view.NoRejectionLimit); none && !t.InForce() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	switch s := statement.(type) {
	case *view.RejectionLimit:
		// Heartbeats carry limits in single precision.
		changed := t.apply(u, float64(float32(s.PerSecond)), now, "response")
		l := t.limits[u.ID]
		l.confirmedAt = now
		if changed {
			l.changedHereAt = now
		}
		return changed
	case *view.NoRejectionLimit:
		l := t.current(u)
		if l == nil || l.lifted || !began.After(l.observedAt) {
			return false
		}
		t.lift(l, now, "response")
		l.changedHereAt = now
		return true
	case *view.InvalidRejectionLimit:
		klog.InfoS("Rejection limit of an upstream can't be read", "upstream", u.ID, "value", s.Value)
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
func (t *Table) apply(u *view.Upstream, perSecond float64, observedAt time.Time, source string) bool {
	l := t.current(u)
	if l != nil && !l.lifted && !l.presumed && l.perSecond == perSecond {
		l.observedAt = observedAt
		return false
	}
	klog.InfoS("Upstream names a rejection limit", "upstream", u.ID, "limit", perSecond, "source", source,
		"ageMs", time.Since(observedAt).Milliseconds())
	countNews(source, "named")
	if l == nil {
		l = t.add(u)
	}
	l.perSecond, l.lifted, l.presumed, l.observedAt, l.confirmedAt = perSecond, false, false, observedAt, time.Now()
	t.updateShare(l)
	t.countInForce()
	return true
}

// add adds a limit for the upstream's incarnation. The caller holds t.mu.
func (t *Table) add(u *view.Upstream) *limit {
	l := &limit{upstream: u.ID, service: u.Service, incarnation: u.Incarnation, slots: slots(u)}
	if t.limits == nil {
		t.limits = map[ident.UpstreamID]*limit{}
	}
	t.limits[u.ID] = l
	return l
}

// presume returns a limit for an upstream that no daemon has heard of yet, the lowest of those of its service, or nil: an
// upstream that starts again names its limit only once it answers. The caller holds t.mu.
func (t *Table) presume(u *view.Upstream) *limit {
	var lowest *limit
	for _, l := range t.limits {
		if l.service == u.Service && !l.lifted && !l.presumed && (lowest == nil || l.perSecond < lowest.perSecond) {
			lowest = l
		}
	}
	if lowest == nil {
		return nil
	}
	perSecond := lowest.perSecond
	l := t.add(u)
	l.perSecond, l.presumed, l.confirmedAt = perSecond, true, time.Now()
	t.updateShare(l)
	return l
}

// lift records that an upstream no longer names a limit. The caller holds t.mu.
func (t *Table) lift(l *limit, observedAt time.Time, source string) {
	klog.InfoS("Upstream lifts its rejection limit", "upstream", l.upstream, "limit", l.perSecond, "source", source,
		"presumed", l.presumed)
	countNews(source, "lifted")
	l.lifted, l.presumed, l.observedAt, l.share, l.backoff = true, false, observedAt, share{}, backoff{}
	t.countInForce()
}

// countInForce updates the number of limits in force. The caller holds t.mu.
func (t *Table) countInForce() {
	n := int64(0)
	for _, l := range t.limits {
		if !l.lifted && !l.presumed {
			n++
		}
	}
	t.inForce.Store(n)
	metrics.GetOrCreateGauge("gooseberrywayRejectionLimits", nil).Set(float64(n))
}

// SetMembers sets the daemons that callers are sent to, among which shares are divided, and forgets limits that nothing
// confirms. It is called at every heartbeat.
func (t *Table) SetMembers(members []rhash.Node) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if n := len(members); n >= t.peakMembers || now.Sub(t.peakAt) > memberMemory {
		t.peakMembers, t.peakAt = n, now
	}
	t.members = slices.Clone(members)
	named := t.namedServices()
	for id, l := range t.limits {
		switch {
		case l.presumed && !named[l.service], l.lifted && !named[l.service] && now.Sub(l.observedAt) > liftedTTL:
			delete(t.limits, id)
		case !l.lifted && !l.presumed && !l.share.held() && now.Sub(l.confirmedAt) > confirmTTL:
			klog.InfoS("Rejection limit of an upstream expires", "upstream", id, "limit", l.perSecond)
			countNews("none", "expired")
			delete(t.limits, id)
		case !l.lifted:
			t.updateShare(l)
		}
	}
	t.countInForce()
}

// namedServices returns the services of which an upstream names a limit. The caller holds t.mu.
func (t *Table) namedServices() map[view.ServiceID]bool {
	out := map[view.ServiceID]bool{}
	for _, l := range t.limits {
		if !l.lifted && !l.presumed {
			out[l.service] = true
		}
	}
	return out
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

// LimitInForce is a rejection limit and this daemon's share.
type LimitInForce struct {
	Upstream  ident.UpstreamID
	PerSecond float64
	// Places is the number of requests that this daemon may have at the upstream whatever the others do.
	Places int
}

// Limits returns the limits in force, ordered by upstream.
func (t *Table) Limits() []LimitInForce {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []LimitInForce
	for id, l := range t.limits {
		if !l.lifted && !l.presumed {
			out = append(out, LimitInForce{Upstream: id, PerSecond: l.perSecond, Places: l.share.places})
		}
	}
	slices.SortFunc(out, func(a, b LimitInForce) int { return strings.Compare(string(a.Upstream), string(b.Upstream)) })
	return out
}

func countNews(source, change string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`gooseberrywayRejectionLimitNews{source=%q,change=%q}`, source, change)).Inc()
}

func countRejection() { metrics.GetOrCreateCounter("gooseberrywayLimitedRejections").Inc() }
