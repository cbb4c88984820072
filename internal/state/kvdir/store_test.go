package kvdir

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// fakeFeed is a store whose responses the test sets.
type fakeFeed struct {
	mu            sync.Mutex
	list, changes extern.CacheChanges
	err           error
	listCalls     int
}

func (f *fakeFeed) Snapshot(context.Context, string) (extern.CacheChanges, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listCalls++
	return f.list, f.err
}

// set runs change, which sets the next responses, under the lock.
func (f *fakeFeed) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fakeFeed) Changes(_ context.Context, _ string, _ ident.Sequence, wait time.Duration) (extern.CacheChanges, error) {
	time.Sleep(wait)
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changes, f.err
}

func startStore(t *testing.T, f *fakeFeed, follows bool) *Store {
	t.Helper()
	s := &Store{Feed: f, Address: "a", Follows: func() bool { return follows }}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); s.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	time.Sleep(300 * time.Millisecond)
	return s
}

// Changes are relative to a list. If events are lost the directory no longer matches the store and must be read again, or
// engines are sent to fetch parts that aren't there.
func TestListIsReadAtStartAndAfterLostEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeFeed{
			list:    extern.CacheChanges{Incarnation: 1, Parts: []extern.CachePart{{Salt: "s", ID: "a", Tokens: 800}}},
			changes: extern.CacheChanges{Incarnation: 1},
		}
		s := startStore(t, f, true)
		require.True(t, s.Available())
		require.True(t, s.Holds("s", "a", 800))
		require.False(t, s.Holds("s", "a", 1600), "half a part is not worth fetching")
		require.False(t, s.Holds("t", "a", 800), "other salt")
		f.set(func() { f.list.Parts, f.changes.EventsLost = nil, true })
		time.Sleep(2 * time.Second)
		require.False(t, s.Holds("s", "a", 800))
		f.set(func() { require.Greater(t, f.listCalls, 1) })
	})
}

func TestFailingStoreBecomesUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeFeed{}
		s := startStore(t, f, true)
		f.set(func() { f.err = errors.New("refused") })
		time.Sleep(3 * time.Second)
		require.False(t, s.Available())
	})
}

// A daemon that doesn't follow the store has no events. It relies on peers for the store's availability, and presumes that a
// part is there from saveTime after it requested the save until presumedRetention has passed.
func TestNonFollowerUsesPeerReportsAndOwnSaveRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startStore(t, &fakeFeed{}, false)
		require.False(t, s.Available())
		s.MarkReachedByPeer()
		require.True(t, s.Available())
		require.True(t, s.MarkSaveRequested("s", "a"))
		require.False(t, s.MarkSaveRequested("s", "a"), "requested just before")
		require.False(t, s.Holds("s", "a", 100))
		time.Sleep(saveTime + time.Millisecond)
		require.True(t, s.Holds("s", "a", 100))
		time.Sleep(presumedRetention)
		require.False(t, s.Holds("s", "a", 100))
	})
}
