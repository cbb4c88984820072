package feed

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
)

// namedAt returns when a version that is learnt now was named, and whether that was observed. A peer that passes it on may have
// started after the naming; if it observed that, its heartbeats tell. A version that the store gives may have been named at any time since
// the read before, unless the store held this read until then and the process wasn't paused meanwhile. An outage of the store isn't part of
// that time.
func (f *Follower) namedAt(s *topicState, r *extern.KeyedRecord, passedOn bool) (time.Time, bool) {
	switch {
	case !s.loaded:
		return s.checkedAt.Add(-f.InitialVersionAge), false
	case passedOn:
		return later(s.checkedAt, r.SeenAt.Add(-f.InitialVersionAge)), false
	}
	now := time.Now()
	unreadFor := s.unreadFor
	if pausedAt, ok := f.pauses.justResumed(now); ok {
		unreadFor = max(unreadFor, now.Sub(pausedAt))
	}
	return now.Add(-min(unreadFor, f.InitialVersionAge)), unreadFor <= maxObservationGap
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
