package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"k8s.io/klog/v2"
)

// suspect is the evidence against a subject.
type suspect struct {
	// whole says that the subject is a whole request.
	whole     bool
	incidents []Incident
	// own are the incidents that this daemon saw itself.
	own map[RequestHash]bool
	// answeredAt is when a request with the subject was last answered anywhere, ownAnsweredAt when here.
	answeredAt, ownAnsweredAt time.Time
	// logged is the number of crashes that was last logged.
	logged int
	// toldAt is when the answer was first told to peers, touchedAt when the evidence last changed.
	toldAt, touchedAt time.Time
}

// answer applies an answer and reports whether peers should learn of it: it clears incidents that they may still count.
func (s *suspect) answer(at, now time.Time) bool {
	s.ownAnsweredAt = at
	open := len(s.incidents) > 0
	s.clear(at, now)
	if open {
		s.toldAt = now
	}
	return open
}

// clear removes the incidents before an answer.
func (s *suspect) clear(answeredAt, now time.Time) {
	if !answeredAt.After(s.answeredAt) {
		return
	}
	s.answeredAt = answeredAt
	s.incidents = slices.DeleteFunc(s.incidents, func(i Incident) bool { return !i.At.After(answeredAt) })
	s.touchedAt = now
}

// crashes returns the incidents that count as separate crashes: of different upstreams and, if the subject is a part, of different
// requests, apart in time and not among more ends of other upstreams, which have another cause. Of a subject with maxIncidents or
// more, not all are known.
func (d *Detector) crashes(s *suspect) []Incident {
	var out []Incident
	spacing := crashSpacing
	if s.whole {
		spacing = wholeCrashSpacing
	}
	for _, i := range s.incidents {
		if len(s.incidents) < maxIncidents && 2*s.upstreamsAt(i.At) < d.endsAt(i.At) {
			continue
		}
		known := slices.ContainsFunc(out, func(o Incident) bool {
			return !s.whole && o.Request == i.Request || o.Upstream == i.Upstream || i.At.Sub(o.At) < spacing
		})
		if !known {
			out = append(out, i)
		}
	}
	return out
}

// upstreamsAt returns how many upstreams ended at about that time under requests with the subject.
func (s *suspect) upstreamsAt(at time.Time) int {
	var ended []UpstreamKey
	for _, i := range s.incidents {
		if i.At.Sub(at).Abs() < crashSpacing && !slices.Contains(ended, i.Upstream) {
			ended = append(ended, i.Upstream)
		}
	}
	return len(ended)
}

// upstreamEnd is when an upstream ended.
type upstreamEnd struct {
	upstream UpstreamKey
	at       time.Time
	// explained says that a quarantined subject has caused it.
	explained bool
}

// recordEnd records the end of an upstream, in the order of time. It reports whether a quarantined subject has caused it.
func (d *Detector) recordEnd(i Incident) (explained bool) {
	if known := slices.IndexFunc(d.ends, func(e upstreamEnd) bool { return e.upstream == i.Upstream }); known >= 0 {
		return d.ends[known].explained
	}
	at, _ := slices.BinarySearchFunc(d.ends, i.At, func(e upstreamEnd, t time.Time) int { return e.at.Compare(t) })
	d.ends = slices.Insert(d.ends, at, upstreamEnd{upstream: i.Upstream, at: i.At})
	if len(d.ends) > maxEnds {
		d.ends = slices.Delete(d.ends, 0, 1)
	}
	return false
}

// endsAt returns how many upstreams ended at about that time.
func (d *Detector) endsAt(at time.Time) int {
	byTime := func(e upstreamEnd, t time.Time) int { return e.at.Compare(t) }
	first, _ := slices.BinarySearchFunc(d.ends, at.Add(1-crashSpacing), byTime)
	last, _ := slices.BinarySearchFunc(d.ends, at.Add(crashSpacing), byTime)
	return last - first
}

