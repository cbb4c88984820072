package poison

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// Liveness is the result of a check whether an upstream still runs.
type Liveness uint8

// Results of a check.
const (
	// LivenessUnknown: the upstream can't be reached.
	LivenessUnknown Liveness = iota
	// LivenessAlive: the upstream accepts connections.
	LivenessAlive
	// LivenessEnded: nothing listens at the upstream's address.
	LivenessEnded
)

// Detector collects evidence and keeps the quarantined parts. Its exported fields are set before the first call; its methods
// may be called concurrently.
type Detector struct {
	// Snapshots holds the registered upstreams; nil if only ApplyList tells of them.
	Snapshots *view.Snapshots
	// CheckLiveness checks whether an upstream still runs. It may take some hundred milliseconds.
	CheckLiveness func(u *view.Upstream) Liveness
	// IsLeaving, if set, reports whether an upstream has announced its end other than in its registration.
	IsLeaving func(u *view.Upstream) bool
	// OnChange, if set, is called without locks when peers should learn of news.
	OnChange func()
	// NewsDelay returns how long news from peers may take; nil for a small fleet.
	NewsDelay func() time.Duration
	// IsProbeTurn reports whether it is this daemon's turn to probe a set of parts in a round; nil for always.
	IsProbeTurn func(key string, round int64) bool

	// quarantines are the sets in quarantine by one of their subjects; nil if there are none.
	quarantines atomic.Pointer[map[Hash][]*quarantine]
	// judgesWhole says that whole requests are under suspicion or in quarantine.
	judgesWhole atomic.Bool
	// version changes with the quarantines.
	version atomic.Uint64

	mu       sync.Mutex
	suspects map[Hash]*suspect
	// wholeSuspects and wholeQuarantines count the whole requests under suspicion and in quarantine.
	wholeSuspects, wholeQuarantines int
	// pending holds the requests that broke at upstreams that are not known to have ended.
	pending map[UpstreamKey]*pendingUpstream
	// ends are the known ends of upstreams, in the order of time.
	ends []upstreamEnd
	// verdicts holds the quarantined sets, and those that were released lately, by their key.
	verdicts map[string]*quarantine
	// answers and olderAnswers hold when requests with a part were last answered. Answers to whole requests are remembered only with
	// the evidence against them.
	answers, olderAnswers map[Hash]time.Time
	answersSince          time.Time
	// idleTurn is the position of IdleNews among the quarantines, newsTurn that of News among the incidents that don't fit.
	idleTurn, newsTurn int
}

// pendingUpstream holds the requests that broke at an upstream.
type pendingUpstream struct {
	upstream *view.Upstream
	breaks   []pendingBreak
	// draining says that the upstream announced its end.
	draining bool
	// checkedAt is when liveness was found, checking says that a check runs.
	checkedAt time.Time
	liveness  Liveness
	checking  bool
	// endedAt is when the upstream was found to have ended; zero if it was not.
	endedAt time.Time
	// touchedAt is when a request last broke.
	touchedAt time.Time
}

type pendingBreak struct {
	fingerprint Hash
	parts       []Hash
	at          time.Time
}

// subjects returns what is judged of a request.
func (d *Detector) subjects(r *Request) []Hash {
	if !d.judgesWhole.Load() {
		return r.Parts
	}
	return append(slices.Clip(r.Parts), r.Fingerprint())
}

// broken records a request that broke at an upstream and has that upstream checked.
func (d *Detector) broken(a *Attempt) {
	subjects, fingerprint := d.subjects(a.request), a.request.Fingerprint()
	d.mu.Lock()
	p := d.pendingAt(a.upstream)
	if p == nil || p.draining || len(d.matching(subjects)) > 0 {
		d.mu.Unlock()
		return
	}
	p.touchedAt = a.brokeAt
	b := pendingBreak{fingerprint, a.request.Parts, a.brokeAt}
	news := false
	if p.endedAt.IsZero() {
		p.add(b)
	} else {
		news = d.addIncidents(p, []pendingBreak{b})
	}
	check := d.CheckLiveness != nil && !p.checking && p.endedAt.IsZero()
	p.checking = p.checking || check
	d.mu.Unlock()
	if news {
		d.notify()
	}
	if check {
		go d.checkLiveness(a.upstream)
	}
}

// add adds a request in place of those whose window has passed. If there are too many, it is dropped.
func (p *pendingUpstream) add(b pendingBreak) {
	p.breaks = slices.DeleteFunc(p.breaks, func(o pendingBreak) bool { return b.at.Sub(o.at) > endWindow })
	if len(p.breaks) < maxPendingBreaks {
		p.breaks = append(p.breaks, b)
	}
}

// pendingAt returns the entry of the upstream, or nil if there are too many.
func (d *Detector) pendingAt(u *view.Upstream) *pendingUpstream {
	key := keyOf(u)
	p := d.pending[key]
	if p == nil && len(d.pending) < maxPendingUpstreams {
		if d.pending == nil {
			d.pending = map[UpstreamKey]*pendingUpstream{}
		}
		p = &pendingUpstream{upstream: u, draining: d.isLeaving(u)}
		d.pending[key] = p
	}
	return p
}

