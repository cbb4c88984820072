package prefix

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

func cacheEvent(incarnation ident.Incarnation, sequence ident.Sequence, added ...ident.BlockHash) extern.CacheEvent {
	return extern.CacheEvent{
		Position: extern.EnginePosition{Incarnation: incarnation, Sequence: sequence},
		Added:    added,
	}
}

// matchedBlocks returns the length in blocks of the prefix of the chain that each engine has in its cache.
func matchedBlocks(x *Index, chain ...ident.BlockHash) map[ident.UpstreamID]int {
	held := map[ident.UpstreamID]int{}
	for _, m := range x.Match(nil, chain) {
		held[m.Engine] = m.Blocks
	}
	return held
}

type blockCounts = map[ident.UpstreamID]int

func TestMatchFindsLongestContiguousPrefix(t *testing.T) {
	x := &Index{Capacity: 1000}
	x.Apply("a", cacheEvent(1, 1, 1, 2, 3))
	x.Apply("b", cacheEvent(1, 1, 1, 3, 4))
	x.Apply("c", cacheEvent(1, 1, 2, 3))
	require.Equal(t, blockCounts{"a": 3, "b": 1}, matchedBlocks(x, 1, 2, 3, 4))
	require.Empty(t, matchedBlocks(x, 9, 1))
	require.Empty(t, matchedBlocks(x))
}

// An engine that restarts loses its cache; events of its former incarnation can still arrive afterwards.
func TestRestartInvalidatesOlderIncarnation(t *testing.T) {
	x := &Index{Capacity: 1000}
	x.Apply("a", cacheEvent(1, 1, 1, 2))
	x.UpdateIncarnation("a", 2)
	require.Empty(t, matchedBlocks(x, 1, 2))
	x.Apply("a", cacheEvent(1, 2, 1, 2))
	require.Empty(t, matchedBlocks(x, 1, 2), "late event of the old incarnation")
	x.Apply("a", cacheEvent(2, 1, 1))
	require.Equal(t, blockCounts{"a": 1}, matchedBlocks(x, 1, 2))
}

// Lost events may contain removals, so nothing that was known before a gap can be relied on.
func TestEventGapInvalidatesEngineUntilResync(t *testing.T) {
	x := &Index{Capacity: 1000}
	require.False(t, x.Apply("a", cacheEvent(1, 1, 1, 2)))
	require.True(t, x.Apply("a", cacheEvent(1, 3, 7)))
	require.Empty(t, matchedBlocks(x, 1, 2))
	require.Zero(t, x.Position("a").Sequence)
	resync := cacheEvent(1, 4, 1)
	resync.Resync = true
	require.False(t, x.Apply("a", resync))
	require.Equal(t, blockCounts{"a": 1}, matchedBlocks(x, 1, 2))
	require.EqualValues(t, 4, x.Position("a").Sequence)
}

func TestExpectedEntriesExpireUnlessConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := &Index{Capacity: 1000, ExpectedTTL: time.Second}
		x.Apply("a", cacheEvent(1, 1))
		x.AddExpected("a", []ident.BlockHash{1, 2})
		require.Equal(t, blockCounts{"a": 2}, matchedBlocks(x, 1, 2))
		x.Apply("a", cacheEvent(1, 2, 1))
		time.Sleep(1200 * time.Millisecond)
		require.Equal(t, blockCounts{"a": 1}, matchedBlocks(x, 1, 2))
		x.AddExpected("a", []ident.BlockHash{1, 2})
		x.RemoveExpected("a", []ident.BlockHash{1, 2})
		require.Equal(t, blockCounts{"a": 1}, matchedBlocks(x, 1, 2), "the confirmed block stays")
	})
}

