package leader

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// fakeStore is a store that can lose responses and apply writes late.
type fakeStore struct {
	mu      sync.Mutex
	records []extern.KeyedRecord
	era     ident.Era
	// fault returns the fault of a call: "" for none, "before" or "after" for a failure before or after it took effect,
	// "late" for a write that fails and takes effect later.
	fault func(write bool) string
}

type daemonStore struct {
	*fakeStore
	partitioned *atomic.Bool
}

func (e daemonStore) Newest(context.Context, extern.Topic) (extern.StoreBatch, error) {
	time.Sleep(4 * time.Millisecond)
	if e.partitioned.Load() {
		return extern.StoreBatch{}, &extern.StoreError{Kind: extern.StoreUnknown}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	b := extern.StoreBatch{Next: ident.NewOffset(e.era, uint64(len(e.records)))}
	if n := len(e.records); n > 0 {
		b.Records = []extern.KeyedRecord{e.records[n-1]}
	}
	return b, nil
}

func (e daemonStore) Read(context.Context, extern.Topic, ident.Offset, time.Duration) (extern.StoreBatch, error) {
	panic("not used")
}

func (e daemonStore) Put(_ context.Context, _ extern.Topic, key string, value []byte, end *ident.Offset) (ident.Offset, error) {
	time.Sleep(4 * time.Millisecond)
	if e.partitioned.Load() {
		return 0, &extern.StoreError{Kind: extern.StoreUnknown}
	}
	unknownOutcome := &extern.StoreError{Kind: extern.StoreUnknown}
	switch e.fault(true) {
	case "before":
		return 0, unknownOutcome
	case "late":
		condition := *end
		time.AfterFunc(2*time.Second, func() { _, _ = e.appendRecord(key, value, &condition) })
		return 0, unknownOutcome
	case "after":
		_, _ = e.appendRecord(key, value, end)
		return 0, unknownOutcome
	default:
		return e.appendRecord(key, value, end)
	}
}

func (m *fakeStore) appendRecord(key string, value []byte, end *ident.Offset) (ident.Offset, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if end.Number() != uint64(len(m.records)) {
		return 0, &extern.StoreError{Kind: extern.StoreConflict}
	}
	at := ident.NewOffset(m.era, end.Number())
	m.records = append(m.records, extern.KeyedRecord{Offset: at, Key: key, Value: value})
	if end.Era() != m.era {
		return 0, &extern.StoreError{Kind: extern.StoreUnknown}
	}
	return at, nil
}

type daemon struct {
	elector     atomic.Pointer[Elector]
	partitioned atomic.Bool
	cancel      context.CancelFunc
}

type testFleet struct {
	store     *fakeStore
	daemons   []*daemon
	startedAt time.Time
	wg        sync.WaitGroup
	// heartbeats makes daemons know at once who the leader is, as heartbeats do.
	heartbeats atomic.Bool
	// suspended is the time in nanoseconds that only BootClock counts.
	suspended atomic.Int64
}

func newTestFleet(n int, fault func(bool) string) *testFleet {
	f := &testFleet{store: &fakeStore{fault: fault}, startedAt: time.Now()}
	for i := range n {
		f.daemons = append(f.daemons, &daemon{})
		f.startDaemon(i, 1)
	}
	return f
}

// startDaemon starts an incarnation of a daemon.
func (f *testFleet) startDaemon(i int, incarnation uint64) {
	d := f.daemons[i]
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	elector := &Elector{
		Name: "weights", Self: ident.DaemonID(fmt.Sprint("d", i)), Incarnation: incarnation,
		Store:          daemonStore{f.store, &d.partitioned},
		BootClock:      func() time.Duration { return time.Since(f.startedAt) + time.Duration(f.suspended.Load()) },
		TakeoverRank:   func() int { return i },
		HasOtherLeader: func() bool { return f.heartbeats.Load() && f.hasOtherLeader(i) },
		Eligible:       func() bool { return !d.partitioned.Load() },
	}
	d.elector.Store(elector)
	f.wg.Go(func() { elector.Run(ctx) })
}

func (f *testFleet) hasOtherLeader(i int) bool {
	for j, d := range f.daemons {
		if e := d.elector.Load(); j != i && !d.partitioned.Load() && e != nil && e.Term() > 0 {
			return true
		}
	}
	return false
}

func (f *testFleet) stop() {
	for _, d := range f.daemons {
		d.cancel()
	}
	f.wg.Wait()
}

// leaders returns the terms of the daemons that are the leader now, by daemon.
func (f *testFleet) leaders() map[int]ident.Offset {
	out := map[int]ident.Offset{}
	for i, d := range f.daemons {
		if term := d.elector.Load().Term(); term > 0 {
			out[i] = term
		}
	}
	return out
}

func noFault(bool) string { return "" }

func TestFailoverRaisesTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(3, noFault)
		defer f.stop()
		f.heartbeats.Store(true)
		time.Sleep(time.Second)
		first := f.leaders()
		require.Len(t, first, 1)
		require.Contains(t, first, 0)
		f.daemons[0].cancel()
		f.daemons[0].partitioned.Store(true)
		time.Sleep(leaseDuration + takeoverMargin + 2*rankDelay + 200*time.Millisecond)
		second := f.leaders()
		require.Len(t, second, 1)
		require.Greater(t, second[1], first[0])
	})
}

func TestResignationAllowsImmediateTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(2, noFault)
		defer f.stop()
		f.heartbeats.Store(true)
		time.Sleep(time.Second)
		f.daemons[0].cancel()
		f.daemons[0].elector.Load().Resign(t.Context())
		time.Sleep(2*rankDelay + 200*time.Millisecond)
		require.Contains(t, f.leaders(), 1)
	})
}

func TestSuspendedLeaderHasNoTermAfterLeaseEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(1, noFault)
		defer f.stop()
		time.Sleep(time.Second)
		e := f.daemons[0].elector.Load()
		require.NotZero(t, e.Term())
		f.suspended.Store(int64(leaseDuration))
		require.Zero(t, e.Term())
	})
}

// Guards against two leaders at the same time and against terms that decrease or are used by two daemons, under random
// restarts, partitions and lost or late writes.
func TestAtMostOneLeaderAndTermsNeverDecrease(t *testing.T) {
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			f, randInt := newFaultyFleet(seed, 3)
			defer f.stop()
			f.checkLeaders(t, seed, randInt, func(int) {})
		})
	}
}

// newFaultyFleet returns a fleet of four whose writes to the store are lost or late at random.
func newFaultyFleet(seed, stream uint64) (f *testFleet, randInt func(n int) int) {
	rng := rand.New(rand.NewPCG(seed, stream))
	var mu sync.Mutex
	randInt = func(n int) int { mu.Lock(); defer mu.Unlock(); return rng.IntN(n) }
	return newTestFleet(4, func(bool) string { return [...]string{"", "", "", "", "", "before", "after", "late"}[randInt(8)] }), randInt
}

// checkLeaders restarts and partitions daemons at random for 30 s and checks the leaders. In each step it passes a random number
// below 60 to fault, which may inject others for 2 and above.
func (f *testFleet) checkLeaders(t *testing.T, seed uint64, randInt func(n int) int, fault func(n int)) {
	t.Helper()
	lastTerm, lastLeader, incarnation := ident.Offset(0), -1, uint64(1)
	for range 1500 {
		time.Sleep(20 * time.Millisecond)
		current := f.leaders()
		require.LessOrEqual(t, len(current), 1, "seed %d: several leaders %v", seed, current)
		for i, term := range current {
			require.GreaterOrEqual(t, term, lastTerm, "seed %d", seed)
			require.False(t, term == lastTerm && i != lastLeader, "seed %d: two daemons had term %d", seed, term)
			lastTerm, lastLeader = term, i
		}
		i, n := randInt(len(f.daemons)), randInt(60)
		switch n {
		case 0:
			f.daemons[i].partitioned.Store(!f.daemons[i].partitioned.Load())
		case 1:
			f.daemons[i].cancel()
			incarnation++
			f.startDaemon(i, incarnation)
		default:
			fault(n)
		}
	}
	require.NotZero(t, lastTerm, "seed %d: there was never a leader", seed)
}
