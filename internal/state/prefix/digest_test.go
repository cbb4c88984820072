package prefix

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

func TestDeltaCarriesUsedBlocksAndTheirRemovals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x, y := &Index{Capacity: 100}, &Index{Capacity: 100}
		x.Apply("a", cacheEvent(1, 1, 1, 2, 3))
		matchedBlocks(x, 1, 2)
		mergeAll(y, collectDeltas(x, 1<<10))
		require.Equal(t, blockCounts{"a": 2}, matchedBlocks(y, 1, 2, 3))
		require.Empty(t, collectDeltas(x, 1<<10), "nothing has changed")

		ev := cacheEvent(1, 2)
		ev.Removed = []ident.BlockHash{2, 3}
		x.Apply("a", ev)
		mergeAll(y, collectDeltas(x, 1<<10))
		require.Equal(t, blockCounts{"a": 1}, matchedBlocks(y, 1, 2, 3))

		time.Sleep(2 * DefaultExpectedTTL)
		require.Empty(t, matchedBlocks(y, 1), "blocks from a peer's digest expire")
	})
}

func TestDeltaStaysWithinByteLimit(t *testing.T) {
	x := &Index{Capacity: 1000}
	chain := make([]ident.BlockHash, 500)
	for i := range chain {
		chain[i] = ident.BlockHash(i+1) * 0x9e3779b97f4a7c15
	}
	x.Apply("a", cacheEvent(1, 1, chain...))
	matchedBlocks(x, chain...)
	const limit = 1000
	sent := 0
	for range 40 {
		bytes := 0
		for _, d := range x.Delta(limit) {
			bytes += proto.Size(d)
			sent += len(d.GetAddedBlocks())
		}
		require.LessOrEqual(t, bytes, limit)
	}
	require.Equal(t, 500, sent)
}

// A peer's digest can be older than the events that this daemon has applied, or of another incarnation of the engine.
func TestOwnEventsTakePrecedenceOverPeerDigests(t *testing.T) {
	y := &Index{Capacity: 100}
	y.Apply("a", cacheEvent(2, 5, 1))
	resync := cacheEvent(2, 5, 1)
	resync.Resync = true
	y.Apply("a", resync)
	y.Merge(&wire.EngineDigest{UpstreamId: "a", Incarnation: 2, EventSequence: 4, AddedBlocks: []uint64{2}, RemovedBlocks: []uint64{1}})
	require.Equal(t, blockCounts{"a": 1}, matchedBlocks(y, 1, 2))
	y.Merge(&wire.EngineDigest{UpstreamId: "a", Incarnation: 1, EventSequence: 9, AddedBlocks: []uint64{1, 2}})
	require.Equal(t, blockCounts{"a": 1}, matchedBlocks(y, 1, 2), "digest of an older incarnation")
	y.Merge(&wire.EngineDigest{UpstreamId: "a", Incarnation: 3, EventSequence: 1, AddedBlocks: []uint64{2}})
	require.Empty(t, matchedBlocks(y, 1), "digest of a newer incarnation")
	require.Equal(t, blockCounts{"a": 1}, matchedBlocks(y, 2))
}

func TestSnapshotInitialisesAnotherIndex(t *testing.T) {
	x, y := &Index{Capacity: 1000}, &Index{Capacity: 1000}
	x.Apply("a", cacheEvent(7, 1, 1, 2, 3))
	x.Apply("b", cacheEvent(3, 1, 1))
	x.Apply("b", cacheEvent(3, 4, 2))
	for _, d := range x.Snapshot() {
		y.Merge(d)
	}
	require.Equal(t, blockCounts{"a": 3}, matchedBlocks(y, 1, 2, 3), "engine b needs a resync and is left out")
	require.Equal(t, x.Position("a"), y.Position("a"))
	ev := cacheEvent(7, 2)
	ev.Removed = []ident.BlockHash{3}
	require.False(t, y.Apply("a", ev), "the event after the snapshot's position is not a gap")
	require.Equal(t, blockCounts{"a": 2}, matchedBlocks(y, 1, 2, 3))
}

// collectDeltas calls Delta until the whole table has been scanned.
func collectDeltas(x *Index, limit int) []*wire.EngineDigest {
	var all []*wire.EngineDigest
	for range deltaScanDivisor + 1 {
		all = append(all, x.Delta(limit)...)
	}
	return all
}

func mergeAll(y *Index, digests []*wire.EngineDigest) {
	for _, d := range digests {
		y.Merge(d)
	}
}
