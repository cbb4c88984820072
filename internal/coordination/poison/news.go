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

// Answer says when a request with a subject under suspicion was last answered.
type Answer struct {
	Subject Hash
	At      time.Time
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

// mostTelling returns the incidents that fit into a message: half of it for those of subjects with the most crashes and without
// answers, the rest in turn.
func (d *Detector) mostTelling(incidents []Incident) []Incident {
	if len(incidents) <= maxNewsIncidents {
		return incidents
	}
	ranks := map[Hash]int{}
	for _, i := range incidents {
		if _, known := ranks[i.Subject]; !known {
			s := d.suspects[i.Subject]
			crashes := d.crashes(s)
			ranks[i.Subject] = len(crashes) - d.required(s, crashes)
		}
	}
	slices.SortFunc(incidents, func(a, b Incident) int {
		return cmp.Or(cmp.Compare(ranks[b.Subject], ranks[a.Subject]), b.At.Compare(a.At))
	})
	first, rest := incidents[:maxNewsIncidents/2], incidents[maxNewsIncidents/2:]
	out := slices.Clone(first)
	for len(out) < maxNewsIncidents {
		d.newsTurn++
		out = append(out, rest[d.newsTurn%len(rest)])
	}
	return out
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
	slices.SortFunc(out, func(a, b Quarantine) int { return strings.Compare(a.Subjects.Key(), b.Subjects.Key()) })
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
		if s := d.suspects[a.Subject]; s != nil {
			s.clear(a.At, now)
		}
		d.narrowIfAfter(a)
	}
	for _, q := range n.Quarantines {
		most := maxSetParts
		if q.Whole {
			most = 1
		}
		if len(q.Subjects) > 0 && len(q.Subjects) <= most && q.Strikes > 0 {
			q.Subjects = newSet(q.Subjects)
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
		if !q.Released && len(q.Subjects) > 1 && slices.Contains(q.Subjects, a.Subject) && a.At.After(q.Since) {
			d.narrow(a.Subject)
			return
		}
	}
}
