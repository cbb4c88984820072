// Package cold keeps what all daemons together send to a cold upstream below the bound of its service, which holds within
// any second. The bound is divided into slots of one request within the window. Which daemon holds which slots follows from
// a rendezvous hash over the active daemons, so that no messages are needed to agree.
package cold

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// Table holds which upstreams are cold and this daemon's slots there. Its exported fields are set before the first call;
// its methods may be called concurrently.
type Table struct {
	Self      ident.DaemonID
	Snapshots *view.Snapshots
	// All daemons together may send a cold upstream its published rate times Overage, and Slack requests more, within a
	// second. Both 0 mean no such bound.
	Overage, Slack float64

	mu        sync.Mutex
	upstreams map[ident.UpstreamID]*upstream
	// loadedAt is when the first list of upstreams was applied; zero before.
	loadedAt time.Time
	members  map[ident.DaemonID]member
	// heardAt is when this daemon last heard most of the others.
	heardAt time.Time
	// divisions are the lists of daemons over which slots were divided within settleTime, the present one last. version
	// changes with them.
	divisions []division
	version   int
}

// upstream is what is known of one incarnation of an upstream.
type upstream struct {
	registration *view.Upstream
	// until is when the upstream is warm; zero if it was never cold.
	until time.Time
	// chosen is the number of choices that have not begun, sent holds when requests of this daemon were sent within the
	// window.
	chosen int
	sent   []time.Time
	share  share
}

// bounded reports whether the settings have a bound.
func (t *Table) bounded() bool { return t.Overage > 0 || t.Slack > 0 }

// Bounds reports whether coldness bounds the requests to upstreams of a service.
func (t *Table) Bounds(id view.ServiceID) bool { return t.bounded() && t.service(id) != nil }

// service returns the service if it publishes a rate, or nil.
func (t *Table) service(id view.ServiceID) *view.Service {
	c := t.Snapshots.Config()
	if c == nil || c.Services[id] == nil || c.Services[id].ColdRate <= 0 {
		return nil
	}
	return c.Services[id]
}

// slots returns the number of slots of a cold upstream of the service, which all daemons share.
func (t *Table) slots(s *view.Service) int {
	bound := min(float64(s.ColdRate)*t.Overage+t.Slack, maxSlots)
	if bound < 1 {
		return 0
	}
	return max(1, int(bound*usableShare))
}

// ApplyList applies the published list of upstreams and forgets those that it lacks, unless they have requests: one whose
// registration can't be read may be listed again at once.
func (t *Table) ApplyList() {
	if !t.bounded() {
		return
	}
	list := t.Snapshots.Upstreams()
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if t.loadedAt.IsZero() && len(list.ByID) > 0 {
		t.loadedAt = now
	}
	for id, u := range list.ByID {
		if service := t.service(u.Service); service != nil {
			t.upstream(u, service)
		} else {
			delete(t.upstreams, id)
		}
	}
	for id, s := range t.upstreams {
		if list.ByID[id] == nil && s.idle(now) {
			delete(t.upstreams, id)
		}
	}
}

// idle reports whether no request of this daemon is chosen or was sent within the window.
func (s *upstream) idle(now time.Time) bool {
	return s.chosen == 0 && !slices.ContainsFunc(s.sent, func(at time.Time) bool { return now.Sub(at) < window })
}

