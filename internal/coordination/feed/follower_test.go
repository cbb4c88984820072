package feed

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// fakeStore keeps one list of records per topic in memory.
type fakeStore struct {
	mu          sync.Mutex
	records     map[extern.Topic][]extern.KeyedRecord
	firstOffset map[extern.Topic]int
	down        bool
	era         ident.Era
}

func newFakeStore() *fakeStore {
	return &fakeStore{records: map[extern.Topic][]extern.KeyedRecord{}, firstOffset: map[extern.Topic]int{}}
}

func (s *fakeStore) put(topic extern.Topic, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := extern.KeyedRecord{Offset: ident.NewOffset(s.era, uint64(len(s.records[topic]))), Key: key, Value: []byte(value)}
	s.records[topic] = append(s.records[topic], r)
}

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *fakeStore) Newest(_ context.Context, topic extern.Topic) (extern.StoreBatch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return extern.StoreBatch{}, &extern.StoreError{Kind: extern.StoreRefused}
	}
	newest := map[string]extern.KeyedRecord{}
	for _, r := range s.records[topic] {
		newest[r.Key] = r
		if len(r.Value) == 0 {
			delete(newest, r.Key)
		}
	}
	b := extern.StoreBatch{Next: ident.NewOffset(s.era, uint64(len(s.records[topic])))}
	for _, r := range newest {
		b.Records = append(b.Records, r)
	}
	return b, nil
}

func (s *fakeStore) Read(
	ctx context.Context, topic extern.Topic, from ident.Offset, wait time.Duration,
) (extern.StoreBatch, error) {
	for end := time.Now().Add(wait); ; {
		s.mu.Lock()
		down, all, firstOffset, era := s.down, s.records[topic], s.firstOffset[topic], s.era
		s.mu.Unlock()
		number := int(from.Number())
		switch {
		case down:
			return extern.StoreBatch{}, &extern.StoreError{Kind: extern.StoreRefused}
		case number < firstOffset, number > len(all), number < len(all) && from.Era() != era:
			return extern.StoreBatch{}, &extern.StoreError{Kind: extern.StoreExpired}
		case !time.Now().Before(end) && from.Era() != era:
			return extern.StoreBatch{}, &extern.StoreError{Kind: extern.StoreExpired}
		case number < len(all) || !time.Now().Before(end):
			return extern.StoreBatch{Records: all[number:], Next: ident.NewOffset(era, uint64(len(all)))}, nil
		}
		select {
		case <-ctx.Done():
			return extern.StoreBatch{}, ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func (s *fakeStore) Put(context.Context, extern.Topic, string, []byte, *ident.Offset) (ident.Offset, error) {
	panic("not used")
}

// removalInterval is the time between two calls of removeExpired in these tests.
const removalInterval = 100 * time.Millisecond

// fakeDecoder decodes records such as "ready" for upstreams and a number for the version of the configuration.
type fakeDecoder struct{}

func (fakeDecoder) Decode(topic extern.Topic, r extern.KeyedRecord) view.Change {
	switch {
	case topic == extern.TopicUpstreams && len(r.Value) == 0:
		return &view.UpstreamRemoved{ID: ident.UpstreamID(r.Key)}
	case topic == extern.TopicUpstreams && strings.Contains(string(r.Value), " "):
		return decodeNumbered(r)
	case topic == extern.TopicUpstreams && string(r.Value) == "ready":
		return &view.Upstream{ID: ident.UpstreamID(r.Key), Service: "s", State: view.UpstreamReady, Offset: r.Offset}
	case topic == extern.TopicOperators && r.Key == "config":
		version, err := strconv.ParseInt(string(r.Value), 10, 64)
		if err != nil {
			return &view.Ignored{Reason: err.Error()}
		}
		return &view.Config{Version: version}
	case strings.HasPrefix(r.Key, "evacuate/"):
		return &view.Evacuation{
			FailureDomain: ident.FailureDomain(strings.TrimPrefix(r.Key, "evacuate/")), Ended: len(r.Value) == 0, Offset: r.Offset,
		}
	case strings.HasPrefix(r.Key, "version"):
		return &view.Weights{Model: "m", Version: int64(len(r.Value))}
	default:
		return &view.Ignored{Reason: "unreadable"}
	}
}

// decodeNumbered decodes a registration such as "ready 2 17": state, incarnation and sequence.
func decodeNumbered(r extern.KeyedRecord) view.Change {
	u := &view.Upstream{ID: ident.UpstreamID(r.Key), Service: "s", State: view.UpstreamReady, Offset: r.Offset}
	var state string
	if _, err := fmt.Sscan(string(r.Value), &state, &u.Incarnation, &u.Sequence); err != nil {
		return &view.Ignored{Reason: err.Error()}
	}
	if state == "draining" {
		u.State = view.UpstreamDraining
	}
	return u
}

func startFollower(t *testing.T, s *fakeStore) *Follower {
	t.Helper()
	return runFollower(t, &Follower{Store: s, Decoder: fakeDecoder{}, Snapshots: &view.Snapshots{}, InitialVersionAge: 5 * time.Second})
}

// runFollower starts a follower and waits for its first reads.
func runFollower(t *testing.T, f *Follower) *Follower {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); f.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	time.Sleep(time.Second)
	return f
}

func TestUndecodableRegistrationListsNoUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put(extern.TopicOperators, "config", "1")
		s.put(extern.TopicUpstreams, "a", "ready")
		s.put(extern.TopicUpstreams, "b", "\x00\xff")
		f := startFollower(t, s)
		require.True(t, f.Loaded())
		require.Len(t, f.Snapshots.Upstreams().ByID, 1)
		s.put(extern.TopicUpstreams, "a", "nonsense")
		time.Sleep(time.Second)
		require.Empty(t, f.Snapshots.Upstreams().ByID)
	})
}

