package config

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// drawEntity draws an entity with one of few ids, so that records often concern the same or related entities.
func drawEntity(rt *rapid.T) Entity {
	n := rapid.IntRange(0, 3).Draw(rt, "n")
	id := fmt.Sprint("x", n)
	team := ident.TeamID(rapid.SampledFrom([]string{"alder", "birch"}).Draw(rt, "team"))
	kinds := []Entity{
		&Operator{ID: ident.OperatorID(id), KeyDigest: ident.DigestOf(id)},
		&Organisation{ID: ident.OrganisationID(id), Team: team, Rate: ident.TokensPerSecond(n), Burst: 5},
		&Key{ID: ident.KeyID(id), Team: team, Organisation: ident.OrganisationID(id), Digest: ident.DigestOf(id), Withdrawn: n == 2},
		&Route{ID: ident.RouteID(id), Team: team, Kind: RouteModel, Model: "x1", OnKeyWithdrawal: WithdrawalCut},
		&Route{ID: ident.RouteID(id), Team: team, Kind: RoutePlain, PathPrefix: "/p", Upstreams: []ident.UpstreamID{"x2"}, OnKeyWithdrawal: WithdrawalFinish},
		&Upstream{ID: ident.UpstreamID(id), Kind: UpstreamPlain, BaseURL: "http://127.0.0.1:1"},
		&Model{ID: ident.ModelID(id), BlockTokens: 1024, CurrentVersion: ident.VersionID([]string{"", "x1", "x2", ""}[n])},
		&Version{ID: ident.VersionID(id), Model: "x1", Weights: "w"},
		&Setting{Path: ident.Path("/platform/settings/" + id), Value: fmt.Sprint(n)},
		&Member{ID: ident.DaemonID(id), Incarnation: ident.Incarnation(rapid.IntRange(1, 3).Draw(rt, "incarnation")), State: MemberState(rapid.SampledFrom([]string{"joined", "removed"}).Draw(rt, "state"))},
		&Move{ID: ident.MoveID(id), Team: team, Model: "x1", From: "x1", To: "x2", State: MoveState(rapid.SampledFrom([]string{"running", "done"}).Draw(rt, "moveState"))},
	}
	return rapid.SampledFrom(kinds).Draw(rt, "entity")
}

// drawRecord draws a record that is mostly based on the current revision; sometimes it is stale, empty, a checkpoint mark or
// a duplicate of an earlier record.
func drawRecord(rt *rapid.T, s *State, earlier []*wire.LogEntry) *wire.Record {
	switch k := rapid.IntRange(0, 19).Draw(rt, "kind"); {
	case k == 0:
		return &wire.Record{}
	case k == 1:
		mark := CheckpointMark{ID: "c", AsOf: s.Offset(), First: 1, Last: 2, Count: 1}
		return &wire.Record{Entity: &wire.Record_CheckpointMark{CheckpointMark: mark.Wire()}}
	case k < 5 && len(earlier) > 0:
		return rapid.SampledFrom(earlier).Draw(rt, "earlier").GetRecord()
	}
	id := ident.RecordID(fmt.Sprint("r", s.Offset()))
	e := drawEntity(rt)
	base := s.Revision(PathOf(e))
	if rapid.IntRange(0, 9).Draw(rt, "stale") == 0 {
		base = ident.Offset(rapid.IntRange(0, 3).Draw(rt, "base"))
	}
	if rapid.IntRange(0, 3).Draw(rt, "delete") == 0 {
		return NewDeletion(id, "o", base, PathOf(e))
	}
	rec := NewRecord(id, "o", base, e)
	rec.InForceOffset = rapid.Uint64Range(0, 200).Draw(rt, "inForce")
	return rec
}

func drawEntries(rt *rapid.T) []*wire.LogEntry {
	s := NewState()
	var entries []*wire.LogEntry
	for range rapid.IntRange(1, 120).Draw(rt, "records") {
		rec := drawRecord(rt, s, entries)
		entry := &wire.LogEntry{Offset: uint64(s.Offset()) + 1, Record: rec}
		entries = append(entries, entry)
		s, _ = s.Apply(s.Offset()+1, rec)
	}
	return entries
}

// dump returns a deterministic encoding of the whole state: equal states give equal bytes.
func dump(t require.TestingT, s *State) []byte {
	var all []byte
	for _, chunk := range s.EncodeCheckpoint("dump") {
		raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(chunk)
		require.NoError(t, err)
		all = append(all, raw...)
	}
	return all
}

