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

// drawEntity draws one of few entities, so that records meet each other.
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

// drawRecord draws a record that mostly fits the state, sometimes a repeat of an earlier one.
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

// dump returns the whole state in bytes that are equal for equal states.
func dump(t require.TestingT, s *State) []byte {
	var all []byte
	for _, chunk := range s.EncodeCheckpoint("dump") {
		raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(chunk)
		require.NoError(t, err)
		all = append(all, raw...)
	}
	return all
}

// requireIndexed checks that the indexes hold the entities and nothing else.
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
		if holder, unique := s.holderOf(e); unique {
			require.Equal(t, path, holder)
		}
	}
	require.Equal(t, entities, indexed)
}

func TestReplayFromACheckpointEqualsTheWholeReplay(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		entries := drawEntries(rt)
		cut := rapid.IntRange(0, len(entries)).Draw(rt, "cut")

		one := NewState()
		var oneErrs []error
		for _, entry := range entries {
			before := dump(rt, one)
			next, err := one.Apply(ident.Offset(entry.GetOffset()), entry.GetRecord())
			require.Equal(rt, before, dump(rt, one), "Apply changed its receiver")
			one, oneErrs = next, append(oneErrs, err)
		}
		requireIndexed(rt, one)

		all, allErrs := NewState().ApplyAll(entries)
		require.Equal(rt, dump(rt, one), dump(rt, all))
		require.Equal(rt, oneErrs, allErrs)

		half, _ := NewState().ApplyAll(entries[:cut])
		restored, err := DecodeCheckpoint(half.EncodeCheckpoint("c"))
		require.NoError(rt, err)
		requireIndexed(rt, restored)
		rest, restErrs := restored.ApplyAll(entries[cut:])
		require.Equal(rt, dump(rt, one), dump(rt, rest))
		for i, err := range restErrs {
			require.Equal(rt, fmt.Sprint(oneErrs[cut+i]), fmt.Sprint(err))
		}
	})
}

func TestACopyOfARecordNeverTakesEffectTwice(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		entries := drawEntries(rt)
		taken := map[string]bool{}
		s := NewState()
		for _, entry := range entries {
			next, err := s.Apply(ident.Offset(entry.GetOffset()), entry.GetRecord())
			id := entry.GetRecord().GetRecordId()
			if err == nil && id != "" {
				require.False(rt, taken[id], "record %s took effect twice", id)
				taken[id] = true
			}
			s = next
		}
	})
}

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

func TestDecodeCheckpointRefusesWhatIsNotWhole(t *testing.T) {
	s, _ := NewState().ApplyAll(fleetEntries(2000, 0))
	chunks := s.EncodeCheckpoint("c")
	require.Greater(t, len(chunks), 2)
	other := s.EncodeCheckpoint("d")
	for name, broken := range map[string][]*wire.CheckpointChunk{
		"none":    nil,
		"missing": chunks[1:],
		"hole":    append(append([]*wire.CheckpointChunk{}, chunks[0], chunks[0]), chunks[2:]...),
		"mixed":   append(append([]*wire.CheckpointChunk{}, other[0]), chunks[1:]...),
	} {
		_, err := DecodeCheckpoint(broken)
		var checkpointErr *CheckpointError
		require.ErrorAs(t, err, &checkpointErr, name)
	}
	for _, chunk := range chunks {
		require.Less(t, proto.Size(chunk), 64<<10)
	}
}

func TestDecodeCheckpointRefusesRepeats(t *testing.T) {
	s, _ := NewState().ApplyAll(fleetEntries(1, 2))
	tests := map[string]func(c *wire.CheckpointChunk){
		"a path twice": func(c *wire.CheckpointChunk) { c.Entries = append(c.Entries, c.Entries[0]) },
		"a digest twice": func(c *wire.CheckpointChunk) {
			c.Entries[0].Record.GetKey().KeyDigest = c.Entries[1].Record.GetKey().KeyDigest
		},
	}
	for name, spoil := range tests {
		chunk := s.EncodeCheckpoint("c")[0]
		spoil(chunk)
		_, err := DecodeCheckpoint([]*wire.CheckpointChunk{chunk})
		var checkpointErr *CheckpointError
		require.ErrorAs(t, err, &checkpointErr, name)
	}
}

// fleetEntries returns the records of organisations with keys.
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

// Sizes of the largest fleet that the design is for.
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

// BenchmarkHeap measures the memory that a state keeps.
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
