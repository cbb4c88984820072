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

func TestDeltaCarriesUsedBlocksAndTheirRemoval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x, y := &Index{Capacity: 100}, &Index{Capacity: 100}
		x.Apply("a", event(1, 1, 1, 2, 3))
		blocks(x, 1, 2)
		merge(y, deltas(x, 1<<10))
		require.Equal(t, holdings{"a": 2}, blocks(y, 1, 2, 3))
		require.Empty(t, deltas(x, 1<<10), "nothing has changed")

		ev := event(1, 2)
		ev.Removed = []ident.BlockHash{2, 3}
		x.Apply("a", ev)
		merge(y, deltas(x, 1<<10))
		require.Equal(t, holdings{"a": 1}, blocks(y, 1, 2, 3))

		time.Sleep(2 * DefaultExpectedTTL)
		require.Empty(t, blocks(y, 1), "hearsay expires")
	})
}

func TestDeltaKeepsItsLimit(t *testing.T) {
	x := &Index{Capacity: 1000}
	chain := make([]ident.BlockHash, 500)
	for i := range chain {
		chain[i] = ident.BlockHash(i+1) * 0x9e3779b97f4a7c15
	}
	x.Apply("a", event(1, 1, chain...))
	blocks(x, chain...)
	const limit = 1000
	told := 0
	for range 40 {
		bytes := 0
		for _, d := range x.Delta(limit) {
			bytes += proto.Size(d)
			told += len(d.GetAddedBlocks())
		}
		require.LessOrEqual(t, bytes, limit)
	}
	require.Equal(t, 500, told)
}

func TestOwnEventsGoBeforeHearsay(t *testing.T) {
	y := &Index{Capacity: 100}
	y.Apply("a", event(2, 5, 1))
	resync := event(2, 5, 1)
	resync.Resync = true
	y.Apply("a", resync)
	y.Merge(&wire.EngineDigest{UpstreamId: "a", Incarnation: 2, EventSequence: 4, AddedBlocks: []uint64{2}, RemovedBlocks: []uint64{1}})
	require.Equal(t, holdings{"a": 1}, blocks(y, 1, 2))
	y.Merge(&wire.EngineDigest{UpstreamId: "a", Incarnation: 1, EventSequence: 9, AddedBlocks: []uint64{1, 2}})
	require.Equal(t, holdings{"a": 1}, blocks(y, 1, 2), "of a dead incarnation")
	y.Merge(&wire.EngineDigest{UpstreamId: "a", Incarnation: 3, EventSequence: 1, AddedBlocks: []uint64{2}})
	require.Empty(t, blocks(y, 1), "the engine has restarted")
	require.Equal(t, holdings{"a": 1}, blocks(y, 2))
}

func TestSnapshotWarmsAnIndex(t *testing.T) {
	x, y := &Index{Capacity: 1000}, &Index{Capacity: 1000}
	x.Apply("a", event(7, 1, 1, 2, 3))
	x.Apply("b", event(3, 1, 1))
	x.Apply("b", event(3, 4, 2))
	for _, d := range x.Snapshot() {
		y.Merge(d)
	}
	require.Equal(t, holdings{"a": 3}, blocks(y, 1, 2, 3), "b is suspect")
	require.Equal(t, x.Position("a"), y.Position("a"))
	ev := event(7, 2)
	ev.Removed = []ident.BlockHash{3}
	require.False(t, y.Apply("a", ev), "the events go on where the snapshot ends")
	require.Equal(t, holdings{"a": 2}, blocks(y, 1, 2, 3))
}

func deltas(x *Index, limit int) []*wire.EngineDigest {
	var all []*wire.EngineDigest
	for range scanShare + 1 {
		all = append(all, x.Delta(limit)...)
	}
	return all
}

func merge(y *Index, digests []*wire.EngineDigest) {
	for _, d := range digests {
		y.Merge(d)
	}
}