// requireIndexed checks that the indexes hold as many entities as there are and that lookups by unique key find them.
func requireIndexed(t require.TestingT, s *State) {
	indexed := len(s.operators) + s.organisations.size + s.keys.size + len(s.routes) + len(s.upstreams) +
		len(s.models) + len(s.versions) + len(s.members) + len(s.moves)
	entities := 0
	for path, e := range s.Entities() {
		require.Equal(t, path, PathOf(e))
		if _, ok := e.(*Setting); ok {
			continue
		}
		entities++
		if indexedPath, unique := s.pathByUniqueKey(e); unique {
			require.Equal(t, path, indexedPath)
		}
	}
	require.Equal(t, entities, indexed)
}

// Daemons that apply records one by one, in batches or on top of a checkpoint must reach the same state and reject the same
// records; otherwise they would run with different configurations.
func TestReplayFromCheckpointEqualsFullReplay(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		entries := drawEntries(rt)
		cut := rapid.IntRange(0, len(entries)).Draw(rt, "cut")

		stepwise := NewState()
		var stepErrs []error
		for _, entry := range entries {
			before := dump(rt, stepwise)
			next, err := stepwise.Apply(ident.Offset(entry.GetOffset()), entry.GetRecord())
			require.Equal(rt, before, dump(rt, stepwise), "Apply modified its receiver")
			stepwise, stepErrs = next, append(stepErrs, err)
		}
		requireIndexed(rt, stepwise)

		batch, batchErrs := NewState().ApplyAll(entries)
		require.Equal(rt, dump(rt, stepwise), dump(rt, batch))
		require.Equal(rt, stepErrs, batchErrs)

		beforeCut, _ := NewState().ApplyAll(entries[:cut])
		restored, err := DecodeCheckpoint(beforeCut.EncodeCheckpoint("c"))
		require.NoError(rt, err)
		requireIndexed(rt, restored)
		resumed, resumedErrs := restored.ApplyAll(entries[cut:])
		require.Equal(rt, dump(rt, stepwise), dump(rt, resumed))
		for i, err := range resumedErrs {
			require.Equal(rt, fmt.Sprint(stepErrs[cut+i]), fmt.Sprint(err))
		}
	})
}

// An append whose response is lost is repeated, so the stream may hold a record more than once. Only one copy may take effect.
func TestDuplicateRecordTakesEffectOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		entries := drawEntries(rt)
		applied := map[string]bool{}
		s := NewState()
		for _, entry := range entries {
			next, err := s.Apply(ident.Offset(entry.GetOffset()), entry.GetRecord())
			id := entry.GetRecord().GetRecordId()
			if err == nil && id != "" {
				require.False(rt, applied[id], "record %s was applied twice", id)
				applied[id] = true
			}
			s = next
		}
	})
}

// Paths that are created and deleted over and over must not grow the state without limit.
func TestTombstonesAreBounded(t *testing.T) {
	s := NewState()
	var entries []*wire.LogEntry
	add := func(rec *wire.Record) {
		entries = append(entries, &wire.LogEntry{Offset: uint64(len(entries) + 1), Record: rec})
	}
	for i := range maxTombstones + 10 {
		setting := &Setting{Path: ident.Path(fmt.Sprint("/platform/settings/", i)), Value: "1"}
		add(NewRecord(ident.RecordID(fmt.Sprint("a", i)), "o", 0, setting))
		add(NewDeletion(ident.RecordID(fmt.Sprint("d", i)), "o", ident.Offset(len(entries)), setting.Path))
	}
	s, _ = s.ApplyAll(entries)
	require.Len(t, s.tombstones, maxTombstones)
	require.Equal(t, maxTombstones, s.nodes.size)
	require.Zero(t, s.Revision("/platform/settings/9"))
	require.NotZero(t, s.Revision("/platform/settings/10"))
}

