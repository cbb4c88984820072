package view

import (
	"maps"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Evacuation is an operator's request that the upstreams of a failure domain get no requests, or, if Ended is set, the end of that request.
type Evacuation struct {
	FailureDomain ident.FailureDomain
	Ended         bool
	// Offset is the position of the record in the topic, Order that of the newest record that asked for the evacuation.
	Offset, Order ident.Offset
	// BegunAt is when the evacuation was seen to begin; zero if it may have begun long before. EndedAt is when it ended.
	BegunAt, EndedAt time.Time
}

func (*Evacuation) isChange() {}

// Age returns how long the evacuation has lasted; false if it may have begun long ago.
func (e *Evacuation) Age(now time.Time) (time.Duration, bool) {
	if e.BegunAt.IsZero() {
		return 0, false
	}
	return now.Sub(e.BegunAt), true
}

// Evacuations returns the newest known state of each failure domain that was evacuated. The caller must not change the map.
func (s *Snapshots) Evacuations() map[ident.FailureDomain]Evacuation {
	if all := s.evacuations.Load(); all != nil {
		return *all
	}
	return nil
}

// Evacuation returns the evacuation of a failure domain that is in force; false if there is none.
func (s *Snapshots) Evacuation(domain ident.FailureDomain) (Evacuation, bool) {
	e, ok := s.Evacuations()[domain]
	return e, ok && !e.Ended
}

// IsEvacuated reports whether an evacuation of the failure domain is in force.
func (s *Snapshots) IsEvacuated(domain ident.FailureDomain) bool {
	_, ok := s.Evacuation(domain)
	return ok
}

// SetEvacuation publishes the beginning or the end of an evacuation unless the same or a newer record is known. It returns what was known
// before, and whether that was replaced. At the same position the end is newer. The end of an evacuation that isn't known changes nothing.
func (s *Snapshots) SetEvacuation(e Evacuation) (before Evacuation, replaced bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before, known := s.Evacuations()[e.FailureDomain]
	if !known && e.Ended || known && !e.replaces(&before) {
		return before, false
	}
	switch {
	case e.Ended:
		e.Order, e.BegunAt = before.Order, before.BegunAt
	case known && !before.Ended:
		e.Order, e.BegunAt = e.Offset, before.BegunAt
	default:
		e.Order = e.Offset
	}
	all := maps.Clone(s.Evacuations())
	if all == nil {
		all = map[ident.FailureDomain]Evacuation{}
	}
	all[e.FailureDomain] = e
	s.evacuations.Store(&all)
	return before, true
}

func (e *Evacuation) replaces(known *Evacuation) bool {
	if e.Ended && known.Ended {
		return false
	}
	return e.Offset > known.Offset || e.Offset == known.Offset && e.Ended
}

// IsCopyOf reports whether e, of a later era, is the record that began an evacuation whose end is known: the restored copy is older than
// that end, and has the record at its old number.
func (e *Evacuation) IsCopyOf(known *Evacuation) bool {
	return !e.Ended && known.Ended && e.Offset.Era() > known.Order.Era() && e.Offset.Number() == known.Order.Number()
}