// required returns how many crashes quarantine the subject with the given ones. It takes more if upstreams also ended in between
// without it, as then many parts have been there at some of the ends.
func (d *Detector) required(s *suspect, crashes []Incident) int {
	n := minCrashes
	if !s.answeredAt.IsZero() {
		n = minCrashesIfAnswered
	}
	if len(crashes) < n {
		return n
	}
	moments := d.momentsBetween(crashes[0].At, crashes[len(crashes)-1].At)
	switch {
	case 3*len(crashes) >= 2*moments:
		return n
	case s.whole:
		// Each is evidence against one request alone, which is seldom at the ends of several upstreams by chance.
		return min(n+extraWholeCrashes, minCrashesIfAnswered)
	case 3*len(crashes) >= moments:
		return n + extraCrashes
	default:
		return n + manyExtraCrashes
	}
}

// momentsBetween returns at how many separate times upstreams ended from first to last.
func (d *Detector) momentsBetween(first, last time.Time) int {
	n := 0
	var previous time.Time
	for _, e := range d.ends {
		if !e.explained && !e.at.Before(first) && !e.at.After(last) && (n == 0 || e.at.Sub(previous) >= crashSpacing) {
			n, previous = n+1, e.at
		}
	}
	return n
}

func (s *suspect) expire(now time.Time) {
	s.incidents = slices.DeleteFunc(s.incidents, func(i Incident) bool { return now.Sub(i.At) > evidenceTTL })
	for r := range s.own {
		if !slices.ContainsFunc(s.incidents, func(i Incident) bool { return i.Request == r }) {
			delete(s.own, r)
		}
	}
}

// add adds an incident in the order of time and reports whether it was new.
func (s *suspect) add(i Incident) bool {
	if slices.ContainsFunc(s.incidents, func(o Incident) bool { return o.Request == i.Request && o.Upstream == i.Upstream }) {
		return false
	}
	at, _ := slices.BinarySearchFunc(s.incidents, i, func(o, n Incident) int { return o.At.Compare(n.At) })
	s.incidents = slices.Insert(s.incidents, at, i)
	if len(s.incidents) > maxIncidents {
		s.thin()
	}
	return true
}

// thin removes the incident that is closest to its neighbours, so that the others still show how far apart the crashes were.
func (s *suspect) thin() {
	closest := 1
	for i := 1; i+1 < len(s.incidents); i++ {
		if s.gapAround(i) < s.gapAround(closest) {
			closest = i
		}
	}
	s.incidents = slices.Delete(s.incidents, closest, closest+1)
}

func (s *suspect) gapAround(i int) time.Duration { return s.incidents[i+1].At.Sub(s.incidents[i-1].At) }

// requests returns the requests of the incidents.
func (s *suspect) requests() map[RequestHash]bool {
	out := map[RequestHash]bool{}
	for _, i := range s.incidents {
		out[i.Request] = true
	}
	return out
}

// addIncidents puts requests that broke as their upstream ended, and their parts, under suspicion.
func (d *Detector) addIncidents(p *pendingUpstream, breaks []pendingBreak) bool {
	news := false
	for _, b := range breaks {
		i := Incident{Upstream: keyOf(p.upstream), Request: hashOf(b.fingerprint, b.parts), At: b.at}
		for _, i.Subject = range b.parts {
			news = d.addOwnIncident(i) || news
		}
		i.Subject, i.Whole = b.fingerprint, true
		news = d.addOwnIncident(i) || news
	}
	return news
}

func (d *Detector) addOwnIncident(i Incident) bool {
	s := d.addIncident(i)
	if s == nil {
		return false
	}
	s.own[i.Request] = true
	return true
}

// addIncident adds an incident. It returns nil if the incident is known or the subject was answered after it.
func (d *Detector) addIncident(i Incident) *suspect {
	now := time.Now()
	if now.Sub(i.At) > evidenceTTL || d.recordEnd(i) || d.lastAnswer(i.Subject, now).After(i.At) {
		return nil
	}
	s := d.suspects[i.Subject]
	if s == nil {
		if s = d.newSuspect(&i, now); s == nil {
			return nil
		}
	}
	if !s.add(i) {
		return nil
	}
	s.touchedAt = now
	if crashes := d.crashes(s); len(crashes) > max(1, s.logged) {
		s.logged = len(crashes)
		klog.InfoS("Prompt part under suspicion", "part", i.Subject, "whole", s.whole, "crashes", len(crashes),
			"required", d.required(s, crashes))
	}
	return s
}

