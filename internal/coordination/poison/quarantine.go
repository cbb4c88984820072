package poison

import (
	"fmt"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"
)

// Quarantine says that requests with all of a set crash upstreams, or no longer do.
type Quarantine struct {
	Subjects Set
	// Whole says that the set is a whole request.
	Whole bool
	// Strikes is how many times the set has been quarantined.
	Strikes int
	// Released says that the set is no longer quarantined.
	Released bool
	// Since is when it was quarantined or released.
	Since time.Time
}

// quarantine is a quarantined set as this daemon keeps it.
type quarantine struct {
	Quarantine
	// changedAt is when this daemon learned of it, refusedAt when a request was last refused.
	changedAt, refusedAt time.Time
	// probing says that a probe of this daemon is on its way.
	probing bool
}

// end returns the end of the term, after which the set is probed.
func (q *quarantine) end() time.Time {
	term := quarantineTerm
	for n := 1; n < q.Strikes && term < maxTerm; n++ {
		term *= 2
	}
	return q.Since.Add(min(term, maxTerm))
}

// replaces reports whether q is newer than what is known of the same set.
func (q *Quarantine) replaces(known *Quarantine) bool {
	if q.Strikes != known.Strikes {
		return q.Strikes > known.Strikes
	}
	if q.Released != known.Released {
		return q.Released
	}
	// A daemon of an older release passes on the quarantine of a whole request as one of parts.
	return q.Whole && !known.Whole
}

// QuarantinedError reports a request that must not be sent, because it, or parts of its prompt, crash upstreams.
type QuarantinedError struct {
	Subjects Set
	// Whole says that the request itself is quarantined rather than parts of its prompt.
	Whole bool
	// RetryAfter is the time until such a request may be tried again.
	RetryAfter time.Duration
}

func (e *QuarantinedError) Error() string {
	what := "prompt parts"
	if e.Whole {
		what = "request"
	}
	return fmt.Sprintf("%s %s quarantined for %v", what, e.Subjects.Key(), e.RetryAfter)
}

