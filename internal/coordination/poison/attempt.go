package poison

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// Outcome is what the end of an attempt says about its request.
type Outcome uint8

// Outcomes of an attempt.
const (
	// OutcomeOther says nothing.
	OutcomeOther Outcome = iota
	// OutcomeAnswered: the upstream has answered in full.
	OutcomeAnswered
	// OutcomeBroken: the connection broke.
	OutcomeBroken
)

// Attempt is a request at an upstream.
type Attempt struct {
	detector *Detector
	upstream *view.Upstream
	request  *Request
	// probed are the quarantines whose probe this attempt is.
	probed       []*quarantine
	firstEventAt time.Time
	// brokeAt is when the attempt broke while it could have caused the upstream's end; zero if it did not.
	brokeAt time.Time
	ended   bool
}

// Begin records that a request is about to be sent to an upstream. The error is a *QuarantinedError; the request must not be sent
// then.
func (d *Detector) Begin(u *view.Upstream, r *Request) (*Attempt, error) {
	a := &Attempt{detector: d, upstream: u, request: r}
	if d.quarantines.Load() == nil {
		return a, nil
	}
	subjects := d.subjects(r)
	d.mu.Lock()
	defer d.mu.Unlock()
	matching := d.matching(subjects)
	if err := d.check(matching); err != nil {
		return nil, err
	}
	for _, q := range matching {
		q.probing = true
		klog.InfoS("Probe of a quarantined part", "parts", q.Subjects.Key(), "upstream", u.ID, "strikes", q.Strikes)
	}
	a.probed = matching
	return a, nil
}

// MarkFirstEvent records that a part of the response has come. Calls after the first change nothing.
func (a *Attempt) MarkFirstEvent() {
	if a.firstEventAt.IsZero() {
		a.firstEventAt = time.Now()
	}
}

// End records the outcome. Calls after the first change nothing.
func (a *Attempt) End(o Outcome) {
	if a.ended {
		return
	}
	a.ended = true
	now := time.Now()
	switch {
	case o == OutcomeAnswered:
		a.detector.answered(a.request, now)
	case o == OutcomeBroken && (a.firstEventAt.IsZero() || now.Sub(a.firstEventAt) < answerStartWindow):
		a.brokeAt = now
		a.detector.broken(a)
	}
	a.detector.endProbe(a.probed, o)
}

// MayRetry reports whether the request may be sent to another upstream after this attempt. If the upstream ended under it,
// that takes evidence that its parts are sound, for which MayRetry waits a short time, and that no other upstream has ended under
// the same request.
func (a *Attempt) MayRetry(ctx context.Context) bool {
	if a.brokeAt.IsZero() {
		return true
	}
	deadline := a.brokeAt.Add(retryEvidenceWait)
	for {
		if settled, sound := a.detector.soundAfterBreak(a); settled {
			return sound
		}
		if !time.Now().Before(deadline) {
			klog.InfoS("Request isn't sent again, its upstream ended and its parts have no answer", "upstream", a.upstream.ID,
				"parts", Set(a.request.Parts).Key(), "fingerprint", a.request.Fingerprint())
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(retryEvidenceTick):
		}
	}
}

// soundAfterBreak reports whether the request of a broken attempt is known to be sound, and whether that is settled.
func (d *Detector) soundAfterBreak(a *Attempt) (settled, sound bool) {
	subjects, fingerprint := d.subjects(a.request), a.request.Fingerprint()
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.matching(subjects)) > 0 {
		return true, false
	}
	p := d.pending[keyOf(a.upstream)]
	if p != nil && (p.draining || p.liveness != LivenessEnded && !p.checkedAt.Before(a.brokeAt)) {
		return true, true
	}
	now := time.Now()
	unanswered := slices.ContainsFunc(a.request.Parts, func(h Hash) bool { return d.lastAnswer(h, now).IsZero() })
	repeated := d.crashedElsewhere(fingerprint, a.upstream)
	if repeated && p != nil && !p.endedAt.IsZero() {
		return true, false
	}
	return !unanswered && !repeated, !unanswered && !repeated
}

// crashedElsewhere reports whether another upstream has ended under the request.
func (d *Detector) crashedElsewhere(fingerprint Hash, u *view.Upstream) bool {
	s := d.suspects[fingerprint]
	return s != nil && s.whole && slices.ContainsFunc(s.incidents, func(i Incident) bool { return i.Upstream != keyOf(u) })
}