// A new engine takes the slot of a removed one and must not be matched by the entries of the former.
func TestReusedSlotDoesNotInheritEntries(t *testing.T) {
	x := &Index{Capacity: 1000}
	x.Apply("a", cacheEvent(1, 1, 1))
	x.RemoveEngine("a")
	require.Empty(t, matchedBlocks(x, 1))
	x.Apply("b", cacheEvent(1, 1, 2))
	require.Empty(t, matchedBlocks(x, 1))
	require.Equal(t, blockCounts{"b": 1}, matchedBlocks(x, 2))
}

// Generations have generationBits bits: after 1<<generationBits restarts the first generation is used again, and entries
// left over from it must not become valid.
func TestGenerationWrapAroundRevivesNoEntries(t *testing.T) {
	x := &Index{Capacity: 100}
	x.Apply("a", cacheEvent(1, 1, 1))
	for i := range generationMask + 1 {
		x.UpdateIncarnation("a", ident.Incarnation(i+2))
	}
	require.Empty(t, matchedBlocks(x, 1))
}

func TestFullIndexKeepsNewestEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := &Index{Capacity: 64}
		for i := range 2000 {
			x.Apply("a", cacheEvent(1, ident.Sequence(i+1), ident.BlockHash(uint64(i)*0x9e3779b97f4a7c15)))
			time.Sleep(stampUnit)
		}
		total := len(x.table.entries)
		require.LessOrEqual(t, x.CountEntries(), total)
		require.Greater(t, x.CountEntries(), total/2)
		require.Equal(t, 1, matchedBlocks(x, 1999*0x9e3779b97f4a7c15&(1<<64-1))["a"])
	})
}

// More engines hold the block than a bucket has entries, so that entries overflow into later buckets. Once all are
// removed, the overflow counts must be 0 again.
func TestOneBlockHeldByManyEngines(t *testing.T) {
	x := &Index{Capacity: 1000}
	for i := range 18 {
		x.Apply(ident.UpstreamID(rune('a'+i)), cacheEvent(1, 1, 5))
	}
	require.Len(t, matchedBlocks(x, 5), 18)
	for i := range 18 {
		ev := cacheEvent(1, 2)
		ev.Removed = []ident.BlockHash{5}
		x.Apply(ident.UpstreamID(rune('a'+i)), ev)
		require.Len(t, matchedBlocks(x, 5), 17-i)
	}
	for i := range x.table.overflow {
		require.Zero(t, x.table.overflow[i].Load())
	}
}

func TestMatchIsSafeWithConcurrentWriters(t *testing.T) {
	x := &Index{Capacity: 256}
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for range 3 {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				for _, m := range x.Match(nil, []ident.BlockHash{1, 2, 3}) {
					if m.Engine == "never" {
						t.Error("matched an engine that holds none of the blocks")
					}
				}
			}
		})
	}
	x.Apply("never", cacheEvent(1, 1, 99))
	for i := range 3000 {
		ev := cacheEvent(1, ident.Sequence(i+1), ident.BlockHash(i%5+1))
		ev.Removed = []ident.BlockHash{ident.BlockHash((i+2)%5 + 1)}
		x.Apply("a", ev)
		x.AddExpected("b", []ident.BlockHash{1, 2})
		x.UpdateIncarnation("b", ident.Incarnation(i))
	}
	close(stop)
	wg.Wait()
}

// An entry is two words that are written one after the other. A reader must not combine the hash of one write with the
// metadata of another.
func TestConcurrentReadNeverMixesEntries(t *testing.T) {
	var e entry
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for i := uint64(1); ; i = i%3 + 1 {
			select {
			case <-stop:
				return
			default:
				e.store(i, newMeta(uint16(i), 0, 0, 0))
			}
		}
	})
	for i := range 600_000 {
		hash := ident.BlockHash(i%3 + 1)
		if m, ok := e.match(hash); ok && uint64(m.slot()) != uint64(hash) {
			t.Errorf("read hash %d with the engine of hash %d", hash, m.slot())
			break
		}
	}
	close(stop)
	wg.Wait()
}
