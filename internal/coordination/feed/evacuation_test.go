package feed

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

const evacuateZ, marked = "evacuate/z", "{}"

func (f *Follower) isEvacuated() bool { return f.Snapshots.IsEvacuated("z") }

func putEvacuation(s *fakeStore, value string) {
	s.put(extern.TopicOperators, evacuateZ, value)
	time.Sleep(time.Second)
}

// Guards against an evacuation that goes on because its end was no longer in the store's history.
func TestEvacuationMissingInCompleteReadHasEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put(extern.TopicOperators, "config", "1")
		f := startFollower(t, s)
		putEvacuation(s, marked)
		require.True(t, f.isEvacuated())
		age, observed := age(f)
		require.True(t, observed)
		require.InDelta(t, time.Second, age, float64(50*time.Millisecond))
		s.setDown(true)
		putEvacuation(s, "")
		s.mu.Lock()
		s.firstOffset[extern.TopicOperators] = len(s.records[extern.TopicOperators])
		s.mu.Unlock()
		s.setDown(false)
		time.Sleep(time.Second)
		require.False(t, f.isEvacuated())
		records := f.ChangesSince(extern.TopicOperators, 2).Records
		require.Len(t, records, 1)
		require.Empty(t, records[0].Value, "peers learn of the end")
	})
}

func age(f *Follower) (time.Duration, bool) {
	e, _ := f.Snapshots.Evacuation("z")
	return e.Age(time.Now())
}

// Guards against an evacuation found at the start whose prompts move as if it had just begun.
func TestEvacuationFoundAtStartMayHaveBegunLongAgo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put(extern.TopicOperators, evacuateZ, marked)
		f := startFollower(t, s)
		require.True(t, f.isEvacuated())
		_, observed := age(f)
		require.False(t, observed)
	})
}

// Guards against evacuations that a restored store ends too early, keeps for ever or begins again.
func TestEvacuationAfterRestoreOfStore(t *testing.T) {
	for name, c := range map[string]struct {
		inCopy, ended, again   bool
		wantAtFirst, wantLater bool
	}{
		"the copy is older":                      {wantAtFirst: true},
		"the copy is older, it is written again": {again: true, wantAtFirst: true, wantLater: true},
		"the copy has it":                        {inCopy: true, wantAtFirst: true, wantLater: true},
		"the copy has one that has ended":        {inCopy: true, ended: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFakeStore()
				s.put(extern.TopicOperators, "config", "1")
				f := startFollower(t, s)
				if c.inCopy {
					putEvacuation(s, marked)
				}
				older := map[extern.Topic][]extern.KeyedRecord{extern.TopicOperators: s.copyOf(extern.TopicOperators)}
				if !c.inCopy {
					putEvacuation(s, marked)
				}
				if c.ended {
					putEvacuation(s, "")
				}
				s.restore(older)
				time.Sleep(time.Second)
				require.Equal(t, c.wantAtFirst, f.isEvacuated())
				if c.again {
					putEvacuation(s, marked)
				}
				time.Sleep(evacuationRetention)
				require.Equal(t, c.wantLater, f.isEvacuated())
				putEvacuation(s, marked)
				require.True(t, f.isEvacuated(), "another one")
				putEvacuation(s, "")
				require.False(t, f.isEvacuated())
			})
		})
	}
}

// Guards against a daemon that missed the end of an evacuation, and has the records after it from a peer that started only then.
func TestEndOfEvacuationThatNoPeerKnowsIsReadFromStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put(extern.TopicOperators, "config", "1")
		f := startFollower(t, s)
		putEvacuation(s, marked)
		s.setDown(true)
		putEvacuation(s, "")
		s.put(extern.TopicOperators, "config", "2")
		records := s.copyOf(extern.TopicOperators)
		f.ApplyChanges(extern.TopicOperators, Changes{From: "p", StoreBatch: extern.StoreBatch{
			Records: records[3:], Next: ident.NewOffset(0, 4),
		}})
		require.EqualValues(t, 2, f.Snapshots.Config().Version)
		require.True(t, f.isEvacuated())
		s.setDown(false)
		time.Sleep(longPollWait)
		require.False(t, f.isEvacuated())
	})
}

