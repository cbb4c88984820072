package poison

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// News is what daemons tell each other.
type News struct {
	Incidents   []Incident
	Answers     []Answer
	Quarantines []Quarantine
}

// Answer says when a request with a part under suspicion was last answered.
type Answer struct {
	Part PartHash
	At   time.Time
}

// News returns what to tell the other daemons now. If whole is set, it includes what was told before and what others told, for
// daemons that missed it.
func (d *Detector) News(whole bool) News {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	var n News
	for h, s := range d.suspects {
		for _, i := range s.incidents {
			repeated := whole && (len(s.incidents) > 1 || now.Sub(i.At) < relayTTL)
			if repeated || s.own[i.Request] && now.Sub(s.touchedAt) < newsRepeat {
				n.Incidents = append(n.Incidents, i)
			}
		}
		switch {
		case whole && !s.answeredAt.IsZero() && now.Sub(s.answeredAt) < relayTTL:
			n.Answers = append(n.Answers, Answer{h, s.answeredAt})
		case !s.ownAnsweredAt.IsZero() && now.Sub(s.toldAt) < newsRepeat:
			n.Answers = append(n.Answers, Answer{h, s.ownAnsweredAt})
		}
	}
	n.Incidents = d.mostTelling(n.Incidents)
	slices.SortFunc(n.Answers, func(a, b Answer) int { return b.At.Compare(a.At) })
	n.Answers = n.Answers[:min(len(n.Answers), maxNewsAnswers)]
	n.Quarantines = d.quarantineNews(func(q *quarantine) bool { return whole || now.Sub(q.changedAt) < newsRepeat })
	return n
}

// mostTelling returns the incidents that fit into a message: those of parts with the most crashes and without answers first.
func (d *Detector) mostTelling(incidents []Incident) []Incident {
	if len(incidents) <= maxNewsIncidents {
		return incidents
	}
	rank := func(i Incident) int {
		s := d.suspects[i.Part]
		crashes := d.crashes(s)
		return len(crashes) - d.required(s, crashes)
	}
	slices.SortFunc(incidents, func(a, b Incident) int {
		return cmp.Or(cmp.Compare(rank(b), rank(a)), b.At.Compare(a.At))
	})
	return incidents[:maxNewsIncidents]
}

// Quarantines returns all quarantines in force.
func (d *Detector) Quarantines() []Quarantine {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []Quarantine
	for _, q := range d.verdicts {
		if !q.Released {
			out = append(out, q.Quarantine)
		}
	}
	slices.SortFunc(out, func(a, b Quarantine) int { return strings.Compare(a.Parts.Key(), b.Parts.Key()) })
	return out
}

// IdleNews returns what to tell daemons without traffic, which tell nobody: what has changed lately, and the other quarantines
// in turn, a few each time.
func (d *Detector) IdleNews() News {
	all := d.Quarantines()
	d.mu.Lock()
	defer d.mu.Unlock()
	recent := d.quarantineNews(func(q *quarantine) bool { return time.Since(q.changedAt) < newsRepeat })
	for range min(len(all), maxIdleQuarantines) {
		d.idleTurn++
		recent = append(recent, all[d.idleTurn%len(all)])
	}
	return News{Quarantines: recent}
}

func (d *Detector) quarantineNews(included func(*quarantine) bool) []Quarantine {
	var out []Quarantine
	for _, q := range d.verdicts {
		if included(q) {
			out = append(out, q.Quarantine)
		}
	}
	slices.SortFunc(out, func(a, b Quarantine) int { return b.Since.Compare(a.Since) })
	return out[:min(len(out), maxNewsQuarantines)]
}

// Apply applies what a peer or the store tells.
func (d *Detector) Apply(n News) {
	if len(n.Incidents)+len(n.Answers)+len(n.Quarantines) == 0 {
		return
	}
	d.mu.Lock()
	now := time.Now()
	news := false
	for _, i := range n.Incidents {
		if s := d.addIncident(i); s != nil && !s.ownAnsweredAt.IsZero() {
			// The peer doesn't know of the answer.
			s.toldAt = now
			news = true
		}
	}
	for _, a := range n.Answers {
		if s := d.suspects[a.Part]; s != nil {
			s.clear(a.At, now)
		}
		d.narrowIfAfter(a)
	}
	for _, q := range n.Quarantines {
		if len(q.Parts) > 0 && len(q.Parts) <= maxSetParts && q.Strikes > 0 {
			q.Parts = newSet(q.Parts)
			d.put(q, "peer")
		}
	}
	d.mu.Unlock()
	if news {
		d.notify()
	}
}

// narrowIfAfter narrows the quarantined sets with a part that was answered after they were quarantined.
func (d *Detector) narrowIfAfter(a Answer) {
	for _, q := range d.verdicts {
		if !q.Released && len(q.Parts) > 1 && slices.Contains(q.Parts, a.Part) && a.At.After(q.Since) {
			d.narrow(a.Part)
			return
		}
	}
}
