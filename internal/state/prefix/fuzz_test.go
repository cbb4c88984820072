package prefix

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// FuzzMerge takes in any digest of another daemon beside an engine's own event.
func FuzzMerge(f *testing.F) {
	for _, d := range []*wire.EngineDigest{
		{UpstreamId: "e1", Incarnation: 2, EventSequence: 7, Full: true, AddedBlocks: []uint64{1, 2, 3}},
		{UpstreamId: "e1", Incarnation: 1, EventSequence: 9, AddedBlocks: []uint64{3}, RemovedBlocks: []uint64{1}},
		{UpstreamId: "", Incarnation: 1 << 63, EventSequence: 1 << 63, AddedBlocks: []uint64{0}},
	} {
		raw, err := proto.Marshal(d)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw, uint64(2), uint64(3), true)
	}
	chain := []ident.BlockHash{1, 2, 3}
	f.Fuzz(func(t *testing.T, raw []byte, incarnation, sequence uint64, resync bool) {
		d := &wire.EngineDigest{}
		if proto.Unmarshal(raw, d) != nil {
			return
		}
		x := &Index{Capacity: 64}
		x.Merge(d)
		position := extern.EnginePosition{Incarnation: ident.Incarnation(incarnation), Sequence: ident.Sequence(sequence)}
		x.Apply("e1", extern.CacheEvent{Position: position, Resync: resync, Added: chain})
		x.Merge(d)
		for _, m := range x.Match(nil, chain) {
			if m.Blocks < 1 || m.Blocks > len(chain) {
				t.Fatalf("%d of %d blocks are held", m.Blocks, len(chain))
			}
			if m.Incarnation != x.Position(m.Engine).Incarnation {
				t.Fatalf("a match relies on incarnation %d, the engine is at %d", m.Incarnation, x.Position(m.Engine).Incarnation)
			}
		}
		if newest := max(position.Incarnation, ident.Incarnation(d.GetIncarnation())); d.GetUpstreamId() == "e1" &&
			x.Position("e1").Incarnation != newest {
			t.Fatalf("the index is at incarnation %d, not at the newest, %d", x.Position("e1").Incarnation, newest)
		}
	})
}
