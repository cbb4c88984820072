package feed

import (
	"bytes"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// isNews reports whether a record is newer than the known one of its key. Offsets order the records of one era. A restored
// store holds older states of keys at offsets of a later era until their writers have written them again, so that across eras
// the versions in the values count where they have any. An older state leaves the known one in place and moves that to the
// offset of the older state, so that peers that ask for records of the new era get it.
func (f *Follower) isNews(topic extern.Topic, s *topicState, r *extern.KeyedRecord) bool {
	old, ok := s.newest[r.Key]
	switch {
	case !ok:
		return true
	case r.Offset <= old.Offset:
		if topic != extern.TopicOperators || bytes.Equal(r.Value, old.Value) || !f.isNewerState(topic, r, &old) {
			return false
		}
		r.Offset = old.Offset
		return true
	case r.Offset.Era() == old.Offset.Era() || !f.isOlderState(topic, r, &old):
		return true
	default:
		metrics.GetOrCreateCounter(fmt.Sprintf(`gooseberrywayRestoredStatesIgnored{topic=%q}`, topic)).Inc()
		if topic == extern.TopicOperators {
			klog.InfoS("Older state in the restored store ignored", "key", r.Key, "offset", r.Offset, "known", old.Offset)
		}
		old.Offset = r.Offset
		s.newest[r.Key] = old
		s.changed = max(s.changed, r.Offset+1)
		return false
	}
}

// hasNews reports whether a peer's records have newer versions than the known ones, though the peer has not read farther.
func (f *Follower) hasNews(topic extern.Topic, records []extern.KeyedRecord) bool {
	if topic != extern.TopicOperators {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.state(topic)
	for i := range records {
		if old, ok := s.newest[records[i].Key]; !ok || f.isNewerState(topic, &records[i], &old) {
			return true
		}
	}
	return false
}

// isOlderState reports whether the value of r is known to be older than that of the known record.
func (f *Follower) isOlderState(topic extern.Topic, r, known *extern.KeyedRecord) bool {
	change := f.Decoder.Decode(topic, *r)
	if u, ok := change.(*view.Upstream); ok {
		return f.registrations.isOlder(u, f.upstreams[u.ID] != nil)
	}
	if e, ok := change.(*view.Evacuation); ok {
		old := f.Snapshots.Evacuations()[e.FailureDomain]
		return e.IsCopyOf(&old)
	}
	a, versioned := stateVersion(change)
	b, knownVersioned := stateVersion(f.Decoder.Decode(topic, *known))
	return knownVersioned && (!versioned || a < b)
}

// isNewerState reports whether the value of r is known to be newer than that of the known record.
func (f *Follower) isNewerState(topic extern.Topic, r, known *extern.KeyedRecord) bool {
	change := f.Decoder.Decode(topic, *r)
	if e, ok := change.(*view.Evacuation); ok {
		// The end of an evacuation is known at the position of its beginning if the restored store is older than the end.
		return e.Ended && r.Offset == known.Offset && len(known.Value) > 0
	}
	a, ok := stateVersion(change)
	b, knownOK := stateVersion(f.Decoder.Decode(topic, *known))
	return ok && knownOK && a > b
}

// stateVersion returns the version that operators gave a record; false for one without.
func stateVersion(c view.Change) (int64, bool) {
	switch c := c.(type) {
	case *view.Config:
		return c.Version, true
	case *view.Weights:
		return c.Version, true
	default:
		return 0, false
	}
}

// registrationMemory is how long the last registration of an upstream is remembered after it.
const registrationMemory = 10 * time.Minute

// maxRegistrations is the number of remembered registrations above which old ones are removed.
const maxRegistrations = 16384

// registrations remembers the newest registration of each upstream, so that an older one in a restored store doesn't replace
// it or bring back an upstream that has left.
type registrations struct {
	newest map[ident.UpstreamID]registration
}

type registration struct {
	incarnation ident.Incarnation
	sequence    int64
	seenAt      time.Time
}

// record remembers a registration that is in force.
func (g *registrations) record(u *view.Upstream) {
	now := time.Now()
	if g.newest == nil {
		g.newest = map[ident.UpstreamID]registration{}
	}
	if _, ok := g.newest[u.ID]; !ok && len(g.newest) >= maxRegistrations {
		for id, r := range g.newest {
			if now.Sub(r.seenAt) > registrationMemory {
				delete(g.newest, id)
			}
		}
	}
	g.newest[u.ID] = registration{u.Incarnation, u.Sequence, now}
}

// isOlder reports whether the first registration of an upstream in a later era may be older than the remembered one. The
// number of the remembered one may be out of date, as peers don't pass on renewals: an upstream that is no longer listed
// comes back only with a renewal in the new era, or as a new incarnation.
func (g *registrations) isOlder(u *view.Upstream, listed bool) bool {
	known, ok := g.newest[u.ID]
	switch {
	case !ok || u.Incarnation > known.incarnation:
		return false
	case u.Incarnation < known.incarnation || !listed:
		return true
	case u.State == view.UpstreamDraining || u.Sequence == 0:
		return false
	default:
		return u.Sequence <= known.sequence
	}
}