// upstream returns the state of an upstream, updated from the registration if that is newer than the known one. The caller
// holds t.mu.
func (t *Table) upstream(u *view.Upstream, service *view.Service) *upstream {
	s := t.upstreams[u.ID]
	known := s != nil && s.registration.Incarnation == u.Incarnation
	switch {
	case s != nil && u.Offset < s.registration.Offset, known && s.registration == u:
		return s
	case !known:
		s = &upstream{}
		if t.upstreams == nil {
			t.upstreams = map[ident.UpstreamID]*upstream{}
		}
		t.upstreams[u.ID] = s
	}
	before, old := s.until, s.registration
	s.registration = u
	switch end := u.SeenAt.Add(u.ColdFor); {
	case u.ColdStated && old != nil && u.Sequence > 0 && u.Sequence < old.Sequence:
		s.until = laterOf(s.until, end)
	case u.ColdStated:
		s.until = end
	case old == nil && !t.loadedAt.IsZero() && u.SeenAt.Sub(t.loadedAt) > startupTime:
		s.until = u.SeenAt.Add(service.ColdStart)
	}
	if now := time.Now(); s.until.After(now) || before.After(now) {
		klog.InfoS("Coldness of an upstream", "upstream", u.ID, "service", u.Service, "coldMs", max(0, s.until.Sub(now).Milliseconds()),
			"beforeMs", max(0, before.Sub(now).Milliseconds()), "stated", u.ColdStated, "sequence", u.Sequence, "offset", u.Offset,
			"slots", t.slots(service), "held", t.held(u.ID, s, t.slots(service), now))
	}
	return s
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// cold returns the state of the upstream and this daemon's slots there if coldness bounds the requests to it now, or nil.
// The caller holds t.mu.
func (t *Table) cold(u *view.Upstream, now time.Time) (s *upstream, held int) {
	service := t.service(u.Service)
	if service == nil {
		return nil, 0
	}
	s = t.upstream(u, service)
	if !now.Before(s.until) {
		return nil, 0
	}
	s.sent = slices.DeleteFunc(s.sent, func(at time.Time) bool { return now.Sub(at) >= window })
	return s, t.held(u.ID, s, t.slots(service), now)
}

// Wait returns how long this daemon has to wait before it may send a request to the upstream, and the requests a second
// that all daemons together may send it. limited is false if coldness sets no bound now.
func (t *Table) Wait(u *view.Upstream) (wait time.Duration, rate ident.RequestsPerSecond, limited bool) {
	if !t.bounded() {
		return 0, 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	s, held := t.cold(u, now)
	if s == nil {
		return 0, 0, false
	}
	rate = ident.RequestsPerSecond(float64(t.slots(t.service(u.Service))) / window.Seconds())
	switch {
	case s.chosen+len(s.sent) < held:
		return 0, rate, true
	case held > 0 && len(s.sent) > 0:
		wait = s.sent[0].Add(window).Sub(now)
	default:
		wait = window
	}
	return min(wait, s.until.Sub(now)), rate, true
}

// Take takes a slot of the upstream for a choice. ok is false if this daemon has none left now. charged is false if
// coldness sets no bound now, or if u is an older incarnation; otherwise Begin or Return has to follow.
func (t *Table) Take(u *view.Upstream) (ok, charged bool) {
	if !t.bounded() {
		return true, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s, held := t.cold(u, time.Now())
	if s == nil {
		return true, false
	}
	if s.chosen+len(s.sent) >= held {
		metrics.GetOrCreateCounter(`gooseberrywayColdRequests{outcome="held"}`).Inc()
		return false, false
	}
	if s.registration.Incarnation != u.Incarnation {
		// The upstream was chosen by a registration that has been replaced since. Its request counts when it is sent.
		return true, false
	}
	s.chosen++
	return true, true
}

// Begin records that the request of a choice is sent now. One that was not charged counts as well if the upstream has turned
// cold since.
func (t *Table) Begin(u *view.Upstream, charged bool) {
	if !t.bounded() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	s := t.charged(u)
	switch {
	case s != nil && charged:
		s.chosen--
	default:
		if s, _ = t.cold(u, now); s == nil {
			return
		}
	}
	s.sent = append(s.sent, now)
	metrics.GetOrCreateCounter(`gooseberrywayColdRequests{outcome="sent"}`).Inc()
}

// Return gives back the slot of a choice whose request is not sent.
func (t *Table) Return(u *view.Upstream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.charged(u); s != nil {
		s.chosen--
	}
}

// charged returns the state of the upstream if it has choices, or nil.
func (t *Table) charged(u *view.Upstream) *upstream {
	if s := t.upstreams[u.ID]; s != nil && s.registration.Incarnation == u.Incarnation && s.chosen > 0 {
		return s
	}
	return nil
}

// Use is what a daemon knows of a cold upstream: how much longer it is cold, the slots of all daemons, those of this
// daemon, and how many of these are in use.
type Use struct {
	Upstream          ident.UpstreamID
	ColdFor           time.Duration
	Slots, Held, Used int
}

// Uses returns the cold upstreams, ordered by id.
func (t *Table) Uses() []Use {
	if !t.bounded() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	var out []Use
	for id, known := range t.upstreams {
		if s, held := t.cold(known.registration, now); s != nil {
			out = append(out, Use{
				Upstream: id, ColdFor: s.until.Sub(now), Held: held, Used: s.chosen + len(s.sent), Slots: t.slots(t.service(s.registration.Service)),
			})
		}
	}
	slices.SortFunc(out, func(a, b Use) int { return strings.Compare(string(a.Upstream), string(b.Upstream)) })
	return out
}