// Check returns a *QuarantinedError for a request that must not be sent to any upstream.
func (d *Detector) Check(r *Request) error {
	if d.quarantines.Load() == nil {
		return nil
	}
	matching := d.matching(d.subjects(r))
	if len(matching) == 0 {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.check(matching)
}

// matching returns the quarantined sets that the subjects contain.
func (d *Detector) matching(subjects []Hash) []*quarantine {
	index := d.quarantines.Load()
	if index == nil {
		return nil
	}
	var out []*quarantine
	for _, h := range subjects {
		for _, q := range (*index)[h] {
			if q.Subjects.in(subjects) {
				out = append(out, q)
			}
		}
	}
	return out
}

// check returns an error unless all the sets may be probed now.
func (d *Detector) check(matching []*quarantine) error {
	now := time.Now()
	for _, q := range matching {
		end := q.end()
		round := int64(now.Sub(end) / probeRound)
		mine := d.IsProbeTurn == nil || d.IsProbeTurn(q.Subjects.Key(), round)
		if now.Before(end) || q.probing || !mine {
			q.refusedAt = now
			metrics.GetOrCreateCounter("gooseberrywayQuarantineRefusals").Inc()
			if q.Whole {
				metrics.GetOrCreateCounter("gooseberrywayQuarantinedRequestRefusals").Inc()
			}
			return &QuarantinedError{Subjects: q.Subjects, Whole: q.Whole, RetryAfter: max(probeRound, end.Sub(now))}
		}
	}
	return nil
}

// endProbe applies the outcome of a probe. A broken probe quarantines its sets again, before the end of the upstream is
// confirmed.
func (d *Detector) endProbe(probed []*quarantine, o Outcome) {
	if len(probed) == 0 {
		return
	}
	d.mu.Lock()
	now := time.Now()
	for _, q := range probed {
		q.probing = false
		switch o {
		case OutcomeAnswered:
			d.put(Quarantine{Subjects: q.Subjects, Whole: q.Whole, Strikes: q.Strikes, Released: true, Since: now}, "answered probe")
		case OutcomeBroken:
			d.put(Quarantine{Subjects: q.Subjects, Whole: q.Whole, Strikes: q.Strikes + 1, Since: now}, "broken probe")
		default:
		}
	}
	d.mu.Unlock()
	d.notify()
}

// quarantine quarantines a set.
func (d *Detector) quarantine(subjects Set, whole bool, crashes []Incident, now time.Time) {
	strikes := 1
	if known := d.verdicts[subjects.Key()]; known != nil {
		if !known.Released && now.Before(known.end()) {
			return
		}
		strikes = known.Strikes + 1
	}
	for _, i := range crashes {
		klog.InfoS("Crash under a quarantined part", "parts", subjects.Key(), "upstream", i.Upstream.Tag, "request", i.Request,
			"ageMs", now.Sub(i.At).Milliseconds())
	}
	d.put(Quarantine{Subjects: subjects, Whole: whole, Strikes: strikes, Since: now}, "crashes")
}

// put applies a quarantine or a release, unless the same or a newer one is known.
func (d *Detector) put(q Quarantine, source string) {
	key := q.Subjects.Key()
	known := d.verdicts[key]
	if known != nil && !q.replaces(&known.Quarantine) {
		return
	}
	if known == nil && len(d.verdicts) >= maxQuarantines {
		klog.InfoS("Quarantine dropped, there are too many", "parts", key)
		return
	}
	if d.verdicts == nil {
		d.verdicts = map[string]*quarantine{}
	}
	now := time.Now()
	d.verdicts[key] = &quarantine{Quarantine: q, changedAt: now, refusedAt: now}
	klog.InfoS("Quarantine of prompt parts", "parts", key, "whole", q.Whole, "released", q.Released, "strikes", q.Strikes, "source", source,
		"ageMs", now.Sub(q.Since).Milliseconds())
	d.publish()
	if s := d.suspects[q.Subjects[0]]; s != nil && !q.Released {
		d.explain(slices.DeleteFunc(slices.Clone(s.incidents), func(i Incident) bool { return i.At.After(q.Since) }))
	}
}

// publish makes the quarantines visible to requests.
func (d *Detector) publish() {
	index := map[Hash][]*quarantine{}
	n, wholes := 0, 0
	for _, q := range d.verdicts {
		if q.Released {
			continue
		}
		index[q.Subjects[0]] = append(index[q.Subjects[0]], q)
		n++
		if q.Whole {
			wholes++
		}
	}
	d.wholeQuarantines = wholes
	d.updateJudgesWhole()
	metrics.GetOrCreateGauge("gooseberrywayQuarantines", nil).Set(float64(n))
	metrics.GetOrCreateGauge("gooseberrywayQuarantinedRequests", nil).Set(float64(wholes))
	d.version.Add(1)
	if n == 0 {
		d.quarantines.Store(nil)
		return
	}
	d.quarantines.Store(&index)
}

// Version changes whenever a set is quarantined or released.
func (d *Detector) Version() uint64 { return d.version.Load() }

// inSet reports whether the part is in a quarantined set of several parts.
func (d *Detector) inSet(h Hash) bool {
	for _, q := range d.verdicts {
		if !q.Released && len(q.Subjects) > 1 && slices.Contains(q.Subjects, h) {
			return true
		}
	}
	return false
}

// narrow removes a part that was answered from the quarantined sets of several parts: the others have caused the crashes. It
// reports whether there were any.
func (d *Detector) narrow(h Hash) bool {
	if d.quarantines.Load() == nil {
		return false
	}
	var narrowed []*quarantine
	for _, q := range d.verdicts {
		if !q.Released && len(q.Subjects) > 1 && slices.Contains(q.Subjects, h) {
			narrowed = append(narrowed, q)
		}
	}
	for _, q := range narrowed {
		rest := slices.DeleteFunc(slices.Clone(q.Subjects), func(p Hash) bool { return p == h })
		d.put(Quarantine{Subjects: rest, Strikes: q.Strikes, Since: q.Since}, "narrowed")
		d.put(Quarantine{Subjects: q.Subjects, Strikes: q.Strikes, Released: true, Since: time.Now()}, "narrowed")
	}
	return len(narrowed) > 0
}

// expireQuarantines forgets sets whose term ended and with which no request came for as long again, and old releases.
func (d *Detector) expireQuarantines(now time.Time) bool {
	changed := false
	for key, q := range d.verdicts {
		term := q.end().Sub(q.Since)
		if q.Released && now.Sub(q.Since) > releasedTTL || !q.Released && now.Sub(q.end()) > term && now.Sub(q.refusedAt) > term {
			delete(d.verdicts, key)
			changed = true
			klog.InfoS("Quarantine forgotten", "parts", key, "released", q.Released)
		}
	}
	if changed {
		d.publish()
	}
	return changed
}
