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

// memory is a store whose answers may be lost and whose writes may take effect late.
type memory struct {
	mu      sync.Mutex
	records []extern.KeyedRecord
	// fault returns what happens to a call of a daemon: nothing, lost after or before it took effect, or late.
	fault func(write bool) string
}

type entrance struct {
	*memory
	cut *atomic.Bool
}

func (e entrance) Newest(context.Context, extern.Topic) (extern.StoreBatch, error) {
	time.Sleep(4 * time.Millisecond)
	if e.cut.Load() {
		return extern.StoreBatch{}, &extern.StoreError{Kind: extern.StoreUnknown}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	b := extern.StoreBatch{Next: ident.Offset(len(e.records))}
	if n := len(e.records); n > 0 {
		b.Records = []extern.KeyedRecord{e.records[n-1]}
	}
	return b, nil
}

func (e entrance) Read(context.Context, extern.Topic, ident.Offset, time.Duration) (extern.StoreBatch, error) {
	panic("not used")
}

func (e entrance) Put(_ context.Context, _ extern.Topic, key string, value []byte, end *ident.Offset) (ident.Offset, error) {
	time.Sleep(4 * time.Millisecond)
	if e.cut.Load() {
		return 0, &extern.StoreError{Kind: extern.StoreUnknown}
	}
	lost := &extern.StoreError{Kind: extern.StoreUnknown}
	switch e.fault(true) {
	case "before":
		return 0, lost
	case "late":
		at := *end
		time.AfterFunc(2*time.Second, func() { _, _ = e.add(key, value, &at) })
		return 0, lost
	case "after":
		_, _ = e.add(key, value, end)
		return 0, lost
	default:
		return e.add(key, value, end)
	}
}

func (m *memory) add(key string, value []byte, end *ident.Offset) (ident.Offset, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if *end != ident.Offset(len(m.records)) {
		return 0, &extern.StoreError{Kind: extern.StoreConflict}
	}
	m.records = append(m.records, extern.KeyedRecord{Offset: *end, Key: key, Value: value})
	return *end, nil
}

type daemon struct {
	keeper atomic.Pointer[Elector]
	cut    atomic.Bool
	cancel context.CancelFunc
}

type group struct {
	store   *memory
	daemons []*daemon
	begun   time.Time
	wg      sync.WaitGroup
	// hear lets daemons know at once who holds the duty, as beats do.
	hear atomic.Bool
	// suspended is the time that only the clock of Elapsed counts.
	suspended atomic.Int64
}

func newGroup(n int, fault func(bool) string) *group {
	g := &group{store: &memory{fault: fault}, begun: time.Now()}
	for i := range n {
		g.daemons = append(g.daemons, &daemon{})
		g.start(i, 1)
	}
	return g
}

// start runs an incarnation of a daemon.
func (g *group) start(i int, incarnation uint64) {
	d := g.daemons[i]
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	keeper := &Elector{
		Name: "weights", Self: ident.DaemonID(fmt.Sprint("d", i)), Incarnation: incarnation,
		Store:          entrance{g.store, &d.cut},
		BootClock:      func() time.Duration { return time.Since(g.begun) + time.Duration(g.suspended.Load()) },
		TakeoverRank:   func() int { return i },
		HasOtherLeader: func() bool { return g.hear.Load() && g.heldByOther(i) },
		Eligible:       func() bool { return !d.cut.Load() },
	}
	d.keeper.Store(keeper)
	g.wg.Go(func() { keeper.Run(ctx) })
}

func (g *group) heldByOther(i int) bool {
	for j, d := range g.daemons {
		if k := d.keeper.Load(); j != i && !d.cut.Load() && k != nil && k.Term() > 0 {
			return true
		}
	}
	return false
}

func (g *group) stop() {
	for _, d := range g.daemons {
		d.cancel()
	}
	g.wg.Wait()
}

// holders returns the terms of those who hold the duty now.
func (g *group) holders() map[int]ident.Offset {
	out := map[int]ident.Offset{}
	for i, d := range g.daemons {
		if term := d.keeper.Load().Term(); term > 0 {
			out[i] = term
		}
	}
	return out
}

func never(bool) string { return "" }

func TestAnotherDaemonTakesOverWithAHigherTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(3, never)
		defer g.stop()
		g.hear.Store(true)
		time.Sleep(time.Second)
		first := g.holders()
		require.Len(t, first, 1)
		require.Contains(t, first, 0)
		g.daemons[0].cancel()
		g.daemons[0].cut.Store(true)
		time.Sleep(leaseFor + takeoverMargin + 2*rankPause + 200*time.Millisecond)
		second := g.holders()
		require.Len(t, second, 1)
		require.Greater(t, second[1], first[0])
	})
}

func TestAReleasedDutyIsTakenAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(2, never)
		defer g.stop()
		g.hear.Store(true)
		time.Sleep(time.Second)
		g.daemons[0].cancel()
		g.daemons[0].keeper.Load().Resign(t.Context())
		time.Sleep(2*rankPause + 200*time.Millisecond)
		require.Contains(t, g.holders(), 1)
	})
}

func TestAFrozenHolderHasNoTermWhenItWakes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(1, never)
		defer g.stop()
		time.Sleep(time.Second)
		k := g.daemons[0].keeper.Load()
		require.NotZero(t, k.Term())
		g.suspended.Store(int64(leaseFor))
		require.Zero(t, k.Term())
	})
}

// TestNeverTwoHoldersAndTermsGrow draws restarts, cuts and lost or late writes.
func TestNeverTwoHoldersAndTermsGrow(t *testing.T) {
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 3))
			var mu sync.Mutex
			draw := func(n int) int { mu.Lock(); defer mu.Unlock(); return rng.IntN(n) }
			g := newGroup(4, func(bool) string { return [...]string{"", "", "", "", "", "before", "after", "late"}[draw(8)] })
			defer g.stop()
			last, owner, incarnation := ident.Offset(0), -1, uint64(1)
			for range 1500 {
				time.Sleep(20 * time.Millisecond)
				now := g.holders()
				require.LessOrEqual(t, len(now), 1, "seed %d: %v hold the duty", seed, now)
				for i, term := range now {
					require.GreaterOrEqual(t, term, last, "seed %d", seed)
					require.False(t, term == last && i != owner, "seed %d: two daemons had term %d", seed, term)
					last, owner = term, i
				}
				switch i := draw(len(g.daemons)); draw(60) {
				case 0:
					g.daemons[i].cut.Store(!g.daemons[i].cut.Load())
				case 1:
					g.daemons[i].cancel()
					incarnation++
					g.start(i, incarnation)
				}
			}
			require.NotZero(t, last, "seed %d: nobody ever held the duty", seed)
		})
	}
}
