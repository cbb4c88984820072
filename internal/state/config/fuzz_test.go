package config

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// FuzzApply applies arbitrary bytes as a record to a populated state and checks the indexes and that a checkpoint of the
// result decodes to the same state.
func FuzzApply(f *testing.F) {
	for i, e := range []Entity{
		&Organisation{ID: "o", Team: "alder", Rate: 1, Burst: 1},
		&Member{ID: "d", Incarnation: 2, State: MemberJoined},
		&Setting{Path: "/platform/settings/a", Value: "1"},
		&Move{ID: "m", Team: "alder", Model: "m", From: "v1", To: "v2", State: MoveRunning},
	} {
		rec := NewRecord("r", "o", ident.Offset(i), e)
		raw, err := proto.Marshal(rec)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		rec := &wire.Record{}
		if proto.Unmarshal(raw, rec) != nil {
			return
		}
		state, _ := populatedState(t).Apply(100, rec)
		if state.Offset() != 100 {
			t.Fatalf("state is at offset %d, want 100", state.Offset())
		}
		requireIndexed(t, state)
		restored, err := DecodeCheckpoint(state.EncodeCheckpoint("c"))
		if err != nil {
			t.Fatal(err)
		}
		if string(dump(t, state)) != string(dump(t, restored)) {
			t.Fatal("state decoded from its checkpoint differs from the original")
		}
	})
}

// FuzzDecodeCheckpoint decodes arbitrary bytes as a checkpoint chunk and checks the indexes of the state.
func FuzzDecodeCheckpoint(f *testing.F) {
	s, _ := NewState().ApplyAll(fleetEntries(3, 3))
	for _, chunk := range s.EncodeCheckpoint("c") {
		raw, err := proto.Marshal(chunk)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		chunk := &wire.CheckpointChunk{}
		if proto.Unmarshal(raw, chunk) != nil {
			return
		}
		if state, err := DecodeCheckpoint([]*wire.CheckpointChunk{chunk}); err == nil {
			requireIndexed(t, state)
		}
	})
}
