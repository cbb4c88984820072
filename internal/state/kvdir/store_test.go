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

// feed is a store whose next answers are set by the test.
type feed struct {
	mu            sync.Mutex
	list, changes extern.CacheChanges
	err           error
	lists         int
}

func (f *feed) Snapshot(context.Context, string) (extern.CacheChanges, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lists++
	return f.list, f.err
}

// set changes the next answers.
func (f *feed) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *feed) Changes(_ context.Context, _ string, _ ident.Sequence, wait time.Duration) (extern.CacheChanges, error) {
	time.Sleep(wait)
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changes, f.err
}

func follow(t *testing.T, f *feed, follows bool) *Store {
	t.Helper()
	p := &Store{Feed: f, Address: "a", Follows: func() bool { return follows }}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); p.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	time.Sleep(300 * time.Millisecond)
	return p
}

func TestTheListIsReadAtTheStartAndAfterAGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &feed{
			list:    extern.CacheChanges{Incarnation: 1, Parts: []extern.CachePart{{Salt: "s", ID: "a", Tokens: 800}}},
			changes: extern.CacheChanges{Incarnation: 1},
		}
		p := follow(t, f, true)
		require.True(t, p.Available())
		require.True(t, p.Holds("s", "a", 800))
		require.False(t, p.Holds("s", "a", 1600), "half of a part is not worth a fetch")
		require.False(t, p.Holds("t", "a", 800), "another salt")
		f.set(func() { f.list.Parts, f.changes.EventsLost = nil, true })
		time.Sleep(2 * time.Second)
		require.False(t, p.Holds("s", "a", 800))
		f.set(func() { require.Greater(t, f.lists, 1) })
	})
}

func TestAStoreThatDoesNotAnswerIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &feed{}
		p := follow(t, f, true)
		f.set(func() { f.err = errors.New("refused") })
		time.Sleep(3 * time.Second)
		require.False(t, p.Available())
	})
}

func TestADaemonThatDoesNotFollowHearsFromOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := follow(t, &feed{}, false)
		require.False(t, p.Available())
		p.MarkReachedByPeer()
		require.True(t, p.Available())
		require.True(t, p.MarkSaveRequested("s", "a"))
		require.False(t, p.MarkSaveRequested("s", "a"), "asked for just before")
		require.False(t, p.Holds("s", "a", 100))
		time.Sleep(savedIn + time.Millisecond)
		require.True(t, p.Holds("s", "a", 100))
		time.Sleep(savedFor)
		require.False(t, p.Holds("s", "a", 100))
	})
}
