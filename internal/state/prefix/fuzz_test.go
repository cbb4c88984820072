package prefix

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// FuzzMerge merges an arbitrary digest of a peer before and after an event of the engine itself. Matches must stay
// within the chain, and the index must end at the newest incarnation.
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
				t.Fatalf("matched %d blocks of a chain of %d", m.Blocks, len(chain))
			}
			if m.Incarnation != x.Position(m.Engine).Incarnation {
				t.Fatalf("match has incarnation %d, the engine has %d", m.Incarnation, x.Position(m.Engine).Incarnation)
			}
		}
		if newest := max(position.Incarnation, ident.Incarnation(d.GetIncarnation())); d.GetUpstreamId() == "e1" &&
			x.Position("e1").Incarnation != newest {
			t.Fatalf("index has incarnation %d, the newest one is %d", x.Position("e1").Incarnation, newest)
		}
	})
}
