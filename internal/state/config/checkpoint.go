package config

import (
	"cmp"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// CheckpointID identifies one written copy of a checkpoint.
type CheckpointID string

// CheckpointMark announces a complete checkpoint and its position in the checkpoint stream.
type CheckpointMark struct {
	ID CheckpointID
	// AsOf is the offset in the control stream of the last record that the checkpoint includes.
	AsOf ident.Offset
	// First and Last are the offsets of the checkpoint's first and last chunk in the checkpoint stream.
	First, Last ident.Offset
	// Count is the number of chunks.
	Count int
}

// Wire returns the mark as a protocol message.
func (m CheckpointMark) Wire() *wire.CheckpointMark {
	return &wire.CheckpointMark{
		CheckpointId: string(m.ID),
		AsOfOffset:   uint64(m.AsOf),
		FirstOffset:  uint64(m.First),
		LastOffset:   uint64(m.Last),
		Count:        int32(m.Count),
	}
}

// DecodeMark returns the mark that a protocol message holds.
func DecodeMark(w *wire.CheckpointMark) CheckpointMark {
	return CheckpointMark{
		ID:    CheckpointID(w.GetCheckpointId()),
		AsOf:  ident.Offset(w.GetAsOfOffset()),
		First: ident.Offset(w.GetFirstOffset()),
		Last:  ident.Offset(w.GetLastOffset()),
		Count: int(w.GetCount()),
	}
}

// setLatestCheckpoint stores the mark unless a checkpoint of a later state is known. Of two checkpoints of the same state the
// one announced last wins.
func (s *State) setLatestCheckpoint(w *wire.CheckpointMark) {
	if mark := DecodeMark(w); mark.AsOf >= s.mark.AsOf {
		s.mark = mark
	}
}

// EncodeCheckpoint returns the whole state as chunks of less than 64 KiB each, with the entries sorted by path.
func (s *State) EncodeCheckpoint(id CheckpointID) []*wire.CheckpointChunk {
	var chunks []*wire.CheckpointChunk
	chunk, size := &wire.CheckpointChunk{}, 0
	for _, path := range s.sortedPaths() {
		entry := s.checkpointEntry(path)
		n := proto.Size(entry)
		if size+n > maxChunkEntriesBytes && len(chunk.Entries) > 0 {
			chunks = append(chunks, chunk)
			chunk, size = &wire.CheckpointChunk{}, 0
		}
		chunk.Entries = append(chunk.Entries, entry)
		size += n + entryOverheadBytes
	}
	chunks = append(chunks, chunk)
	for i, c := range chunks {
		c.CheckpointId = string(id)
		c.AsOfOffset = uint64(s.offset)
		c.Index = int32(i)
		c.Count = int32(len(chunks))
		c.MembersChanged = uint64(s.membersChangedAt)
		c.Mark = s.mark.Wire()
		c.InForceOffset = uint64(s.knownInForce)
	}
	for _, id := range s.rejectedIDs {
		chunks[0].Rejected = append(chunks[0].Rejected, string(id))
	}
	return chunks
}

func (s *State) sortedPaths() []ident.Path {
	paths := make([]ident.Path, 0, s.nodes.size)
	for path := range s.nodes.all() {
		paths = append(paths, path)
	}
	slices.Sort(paths)
	return paths
}

func (s *State) checkpointEntry(path ident.Path) *wire.CheckpointEntry {
	node := s.Node(path)
	rec := &wire.Record{
		RecordId:      string(node.RecordID),
		Author:        node.Author,
		CreatedUnixMs: node.CreatedUnixMs,
		Path:          string(path),
		Deleted:       node.Entity == nil,
	}
	if node.Entity != nil {
		encodeEntity(rec, node.Entity)
	}
	return &wire.CheckpointEntry{Revision: uint64(node.Revision), Record: rec}
}

// DecodeCheckpoint returns the state that the chunks of one checkpoint hold. Chunks may come in any order and more than
// once. The error is a *CheckpointError or an *InvalidError.
func DecodeCheckpoint(chunks []*wire.CheckpointChunk) (*State, error) {
	ordered, err := orderChunks(chunks)
	if err != nil {
		return nil, err
	}
	s := NewState()
	s.offset = ident.Offset(ordered[0].GetAsOfOffset())
	for _, chunk := range ordered {
		for _, entry := range chunk.GetEntries() {
			if err := s.restoreEntry(entry); err != nil {
				return nil, err
			}
		}
	}
	slices.SortFunc(s.tombstones, func(a, b tombstone) int { return cmp.Compare(a.revision, b.revision) })
	s.membersChangedAt = ident.Offset(ordered[0].GetMembersChanged())
	s.mark = DecodeMark(ordered[0].GetMark())
	s.knownInForce = ident.Offset(ordered[0].GetInForceOffset())
	for _, id := range ordered[0].GetRejected() {
		s.rejectedIDs = append(s.rejectedIDs, ident.RecordID(id))
	}
	return s, nil
}

// orderChunks sorts the chunks by index and drops duplicates. The error is a *CheckpointError if a chunk is missing or
// belongs to another checkpoint.
func orderChunks(chunks []*wire.CheckpointChunk) ([]*wire.CheckpointChunk, error) {
	if len(chunks) == 0 {
		return nil, &CheckpointError{Reason: "there are no chunks"}
	}
	first := chunks[0]
	count := int(first.GetCount())
	if count < 1 || count > len(chunks) {
		return nil, &CheckpointError{Reason: fmt.Sprintf("got %d of %d chunks", len(chunks), count)}
	}
	ordered := make([]*wire.CheckpointChunk, count)
	for _, chunk := range chunks {
		i := int(chunk.GetIndex())
		same := chunk.GetCheckpointId() == first.GetCheckpointId() && chunk.GetAsOfOffset() == first.GetAsOfOffset()
		if !same || int(chunk.GetCount()) != count || i < 0 || i >= count {
			return nil, &CheckpointError{Reason: "the chunks belong to several checkpoints"}
		}
		ordered[i] = chunk
	}
	if missing := slices.Index(ordered, nil); missing >= 0 {
		return nil, &CheckpointError{Reason: fmt.Sprintf("chunk %d is missing", missing)}
	}
	return ordered, nil
}

func (s *State) restoreEntry(entry *wire.CheckpointEntry) error {
	rec := entry.GetRecord()
	path := ident.Path(rec.GetPath())
	if s.Node(path) != nil {
		return &CheckpointError{Reason: fmt.Sprintf("path %s occurs twice", path)}
	}
	node := &Node{
		Revision:      ident.Offset(entry.GetRevision()),
		Author:        rec.GetAuthor(),
		CreatedUnixMs: rec.GetCreatedUnixMs(),
		RecordID:      ident.RecordID(rec.GetRecordId()),
	}
	if rec.GetDeleted() {
		s.nodes.put(path, node)
		s.tombstones = append(s.tombstones, tombstone{path: path, revision: node.Revision})
		return nil
	}
	entity, err := EntityFromRecord(rec)
	if err != nil {
		return err
	}
	if existing, taken := s.pathByUniqueKey(entity); taken {
		return &CheckpointError{Reason: fmt.Sprintf("%s and %s have the same id or key", existing, path)}
	}
	node.Entity = entity
	s.put(path, node)
	return nil
}
