package leader

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
)

// copyRecords returns the records as a copy of the store holds them.
func (m *fakeStore) copyRecords() []extern.KeyedRecord {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.records)
}

// restore replaces the records by those of a copy and begins the next era.
func (m *fakeStore) restore(records []extern.KeyedRecord) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.records = slices.Clone(records)
	m.era++
}

// Guards against terms that go back with the offsets of a restored store, which engines would fence.
func TestTermsGrowThroughRestoreOfStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(2, noFault)
		defer f.stop()
		f.heartbeats.Store(true)
		older := f.store.copyRecords()
		time.Sleep(10 * time.Second)
		before := f.leaders()
		require.Contains(t, before, 0)
		f.store.restore(older)
		time.Sleep(leaseDuration)
		after := f.leaders()
		require.Contains(t, after, 0, "the lease goes on")
		require.Greater(t, after[0], before[0])
	})
}

// Guards against two leaders, and against terms that decrease, when the store returns from older copies under random restarts,
// partitions and lost or late writes.
func TestAtMostOneLeaderThroughRestoresOfStore(t *testing.T) {
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			f, randInt := newFaultyFleet(seed, 27)
			defer f.stop()
			time.Sleep(2 * time.Second)
			older := f.store.copyRecords()
			f.checkLeaders(t, seed, randInt, func(n int) {
				// A candidate waits out a lease after each restore, so that there must be some seconds between them.
				switch restores := n == 3 && randInt(6) == 0; {
				case n == 2:
					older = f.store.copyRecords()
				case restores:
					f.store.restore(older)
				}
			})
		})
	}
}