// newSuspect returns a new entry for the subject of an incident. If there are too many of its kind, one with the least evidence
// yields; the result is nil if none may.
func (d *Detector) newSuspect(i *Incident, now time.Time) *suspect {
	if d.suspects == nil {
		d.suspects = map[Hash]*suspect{}
	}
	full := len(d.suspects)-d.wholeSuspects >= maxSuspects
	if i.Whole {
		full = d.wholeSuspects >= maxWholeSuspects
	}
	if full && !d.evictSuspect(i.Whole) {
		return nil
	}
	own := d.ownAnswer(i.Subject, now)
	s := &suspect{whole: i.Whole, own: map[RequestHash]bool{}, answeredAt: own, ownAnsweredAt: own}
	if !own.IsZero() {
		s.toldAt = now
	}
	d.suspects[i.Subject] = s
	if i.Whole {
		d.wholeSuspects++
		d.updateJudgesWhole()
	}
	return s
}

func (d *Detector) deleteSuspect(h Hash) {
	if d.suspects[h].whole {
		d.wholeSuspects--
		d.updateJudgesWhole()
	}
	delete(d.suspects, h)
}

func (d *Detector) updateJudgesWhole() { d.judgesWhole.Store(d.wholeSuspects+d.wholeQuarantines > 0) }

func (d *Detector) evictSuspect(whole bool) bool {
	var victim Hash
	least := minCrashes
	for h, s := range d.suspects {
		if n := len(s.incidents); s.whole == whole && n < least {
			victim, least = h, n
		}
		if least <= 1 {
			break
		}
	}
	if least == minCrashes {
		return false
	}
	d.deleteSuspect(victim)
	return true
}

// condemn quarantines the subjects that enough crashes speak against and reports whether there were any. Parts that all the same
// requests had can't be told apart and are quarantined together: only requests with all of them are refused.
func (d *Detector) condemn(now time.Time) bool {
	condemned := false
	for {
		h := d.mostSuspect(now)
		if h == nil {
			return condemned
		}
		s := d.suspects[*h]
		requests := s.requests()
		group := []Hash{*h}
		for other, o := range d.suspects {
			if !s.whole && !o.whole && other != *h && len(group) < maxSetParts && maps.Equal(o.requests(), requests) {
				group = append(group, other)
			}
		}
		d.quarantine(newSet(group), s.whole, d.crashes(s), now)
		d.explain(s.incidents)
		condemned = true
	}
}

// mostSuspect returns the subject with the most evidence among those with enough; nil if there is none.
func (d *Detector) mostSuspect(now time.Time) *Hash {
	delay := minNewsDelay
	if d.NewsDelay != nil {
		delay = max(delay, d.NewsDelay())
	}
	type candidate struct {
		subject  Hash
		evidence int
	}
	var found []candidate
	for h, s := range d.suspects {
		if len(s.incidents) < minCrashesOfMember {
			continue
		}
		crashes := d.crashes(s)
		required := d.required(s, crashes)
		if d.inSet(h) {
			required = min(required, minCrashesOfMember)
		}
		if len(crashes) >= required && now.Sub(crashes[required-1].At) >= delay {
			found = append(found, candidate{h, s.evidence(crashes)})
		}
	}
	if len(found) == 0 {
		return nil
	}
	most := slices.MaxFunc(found, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.evidence, b.evidence), cmp.Compare(a.subject, b.subject))
	})
	return &most.subject
}

// evidence returns the number of different requests that broke with a part, or of crashes under a whole request.
func (s *suspect) evidence(crashes []Incident) int {
	if s.whole {
		return len(crashes)
	}
	return len(s.requests())
}

// explain removes the crashes that a quarantined subject has caused from the evidence against all others.
func (d *Detector) explain(incidents []Incident) {
	caused := map[UpstreamKey]bool{}
	for _, i := range incidents {
		caused[i.Upstream] = true
	}
	for i := range d.ends {
		d.ends[i].explained = d.ends[i].explained || caused[d.ends[i].upstream]
	}
	for _, s := range d.suspects {
		s.incidents = slices.DeleteFunc(s.incidents, func(i Incident) bool { return caused[i.Upstream] })
	}
}