func TestUpstreamExpiredDuringStoreFailureIsRetained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put(extern.TopicUpstreams, "a", "ready")
		s.put(extern.TopicUpstreams, "b", "ready")
		f := startFollower(t, s)
		s.setDown(true)
		time.Sleep(3 * time.Second)
		s.put(extern.TopicUpstreams, "a", "")
		s.put(extern.TopicUpstreams, "b", "")
		s.setDown(false)
		time.Sleep(time.Second)
		f.removeExpired()
		require.Len(t, f.Snapshots.Upstreams().ByID, 2)
		s.put(extern.TopicUpstreams, "a", "ready")
		time.Sleep(expiredRetention)
		f.removeExpired()
		require.Len(t, f.Snapshots.Upstreams().ByID, 1, "b has not registered again")
	})
}

func TestRetainedUpstreamThatLeftIsRemovedWithinDrainTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const drain = 2 * time.Second
		s := newFakeStore()
		s.put(extern.TopicUpstreams, "a", "ready")
		f := startFollower(t, s)
		s.setDown(true)
		time.Sleep(time.Second)
		s.setDown(false)
		time.Sleep(time.Second)
		s.put(extern.TopicUpstreams, "a", "")
		for remaining := drain - removalInterval; remaining > 0; remaining -= removalInterval {
			time.Sleep(removalInterval)
			f.removeExpired()
		}
		require.Empty(t, f.Snapshots.Upstreams().ByID)
	})
}

func TestRetainedUpstreamIsRemovedByTimer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put(extern.TopicUpstreams, "a", "ready")
		f := startFollower(t, s)
		s.setDown(true)
		time.Sleep(time.Second)
		s.setDown(false)
		time.Sleep(time.Second)
		s.put(extern.TopicUpstreams, "a", "")
		time.Sleep(2*minBatchDelay + 50*time.Millisecond)
		require.Len(t, f.Snapshots.Upstreams().ByID, 1, "it may register again")
		time.Sleep(expiredRetention)
		require.Empty(t, f.Snapshots.Upstreams().ByID)
	})
}

// Guards against requests to an upstream that has left: a partitioned daemon learns late from a peer that the
// registration has ended, and the retention must count from when the peer saw it.
func TestRetentionCountsFromFirstObservationByAnyDaemon(t *testing.T) {
	for _, delay := range []time.Duration{0, 500 * time.Millisecond, 1200 * time.Millisecond, 1800 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			const drain = 2 * time.Second
			sharedStore, ownStore := newFakeStore(), newFakeStore()
			for _, s := range []*fakeStore{sharedStore, ownStore} {
				s.put(extern.TopicUpstreams, "a", "ready")
				s.put(extern.TopicUpstreams, "b", "ready")
			}
			reader, partitioned := startFollower(t, sharedStore), startFollower(t, ownStore)
			ownStore.setDown(true)
			time.Sleep(time.Second)
			next := partitioned.NextOffset(extern.TopicUpstreams)
			sharedStore.put(extern.TopicUpstreams, "a", "")
			leftAt := time.Now()
			for len(reader.Snapshots.Upstreams().ByID) == 2 {
				time.Sleep(removalInterval)
			}
			time.Sleep(delay)
			partitioned.ApplyChanges(extern.TopicUpstreams, reader.ChangesSince(extern.TopicUpstreams, next))
			for time.Since(leftAt) < drain-removalInterval {
				time.Sleep(removalInterval)
				partitioned.removeExpired()
			}
			require.Len(t, partitioned.Snapshots.Upstreams().ByID, 1, "learned %v late", delay)
		})
	}
}

