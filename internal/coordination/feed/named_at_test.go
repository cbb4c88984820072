package feed

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// slowStore takes a while to return the newest records.
type slowStore struct {
	*fakeStore
	takes time.Duration
}

func (s *slowStore) Newest(ctx context.Context, topic extern.Topic) (extern.StoreBatch, error) {
	time.Sleep(s.takes)
	return s.fakeStore.Newest(ctx, topic)
}

// Guards against a daemon that has read the store late after its start and uses replaced weights for as much longer. What is read after
// an outage of the store may have been named at its end.
func TestAssumedAgeOfVersionCountsFromStart(t *testing.T) {
	for name, c := range map[string]struct{ outage, takes, countsFrom time.Duration }{
		"slow read": {takes: 2500 * time.Millisecond},
		"outage":    {outage: 4 * time.Second, countsFrom: 4 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFakeStore()
				s.put(extern.TopicOperators, "version/m", "xx")
				s.setDown(c.outage > 0)
				time.AfterFunc(c.outage, func() { s.setDown(false) })
				startedAt := time.Now()
				f := runFollower(t, &Follower{
					Store: &slowStore{s, c.takes}, Decoder: fakeDecoder{}, Snapshots: &view.Snapshots{}, InitialVersionAge: 5 * time.Second,
				})
				time.Sleep(5 * time.Second)
				w, ok := f.Snapshots.Weights("m")
				require.True(t, ok)
				require.False(t, w.NamedAtObserved)
				require.WithinRange(t, w.NamedAt.Add(f.InitialVersionAge), startedAt.Add(c.countsFrom-maxRetryDelay*3/2), startedAt.Add(c.countsFrom))
			})
		})
	}
}

// Guards against a version that is named while no daemon reads the store, as just after a start of all, and taken for named when it
// is read.
func TestVersionNamedBetweenReadsIsNotTakenForNew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put(extern.TopicOperators, "version/m", "x")
		var reads atomic.Bool
		f := runFollower(t, &Follower{
			Store: s, Decoder: fakeDecoder{}, Snapshots: &view.Snapshots{}, InitialVersionAge: 5 * time.Second,
			ReadsContinuously: func(extern.Topic) bool { return reads.Load() },
		})
		s.put(extern.TopicOperators, "version/m", "xx")
		namedAt := time.Now()
		time.Sleep(3 * time.Second)
		reads.Store(true)
		time.Sleep(time.Second)
		w, _ := f.Snapshots.Weights("m")
		require.EqualValues(t, 2, w.Version)
		require.False(t, w.NamedAt.After(namedAt), "taken for named %v late", w.NamedAt.Sub(namedAt))
		require.False(t, w.NamedAtObserved, "peers would believe it")
		s.put(extern.TopicOperators, "version/m", "xxx")
		namedAt = time.Now()
		time.Sleep(time.Second)
		w, _ = f.Snapshots.Weights("m")
		require.True(t, w.NamedAtObserved)
		require.WithinDuration(t, namedAt, w.NamedAt, 100*time.Millisecond)
	})
}

// Guards against a daemon that learns a version from a peer, which has started since it was named, and tells all others that it saw
// the naming.
func TestVersionFromPeerIsNotObserved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put(extern.TopicOperators, "version/m", "x")
		learner := runFollower(t, &Follower{
			Store: s, Decoder: fakeDecoder{}, Snapshots: &view.Snapshots{}, InitialVersionAge: 5 * time.Second,
			ReadsContinuously: func(extern.Topic) bool { return false },
		})
		s.put(extern.TopicOperators, "version/m", "xx")
		namedAt := time.Now()
		time.Sleep(2 * time.Second)
		peer := startFollower(t, s)
		learner.ApplyChanges(extern.TopicOperators, peer.ChangesSince(extern.TopicOperators, learner.NextOffset(extern.TopicOperators)))
		w, _ := learner.Snapshots.Weights("m")
		require.EqualValues(t, 2, w.Version)
		require.False(t, w.NamedAtObserved)
		require.False(t, w.NamedAt.After(namedAt), "taken for named %v late", w.NamedAt.Sub(namedAt))
	})
}

// Guards against a daemon that was frozen while a version was named, and tells peers that have started since that it saw that on its return.
func TestVersionReadAfterPauseOfProcessIsNotObserved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &Follower{InitialVersionAge: 5 * time.Second}
		s := &topicState{loaded: true}
		f.pauses.tick(time.Now())
		time.Sleep(pauseCheckInterval)
		at, observed := f.namedAt(s, &extern.KeyedRecord{}, false)
		require.True(t, observed)
		require.Equal(t, time.Now(), at)
		pausedAt := time.Now()
		time.Sleep(3 * time.Second)
		// The process may notice that it was paused before it reads what has arrived, or after it.
		f.pauses.tick(time.Now())
		time.Sleep(pauseCheckInterval)
		at, observed = f.namedAt(s, &extern.KeyedRecord{}, false)
		require.False(t, observed)
		require.Equal(t, pausedAt, at)
		time.Sleep(3 * time.Second)
		_, observed = f.namedAt(s, &extern.KeyedRecord{}, false)
		require.False(t, observed)
	})
}