// isLeaving reports whether an upstream has announced its end or left the list. One that has crashed is listed for some seconds.
func (d *Detector) isLeaving(u *view.Upstream) bool {
	if u.State == view.UpstreamDraining || d.saysItLeaves(u) {
		return true
	}
	if d.Snapshots == nil {
		return false
	}
	current := d.Snapshots.Upstreams().ByID[u.ID]
	return current == nil || current.Incarnation == u.Incarnation && current.State == view.UpstreamDraining
}

func (d *Detector) saysItLeaves(u *view.Upstream) bool { return d.IsLeaving != nil && d.IsLeaving(u) }

func (d *Detector) checkLiveness(u *view.Upstream) {
	d.applyLiveness(u, d.CheckLiveness(u))
}

// MarkRefused records that an upstream's address refused a connection.
func (d *Detector) MarkRefused(u *view.Upstream) { d.applyLiveness(u, LivenessEnded) }

func (d *Detector) applyLiveness(u *view.Upstream, liveness Liveness) {
	d.mu.Lock()
	news := false
	if p := d.pending[keyOf(u)]; p != nil {
		p.checking, p.checkedAt, p.liveness = false, time.Now(), liveness
		if liveness == LivenessEnded {
			news = d.end(p, "refused")
		}
	}
	d.mu.Unlock()
	if news {
		d.notify()
	}
}

// ApplyList looks for upstreams that have ended in the list of those that are registered. An upstream that can't be reached
// and is no longer registered may as well have been cut off.
func (d *Detector) ApplyList(list *view.Upstreams) {
	d.mu.Lock()
	news := false
	for _, p := range d.pending {
		current := list.ByID[p.upstream.ID]
		switch {
		case current == nil && p.liveness == LivenessAlive:
			news = d.end(p, "unregistered") || news
		case current == nil:
		case current.Incarnation != p.upstream.Incarnation:
			news = d.end(p, "restarted") || news
		case current.State == view.UpstreamDraining:
			p.draining = true
		}
	}
	d.mu.Unlock()
	if news {
		d.notify()
	}
}

// end records that an upstream has ended and reports whether peers should learn of it.
func (d *Detector) end(p *pendingUpstream, evidence string) bool {
	p.draining = p.draining || d.saysItLeaves(p.upstream)
	if p.draining || !p.endedAt.IsZero() {
		return false
	}
	now := time.Now()
	p.endedAt = now
	breaks := slices.DeleteFunc(p.breaks, func(b pendingBreak) bool { return now.Sub(b.at) > endWindow })
	p.breaks = nil
	if len(breaks) == 0 {
		return false
	}
	klog.InfoS("Upstream ended under requests", "upstream", p.upstream.ID, "incarnation", p.upstream.Incarnation,
		"requests", len(breaks), "evidence", evidence, "sinceBreakMs", now.Sub(breaks[0].at).Milliseconds())
	metrics.GetOrCreateCounter("gooseberrywayUpstreamCrashes").Inc()
	return d.addIncidents(p, breaks)
}

// answered records that a request was answered in full.
func (d *Detector) answered(r *Request, now time.Time) {
	subjects := d.subjects(r)
	if len(subjects) == 0 {
		return
	}
	d.mu.Lock()
	d.rotateAnswers(now)
	for _, h := range r.Parts {
		if _, known := d.answers[h]; known || len(d.answers) < maxAnswers {
			d.answers[h] = now
		}
	}
	news := false
	for _, h := range subjects {
		if s := d.suspects[h]; s != nil {
			news = s.answer(now, now) || news
		}
		news = d.narrow(h) || news
	}
	d.mu.Unlock()
	if news {
		d.notify()
	}
}

func (d *Detector) rotateAnswers(now time.Time) {
	if d.answers == nil || now.Sub(d.answersSince) > answerGeneration {
		d.olderAnswers, d.answers, d.answersSince = d.answers, map[Hash]time.Time{}, now
	}
}

// lastAnswer returns when a request with the subject was last answered as far as is known; zero if it wasn't.
func (d *Detector) lastAnswer(h Hash, now time.Time) time.Time {
	at := d.ownAnswer(h, now)
	if s := d.suspects[h]; s != nil && s.answeredAt.After(at) {
		at = s.answeredAt
	}
	return at
}

// ownAnswer returns when this daemon last had an answer to a request with the part; zero if it doesn't know of any.
func (d *Detector) ownAnswer(h Hash, now time.Time) time.Time {
	d.rotateAnswers(now)
	if at, ok := d.answers[h]; ok {
		return at
	}
	return d.olderAnswers[h]
}

// Tick quarantines the subjects against which there is enough evidence, and forgets what is out of date. It is called several
// times per second.
func (d *Detector) Tick() {
	d.mu.Lock()
	now := time.Now()
	for key, p := range d.pending {
		if !p.checking && now.Sub(p.touchedAt) > endWindow {
			delete(d.pending, key)
		}
	}
	for h, s := range d.suspects {
		if s.expire(now); len(s.incidents) == 0 && now.Sub(s.touchedAt) > 2*answerGeneration {
			d.deleteSuspect(h)
		}
	}
	changed := d.condemn(now)
	changed = d.expireQuarantines(now) || changed
	d.mu.Unlock()
	if changed {
		d.notify()
	}
}

func (d *Detector) notify() {
	if d.OnChange != nil {
		d.OnChange()
	}
}