func TestRemovedUpstreamIsUnlistedAtOnceWhileStoreIsHealthy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put(extern.TopicUpstreams, "a", "ready")
		f := startFollower(t, s)
		s.put(extern.TopicUpstreams, "a", "")
		time.Sleep(2*minBatchDelay + 50*time.Millisecond)
		require.Empty(t, f.Snapshots.Upstreams().ByID)
	})
}

func TestExpiredHistoryFallsBackToNewestRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put(extern.TopicUpstreams, "a", "ready")
		s.put(extern.TopicOperators, "config", "1")
		f := startFollower(t, s)
		s.setDown(true)
		time.Sleep(time.Second)
		s.put(extern.TopicOperators, "config", "2")
		s.put(extern.TopicOperators, "config", "3")
		s.firstOffset[extern.TopicOperators] = 3
		s.setDown(false)
		time.Sleep(2 * time.Second)
		require.EqualValues(t, 3, f.Snapshots.Config().Version)
	})
}

func TestPeerRecordsReachDaemonWithoutStoreAccess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		healthyStore, failingStore := newFakeStore(), newFakeStore()
		for _, s := range []*fakeStore{healthyStore, failingStore} {
			s.put(extern.TopicOperators, "config", "1")
		}
		a, b := startFollower(t, healthyStore), startFollower(t, failingStore)
		failingStore.setDown(true)
		healthyStore.put(extern.TopicOperators, "config", "2")
		time.Sleep(time.Second)
		b.ApplyChanges(extern.TopicOperators, a.ChangesSince(extern.TopicOperators, b.NextOffset(extern.TopicOperators)))
		require.EqualValues(t, 2, b.Snapshots.Config().Version)
		old := []extern.KeyedRecord{{Offset: 0, Key: "config", Value: []byte("1")}}
		b.ApplyChanges(extern.TopicOperators, Changes{StoreBatch: extern.StoreBatch{Records: old, Next: 1}})
		require.EqualValues(t, 2, b.Snapshots.Config().Version, "an older configuration is never applied")
	})
}

func TestVersionPresentAtStartIsTreatedAsOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put(extern.TopicOperators, "version/m", "xx")
		f := startFollower(t, s)
		w, ok := f.Snapshots.Weights("m")
		require.True(t, ok)
		require.False(t, w.NamedAtObserved)
		require.GreaterOrEqual(t, time.Since(w.NamedAt), f.InitialVersionAge)
		s.put(extern.TopicOperators, "version/m", "xxx")
		time.Sleep(time.Second)
		w, _ = f.Snapshots.Weights("m")
		require.True(t, w.NamedAtObserved)
		at, replaced := w.ReplacedAt(2)
		require.True(t, replaced)
		require.LessOrEqual(t, time.Since(at), time.Second)
	})
}

// startOccasionalReader starts a follower that reads at the start and while readsContinuously is true.
func startOccasionalReader(t *testing.T, s *fakeStore, readsContinuously *atomic.Bool) *Follower {
	t.Helper()
	return runFollower(t, &Follower{
		Store: s, Decoder: fakeDecoder{}, Snapshots: &view.Snapshots{},
		ReadsContinuously: func(extern.Topic) bool { return readsContinuously.Load() },
	})
}

func TestRenewalsAreNotPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put(extern.TopicUpstreams, "a", "ready")
		f := startFollower(t, s)
		startOffset, lastChange := f.NextOffset(extern.TopicUpstreams), f.LastChangeOffset(extern.TopicUpstreams)
		for range 5 {
			s.put(extern.TopicUpstreams, "a", "ready")
			time.Sleep(time.Second)
		}
		require.Equal(t, startOffset+5, f.NextOffset(extern.TopicUpstreams))
		require.Equal(t, lastChange, f.LastChangeOffset(extern.TopicUpstreams))
		records := f.ChangesSince(extern.TopicUpstreams, startOffset).Records
		require.Empty(t, records)
		s.put(extern.TopicUpstreams, "a", "")
		time.Sleep(time.Second)
		s.put(extern.TopicUpstreams, "a", "ready")
		time.Sleep(time.Second)
		require.Equal(t, f.NextOffset(extern.TopicUpstreams), f.LastChangeOffset(extern.TopicUpstreams), "its registration had ended meanwhile")
		require.Len(t, f.Snapshots.Upstreams().ByID, 1)
	})
}

func TestOccasionalReaderFollowsContinuousReaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put(extern.TopicUpstreams, "a", "ready")
		var readsContinuously atomic.Bool
		occasionalReader := startOccasionalReader(t, s, &readsContinuously)
		reader := startFollower(t, s)
		for i := range 12 {
			s.put(extern.TopicUpstreams, "a", "ready")
			if i == 6 {
				s.put(extern.TopicUpstreams, "b", "ready")
			}
			time.Sleep(500 * time.Millisecond)
			next := occasionalReader.NextOffset(extern.TopicUpstreams)
			if reader.LastChangeOffset(extern.TopicUpstreams) > next {
				changes := reader.ChangesSince(extern.TopicUpstreams, next)
				require.Len(t, changes.Records, 1)
				occasionalReader.ApplyChanges(extern.TopicUpstreams, changes)
			}
			occasionalReader.AdvanceTo(extern.TopicUpstreams, reader.NextOffset(extern.TopicUpstreams))
		}
		require.Len(t, occasionalReader.Snapshots.Upstreams().ByID, 2)
		require.Equal(t, reader.NextOffset(extern.TopicUpstreams), occasionalReader.NextOffset(extern.TopicUpstreams))
	})
}

func TestOccasionalReaderReadsWhenListIsStale(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put(extern.TopicUpstreams, "a", "ready")
		var readsContinuously atomic.Bool
		f := startOccasionalReader(t, s, &readsContinuously)
		time.Sleep(staleAfter)
		s.put(extern.TopicUpstreams, "a", "")
		time.Sleep(staleAfter + 2*minBatchDelay + dueCheckInterval + longPollWait)
		require.Empty(t, f.Snapshots.Upstreams().ByID)
	})
}

// Guards against upstreams that stay listed after they left: a daemon that has just started read the list without them
// and has no record of their removal, and a peer asks it for the changes.
func TestChangesFromFreshDaemonIncludeEarlierRemovals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sharedStore, ownStore := newFakeStore(), newFakeStore()
		for _, s := range []*fakeStore{sharedStore, ownStore} {
			s.put(extern.TopicUpstreams, "a", "ready")
			s.put(extern.TopicUpstreams, "b", "ready")
		}
		partitioned := startFollower(t, ownStore)
		ownStore.setDown(true)
		sharedStore.put(extern.TopicUpstreams, "b", "")
		sharedStore.put(extern.TopicUpstreams, "a", "ready")
		sharedStore.put(extern.TopicUpstreams, "c", "ready")
		fresh := startFollower(t, sharedStore)
		require.Len(t, fresh.Snapshots.Upstreams().ByID, 2)
		partitioned.ApplyChanges(extern.TopicUpstreams, fresh.ChangesSince(extern.TopicUpstreams, partitioned.NextOffset(extern.TopicUpstreams)))
		time.Sleep(expiredRetention)
		partitioned.removeExpired()
		require.Equal(t, fresh.NextOffset(extern.TopicUpstreams), partitioned.NextOffset(extern.TopicUpstreams))
		require.Equal(t, slices.Sorted(maps.Keys(fresh.Snapshots.Upstreams().ByID)),
			slices.Sorted(maps.Keys(partitioned.Snapshots.Upstreams().ByID)))
	})
}

func TestRemovalSeenOnlyInCompleteListIsPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		for _, id := range []string{"a", "b"} {
			s.put(extern.TopicUpstreams, id, "ready")
		}
		f, other := startFollower(t, s), startFollower(t, s)
		next := other.NextOffset(extern.TopicUpstreams)
		require.NoError(t, f.readNewest(t.Context(), extern.TopicUpstreams))
		// The history no longer has the record that removed b: only the complete list shows that b has gone.
		list := extern.StoreBatch{Records: []extern.KeyedRecord{{Offset: 0, Key: "a", Value: []byte("ready")}}, Next: next + 3}
		f.apply(extern.TopicUpstreams, Changes{StoreBatch: list, Complete: true})
		require.Len(t, f.Snapshots.Upstreams().ByID, 1)
		changes := f.ChangesSince(extern.TopicUpstreams, next)
		require.Equal(t, next+3, f.LastChangeOffset(extern.TopicUpstreams))
		other.ApplyChanges(extern.TopicUpstreams, changes)
		require.Len(t, other.Snapshots.Upstreams().ByID, 1)
	})
}
