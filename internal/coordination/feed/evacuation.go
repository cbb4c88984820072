package feed

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// evacuationRetention is how long an evacuation that a restored store lacks stays in force. Operators write it again in that time
// unless they have ended it, which the store has forgotten as well.
const evacuationRetention = 10 * time.Second

// endsReadPeriod is the shortest time between two complete reads that look for ends of evacuations. A store that has not read as far as a
// peer answers them at once and to no effect.
const endsReadPeriod = time.Second

// unknownEvacuationAge is the age that peers are told of an evacuation that may have begun long ago. It is longer than the settings allow
// prompts to stay.
const unknownEvacuationAge = time.Hour

// applyEvacuation applies a record that begins or ends an evacuation. The caller holds f.mu.
func (f *Follower) applyEvacuation(e *view.Evacuation, r *extern.KeyedRecord, source *Changes) bool {
	e.BegunAt, e.EndedAt = f.begunAt(r, source), time.Now()
	before, replaced := f.Snapshots.SetEvacuation(*e)
	event := "ignored"
	switch {
	case replaced && e.Ended:
		event = "ended"
	case replaced && before.FailureDomain != "" && !before.Ended:
		event = "repeated"
	case replaced:
		event = "begun"
	}
	if replaced {
		delete(f.evacuationsUntil, r.Key)
		f.setSeenAt(*r, e.FailureDomain)
	}
	now := time.Now()
	age, observed := e.Age(now)
	lasted, lastedKnown := before.Age(now)
	klog.InfoS("Evacuation", "failureDomain", e.FailureDomain, "event", event, "offset", r.Offset, "upstreams", f.upstreamsIn(e.FailureDomain),
		"otherUpstreams", len(f.upstreams)-f.upstreamsIn(e.FailureDomain), "ageMs", age.Milliseconds(), "observed", observed,
		"lastedMs", lasted.Milliseconds(), "lastedKnown", lastedKnown, "peer", source.From, "storeAgeMs", f.StoreAge().Milliseconds())
	countEvacuation(event)
	return replaced && event != "repeated"
}

// setSeenAt has peers that learn of an evacuation here count its age from when it began, not from when this daemon learned of it.
func (f *Follower) setSeenAt(r extern.KeyedRecord, domain ident.FailureDomain) {
	e, ok := f.Snapshots.Evacuation(domain)
	if !ok {
		return
	}
	if r.SeenAt = e.BegunAt; r.SeenAt.IsZero() {
		r.SeenAt = time.Now().Add(-unknownEvacuationAge)
	}
	f.state(extern.TopicOperators).newest[r.Key] = r
}

// begunAt returns when an evacuation that is learnt now was asked for; zero if that may have been long ago.
func (f *Follower) begunAt(r *extern.KeyedRecord, source *Changes) time.Time {
	s := f.state(extern.TopicOperators)
	at, observed := f.namedAt(s, r, source.passedOn)
	switch {
	case s.loaded && source.passedOn:
		return r.SeenAt
	case observed && !source.Complete:
		return at
	default:
		return time.Time{}
	}
}

func (f *Follower) upstreamsIn(domain ident.FailureDomain) int {
	n := 0
	for _, u := range f.upstreams {
		if u.FailureDomain == domain {
			n++
		}
	}
	return n
}

func countEvacuation(event string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`gooseberrywayEvacuationEvents{event=%q}`, event)).Inc()
}

// endUnlistedEvacuations ends the evacuations that a complete list lacks. Those that a restored store lacks are retained, and move to an
// offset of the new era, so that peers that ask for its records get them.
func (f *Follower) endUnlistedEvacuations(s *topicState, listed map[string]bool, next ident.Offset) bool {
	changed := false
	for key, r := range s.newest {
		e, ok := f.inForce(&r)
		if !ok || listed[key] {
			continue
		}
		until, retained := f.evacuationsUntil[key]
		switch {
		case next.Era() > r.Offset.Era(), !retained && time.Since(f.restoredAt) < evacuationRetention:
			// A peer that retains it has told of the new era, and passes it on at an offset of that.
			f.retainEvacuation(s, key, r, next)
			klog.InfoS("Evacuation is missing in the restored store, retaining it", "failureDomain", e.FailureDomain, "offset", r.Offset,
				"next", next, "keptMs", evacuationRetention.Milliseconds())
			countEvacuation("retained")
		case retained && time.Now().Before(until):
		default:
			changed = f.endEvacuation(s, key, next) || changed
		}
	}
	return changed
}

// inForce returns the failure domain of a known record and whether an evacuation of it is in force.
func (f *Follower) inForce(r *extern.KeyedRecord) (*view.Evacuation, bool) {
	if len(r.Value) == 0 {
		return nil, false
	}
	// The key tells the failure domain also where the newest value can't be decoded.
	e, ok := f.Decoder.Decode(extern.TopicOperators, extern.KeyedRecord{Key: r.Key}).(*view.Evacuation)
	return e, ok && f.Snapshots.IsEvacuated(e.FailureDomain)
}

func (f *Follower) retainEvacuation(s *topicState, key string, r extern.KeyedRecord, next ident.Offset) {
	r.Offset = max(next-1, r.Offset)
	s.newest[key] = r
	s.changed = max(s.changed, next)
	if f.evacuationsUntil == nil {
		f.evacuationsUntil = map[string]time.Time{}
	}
	f.evacuationsUntil[key] = time.Now().Add(evacuationRetention)
	time.AfterFunc(evacuationRetention, f.endRetainedEvacuations)
}

// endRetainedEvacuations ends the evacuations whose retention has ended.
func (f *Follower) endRetainedEvacuations() {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.state(extern.TopicOperators)
	for key, until := range f.evacuationsUntil {
		if !time.Now().Before(until) {
			f.endEvacuation(s, key, s.next)
		}
	}
}

// endEvacuation ends an evacuation as a deleted record does.
func (f *Follower) endEvacuation(s *topicState, key string, next ident.Offset) bool {
	delete(f.evacuationsUntil, key)
	removal := extern.KeyedRecord{Offset: max(next, 1) - 1, Key: key, SeenAt: time.Now()}
	removal.Offset = max(removal.Offset, s.newest[key].Offset)
	s.newest[key] = removal
	s.changed = max(s.changed, next)
	return f.applyRecord(extern.TopicOperators, removal, &Changes{})
}

// mayHaveMissedEnd reports whether the newest records have to be read now to learn whether an evacuation has ended. The caller holds f.mu.
func (f *Follower) mayHaveMissedEnd(s *topicState) bool {
	if s != f.topics[extern.TopicOperators] || !s.mayLackEnds || time.Since(s.endsReadAt) < endsReadPeriod {
		return false
	}
	for _, r := range s.newest {
		if _, ok := f.inForce(&r); ok {
			s.endsReadAt = time.Now()
			return true
		}
	}
	return false
}