// Guards against an old record of a peer that ends or begins an evacuation again.
func TestOlderRecordOfEvacuationChangesNothing(t *testing.T) {
	var s view.Snapshots
	at := func(offset ident.Offset, ended bool) view.Evacuation {
		return view.Evacuation{FailureDomain: "z", Offset: offset, Ended: ended}
	}
	for _, step := range []struct {
		e              view.Evacuation
		replaced, want bool
	}{
		{at(3, true), false, false}, {at(5, false), true, true}, {at(4, true), false, true}, {at(5, false), false, true}, {at(7, true), true, false},
		{at(8, true), false, false}, {at(6, false), false, false}, {at(9, false), true, true}, {at(9, true), true, false},
	} {
		_, replaced := s.SetEvacuation(step.e)
		require.Equal(t, step.replaced, replaced, "%+v", step.e)
		require.Equal(t, step.want, s.IsEvacuated("z"), "%+v", step.e)
	}
}

// Guards against an evacuation that a restored store lacks and that ends at once at a daemon that hears of the restore from a peer.
func TestEvacuationIsRetainedByDaemonThatPeerTellsOfRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put(extern.TopicOperators, "config", "1")
		first, second := startFollower(t, s), startFollower(t, s)
		older := map[extern.Topic][]extern.KeyedRecord{extern.TopicOperators: s.copyOf(extern.TopicOperators)}
		putEvacuation(s, marked)
		s.setDown(true)
		time.Sleep(time.Second)
		s.restore(older)
		s.setDown(false)
		require.NoError(t, first.readNewest(t.Context(), extern.TopicOperators))
		require.Zero(t, second.NextOffset(extern.TopicOperators).Era())
		second.ApplyChanges(extern.TopicOperators, first.ChangesSince(extern.TopicOperators, second.NextOffset(extern.TopicOperators)))
		time.Sleep(time.Second)
		require.True(t, first.isEvacuated())
		require.True(t, second.isEvacuated())
		time.Sleep(evacuationRetention)
		require.False(t, first.isEvacuated())
		require.False(t, second.isEvacuated())
	})
}

// Guards against an evacuation that seems to have just begun to a daemon that hears of it from a peer that has just started.
func TestAgeOfEvacuationIsPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, other := newFakeStore(), newFakeStore()
		s.put(extern.TopicOperators, "config", "1")
		other.put(extern.TopicOperators, "config", "1")
		witness, late := startFollower(t, s), startFollower(t, other)
		putEvacuation(s, marked)
		time.Sleep(time.Minute)
		fresh := startFollower(t, s)
		_, observed := age(fresh)
		require.False(t, observed)
		for _, c := range []struct {
			peer *Follower
			want time.Duration
		}{{fresh, time.Hour}, {witness, time.Minute}} {
			changes := c.peer.ChangesSince(extern.TopicOperators, late.NextOffset(extern.TopicOperators))
			require.Len(t, changes.Records, 1)
			require.InDelta(t, c.want, time.Since(changes.Records[0].SeenAt), float64(5*time.Second))
		}
		late.ApplyChanges(extern.TopicOperators, fresh.ChangesSince(extern.TopicOperators, late.NextOffset(extern.TopicOperators)))
		lasted, _ := age(late)
		require.Greater(t, lasted, time.Minute)
	})
}

// countingStore counts its complete reads.
type countingStore struct {
	*fakeStore
	complete atomic.Int64
}

func (s *countingStore) Newest(ctx context.Context, topic extern.Topic) (extern.StoreBatch, error) {
	s.complete.Add(1)
	time.Sleep(time.Millisecond)
	return s.fakeStore.Newest(ctx, topic)
}

// Guards against complete reads without a pause while a peer has read farther than the store answers. Such a store is read anew now and then
// also without evacuations.
func TestEndsOfEvacuationsAreNotReadWithoutPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reads := func(evacuated bool) int64 {
			s := &countingStore{fakeStore: newFakeStore()}
			s.put(extern.TopicOperators, "config", "1")
			f := runFollower(t, &Follower{Store: s, Decoder: fakeDecoder{}, Snapshots: &view.Snapshots{}})
			if evacuated {
				putEvacuation(s.fakeStore, marked)
			}
			before := s.complete.Load()
			f.ApplyChanges(extern.TopicOperators, Changes{From: "p", StoreBatch: extern.StoreBatch{Next: ident.NewOffset(0, 9)}})
			time.Sleep(time.Minute)
			require.Equal(t, evacuated, f.isEvacuated())
			return s.complete.Load() - before
		}
		without, with := reads(false), reads(true)
		t.Log("complete reads in a minute:", without, "without an evacuation,", with, "with one")
		// One in each period, and the delays between retries start anew after it.
		require.LessOrEqual(t, with-without, int64(3*time.Minute/endsReadPeriod))
	})
}
