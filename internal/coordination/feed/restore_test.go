package feed

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// copyOf returns the records of a topic as a copy of the store holds them.
func (s *fakeStore) copyOf(topic extern.Topic) []extern.KeyedRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.records[topic])
}

// restore replaces the records of the topics by older ones and begins the next era.
func (s *fakeStore) restore(older map[extern.Topic][]extern.KeyedRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	for topic, records := range older {
		s.records[topic] = nil
		for i, r := range records {
			r.Offset = ident.NewOffset(s.era, uint64(i))
			s.records[topic] = append(s.records[topic], r)
		}
	}
}

func (f *Follower) stateOf(t *testing.T, id ident.UpstreamID) view.UpstreamState {
	t.Helper()
	f.removeExpired()
	if u := f.Snapshots.Upstreams().ByID[id]; u != nil {
		return u.State
	}
	return 0
}

// Guards against an older state in a restored store that is taken for a newer one.
func TestRestoredStoreReplacesNothingByOlderState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put(extern.TopicOperators, "config", "3")
		s.put(extern.TopicOperators, "version/m", "v")
		for _, id := range []string{"stays", "drains", "leaves", "restarts"} {
			s.put(extern.TopicUpstreams, id, "ready 1 1")
		}
		older := map[extern.Topic][]extern.KeyedRecord{
			extern.TopicOperators: s.copyOf(extern.TopicOperators), extern.TopicUpstreams: s.copyOf(extern.TopicUpstreams),
		}
		f := startFollower(t, s)
		s.put(extern.TopicOperators, "config", "5")
		s.put(extern.TopicOperators, "version/m", "vv")
		s.put(extern.TopicUpstreams, "drains", "draining 1 2")
		s.put(extern.TopicUpstreams, "leaves", "")
		s.put(extern.TopicUpstreams, "restarts", "ready 2 1")
		s.put(extern.TopicUpstreams, "new", "ready 1 1")
		time.Sleep(time.Second)
		s.setDown(true)
		time.Sleep(2 * time.Second)
		s.restore(older)
		s.setDown(false)
		time.Sleep(time.Second)
		require.EqualValues(t, 5, f.Snapshots.Config().Version)
		weights, _ := f.Snapshots.Weights("m")
		require.EqualValues(t, 2, weights.Version)
		require.Equal(t, view.UpstreamReady, f.stateOf(t, "stays"))
		require.Equal(t, view.UpstreamDraining, f.stateOf(t, "drains"))
		require.Zero(t, f.stateOf(t, "leaves"))
		require.EqualValues(t, 2, f.Snapshots.Upstreams().ByID["restarts"].Incarnation)
		require.Equal(t, view.UpstreamReady, f.stateOf(t, "new"), "it has not had the time to register again")

		s.put(extern.TopicOperators, "config", "6")
		s.put(extern.TopicUpstreams, "leaves", "ready 1 9")
		time.Sleep(time.Second)
		require.EqualValues(t, 6, f.Snapshots.Config().Version)
		require.Equal(t, view.UpstreamReady, f.stateOf(t, "leaves"), "it lives: it has registered again")
		time.Sleep(expiredRetention)
		require.Zero(t, f.stateOf(t, "new"), "it has not registered again")
	})
}

// Guards against daemons that start after the restore and take the older states of the copy although their peers know newer
// ones.
func TestPeerTellsNewerVersionsThanRestoredStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put(extern.TopicOperators, "config", "3")
		s.put(extern.TopicOperators, "version/m", "v")
		older := map[extern.Topic][]extern.KeyedRecord{extern.TopicOperators: s.copyOf(extern.TopicOperators)}
		veteran := startFollower(t, s)
		s.put(extern.TopicOperators, "config", "5")
		s.put(extern.TopicOperators, "version/m", "vv")
		time.Sleep(time.Second)
		s.restore(older)
		time.Sleep(4 * time.Second)
		starter := startFollower(t, s)
		require.EqualValues(t, 3, starter.Snapshots.Config().Version)
		starter.ApplyChanges(extern.TopicOperators, veteran.ChangesSince(extern.TopicOperators, 0))
		require.EqualValues(t, 5, starter.Snapshots.Config().Version)
		weights, _ := starter.Snapshots.Weights("m")
		require.EqualValues(t, 2, weights.Version)
		require.Equal(t, veteran.NextOffset(extern.TopicOperators), starter.NextOffset(extern.TopicOperators))
		s.put(extern.TopicOperators, "config", "6")
		time.Sleep(time.Second)
		require.EqualValues(t, 6, starter.Snapshots.Config().Version)
	})
}

// Guards against a peer that was cut off during the restore and seems to be ahead, as it has read higher numbers.
func TestPeerOfEarlierEraIsBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put(extern.TopicOperators, "config", "3")
		s.put(extern.TopicUpstreams, "a", "ready 1 1")
		older := map[extern.Topic][]extern.KeyedRecord{
			extern.TopicOperators: s.copyOf(extern.TopicOperators), extern.TopicUpstreams: s.copyOf(extern.TopicUpstreams),
		}
		cutOff, other := startFollower(t, s), startFollower(t, s)
		for i := range 40 {
			s.put(extern.TopicUpstreams, "b", "ready 1 "+string(rune('1'+i%9)))
		}
		time.Sleep(time.Second)
		late := cutOff.ChangesSince(extern.TopicUpstreams, 0)
		lateNext := cutOff.NextOffset(extern.TopicUpstreams)
		s.restore(older)
		s.put(extern.TopicUpstreams, "a", "draining 1 2")
		time.Sleep(4 * time.Second)
		require.Less(t, lateNext, other.NextOffset(extern.TopicUpstreams))
		other.ApplyChanges(extern.TopicUpstreams, late)
		other.AdvanceTo(extern.TopicUpstreams, lateNext)
		require.Equal(t, view.UpstreamDraining, other.stateOf(t, "a"))
		require.Equal(t, ident.Era(1), other.NextOffset(extern.TopicUpstreams).Era())
		s.put(extern.TopicUpstreams, "a", "")
		time.Sleep(time.Second)
		require.Zero(t, other.stateOf(t, "a"))
	})
}