// A checkpoint may be read while chunks are missing or belong to another one. Decoding must fail instead of returning a
// partial state. Chunks must also stay below 64 KiB.
func TestDecodeCheckpointRejectsIncompleteOrMixedChunks(t *testing.T) {
	s, _ := NewState().ApplyAll(fleetEntries(2000, 0))
	chunks := s.EncodeCheckpoint("c")
	require.Greater(t, len(chunks), 2)
	other := s.EncodeCheckpoint("d")
	for name, broken := range map[string][]*wire.CheckpointChunk{
		"no chunks":            nil,
		"first chunk missing":  chunks[1:],
		"second chunk missing": append(append([]*wire.CheckpointChunk{}, chunks[0], chunks[0]), chunks[2:]...),
		"mixed checkpoints":    append(append([]*wire.CheckpointChunk{}, other[0]), chunks[1:]...),
	} {
		_, err := DecodeCheckpoint(broken)
		var checkpointErr *CheckpointError
		require.ErrorAs(t, err, &checkpointErr, name)
	}
	for _, chunk := range chunks {
		require.Less(t, proto.Size(chunk), 64<<10)
	}
}

// A chunk with two entries of the same path or key digest is corrupt: one of them would silently replace the other.
func TestDecodeCheckpointRejectsDuplicates(t *testing.T) {
	s, _ := NewState().ApplyAll(fleetEntries(1, 2))
	tests := map[string]func(c *wire.CheckpointChunk){
		"duplicate path": func(c *wire.CheckpointChunk) { c.Entries = append(c.Entries, c.Entries[0]) },
		"duplicate key digest": func(c *wire.CheckpointChunk) {
			c.Entries[0].Record.GetKey().KeyDigest = c.Entries[1].Record.GetKey().KeyDigest
		},
	}
	for name, corrupt := range tests {
		chunk := s.EncodeCheckpoint("c")[0]
		corrupt(chunk)
		_, err := DecodeCheckpoint([]*wire.CheckpointChunk{chunk})
		var checkpointErr *CheckpointError
		require.ErrorAs(t, err, &checkpointErr, name)
	}
}

// fleetEntries returns log entries that create the given numbers of organisations and keys.
func fleetEntries(organisations, keys int) []*wire.LogEntry {
	var entries []*wire.LogEntry
	add := func(e Entity) {
		n := len(entries) + 1
		rec := NewRecord(ident.RecordID(fmt.Sprint("r", n)), "operator", 0, e)
		entries = append(entries, &wire.LogEntry{Offset: uint64(n), Record: rec})
	}
	for i := range organisations {
		add(&Organisation{ID: ident.OrganisationID(fmt.Sprint("org", i)), Team: "alder", Rate: 1000, Burst: 5000})
	}
	for i := range keys {
		org := ident.OrganisationID(fmt.Sprint("org", i%organisations))
		id := fmt.Sprint("key", i)
		add(&Key{ID: ident.KeyID(id), Team: "alder", Organisation: org, Digest: ident.DigestOf(id)})
	}
	return entries
}

// Numbers of organisations and keys in the largest fleet that the software is designed for.
const (
	benchOrganisations = 17000
	benchKeys          = 40000
)

func BenchmarkApply(b *testing.B) {
	s, _ := NewState().ApplyAll(fleetEntries(benchOrganisations, benchKeys))
	org, _ := s.Organisation("org7")
	rec := NewRecord("next", "operator", s.Revision(PathOf(org)), org)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := s.Apply(s.Offset()+1, rec); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkApplyAll(b *testing.B) {
	entries := fleetEntries(benchOrganisations, benchKeys)
	b.ReportAllocs()
	for b.Loop() {
		NewState().ApplyAll(entries)
	}
	b.ReportMetric(float64(len(entries))*float64(b.N)/b.Elapsed().Seconds(), "records/s")
}

// BenchmarkHeap reports the heap memory of a state, in bytes.
func BenchmarkHeap(b *testing.B) {
	entries := fleetEntries(benchOrganisations, benchKeys)
	for b.Loop() {
		before := heapBytes()
		s, _ := NewState().ApplyAll(entries)
		b.ReportMetric(float64(heapBytes()-before), "stateBytes")
		runtime.KeepAlive(s)
	}
}

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

func BenchmarkCheckpoint(b *testing.B) {
	s, _ := NewState().ApplyAll(fleetEntries(benchOrganisations, benchKeys))
	chunks := s.EncodeCheckpoint("c")
	b.Run("encode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			s.EncodeCheckpoint("c")
		}
		size := 0
		for _, chunk := range chunks {
			size += proto.Size(chunk)
		}
		b.ReportMetric(float64(len(chunks)), "chunks")
		b.ReportMetric(float64(size), "checkpointBytes")
	})
	b.Run("decode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := DecodeCheckpoint(chunks); err != nil {
				b.Fatal(err)
			}
		}
	})
}
