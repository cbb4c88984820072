package config

import (
	"cmp"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// CheckpointID names one writing of a checkpoint.
type CheckpointID string

// CheckpointMark tells where in the checkpoint stream a checkpoint lies.
type CheckpointMark struct {
	ID CheckpointID
	// AsOf is the offset of the control stream whose state the checkpoint holds.
	AsOf ident.Offset
	// First and Last are offsets of the checkpoint stream.
	First, Last ident.Offset
	// Count is the number of chunks.
	Count int
}

// Wire returns the mark as a message.
func (m CheckpointMark) Wire() *wire.CheckpointMark {
	return &wire.CheckpointMark{
		CheckpointId: string(m.ID),
		AsOfOffset:   uint64(m.AsOf),
		FirstOffset:  uint64(m.First),
		LastOffset:   uint64(m.Last),
		Count:        int32(m.Count),
	}
}

// DecodeMark returns the mark of a message.
func DecodeMark(w *wire.CheckpointMark) CheckpointMark {
	return CheckpointMark{
		ID:    CheckpointID(w.GetCheckpointId()),
		AsOf:  ident.Offset(w.GetAsOfOffset()),
		First: ident.Offset(w.GetFirstOffset()),
		Last:  ident.Offset(w.GetLastOffset()),
		Count: int(w.GetCount()),
	}
}

// setMark keeps the newest checkpoint; of two with the same state the one announced last.
func (s *State) setMark(w *wire.CheckpointMark) {
	if mark := DecodeMark(w); mark.AsOf >= s.mark.AsOf {
		s.mark = mark
	}
}

// EncodeCheckpoint returns the whole state in chunks that each stay below 64 KiB, in the order of the paths.
func (s *State) EncodeCheckpoint(id CheckpointID) []*wire.CheckpointChunk {
	var chunks []*wire.CheckpointChunk
	chunk, size := &wire.CheckpointChunk{}, 0
	for _, path := range s.sortedPaths() {
		entry := s.checkpointEntry(path)
		n := proto.Size(entry)
		if size+n > chunkBytes && len(chunk.Entries) > 0 {
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
		c.MembersChanged = uint64(s.membersChanged)
		c.Mark = s.mark.Wire()
		c.InForceOffset = uint64(s.inForce)
	}
	for _, id := range s.rejected {
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
		RecordId:      string(node.Record),
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

// DecodeCheckpoint returns the state of the chunks of one checkpoint, in any order, repeats allowed.
// The error is a *CheckpointError or an *InvalidError.
func DecodeCheckpoint(chunks []*wire.CheckpointChunk) (*State, error) {
	whole, err := arrange(chunks)
	if err != nil {
		return nil, err
	}
	s := NewState()
	s.offset = ident.Offset(whole[0].GetAsOfOffset())
	for _, chunk := range whole {
		for _, entry := range chunk.GetEntries() {
			if err := s.restore(entry); err != nil {
				return nil, err
			}
		}
	}
	slices.SortFunc(s.tombstones, func(a, b tombstone) int { return cmp.Compare(a.revision, b.revision) })
	s.membersChanged = ident.Offset(whole[0].GetMembersChanged())
	s.mark = DecodeMark(whole[0].GetMark())
	s.inForce = ident.Offset(whole[0].GetInForceOffset())
	for _, id := range whole[0].GetRejected() {
		s.rejected = append(s.rejected, ident.RecordID(id))
	}
	return s, nil
}

// arrange returns the chunks in order and checks that they are one whole checkpoint.
func arrange(chunks []*wire.CheckpointChunk) ([]*wire.CheckpointChunk, error) {
	if len(chunks) == 0 {
		return nil, &CheckpointError{Reason: "there are no chunks"}
	}
	head := chunks[0]
	count := int(head.GetCount())
	if count < 1 || count > len(chunks) {
		return nil, &CheckpointError{Reason: fmt.Sprintf("%d chunks of %d are there", len(chunks), count)}
	}
	whole := make([]*wire.CheckpointChunk, count)
	for _, chunk := range chunks {
		i := int(chunk.GetIndex())
		same := chunk.GetCheckpointId() == head.GetCheckpointId() && chunk.GetAsOfOffset() == head.GetAsOfOffset()
		if !same || int(chunk.GetCount()) != count || i < 0 || i >= count {
			return nil, &CheckpointError{Reason: "the chunks belong to several checkpoints"}
		}
		whole[i] = chunk
	}
	if missing := slices.Index(whole, nil); missing >= 0 {
		return nil, &CheckpointError{Reason: fmt.Sprintf("chunk %d is missing", missing)}
	}
	return whole, nil
}

func (s *State) restore(entry *wire.CheckpointEntry) error {
	rec := entry.GetRecord()
	path := ident.Path(rec.GetPath())
	if s.Node(path) != nil {
		return &CheckpointError{Reason: fmt.Sprintf("%s is there twice", path)}
	}
	node := &Node{
		Revision:      ident.Offset(entry.GetRevision()),
		Author:        rec.GetAuthor(),
		CreatedUnixMs: rec.GetCreatedUnixMs(),
		Record:        ident.RecordID(rec.GetRecordId()),
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
	if holder, taken := s.holderOf(entity); taken {
		return &CheckpointError{Reason: fmt.Sprintf("%s and %s have the same id or key", holder, path)}
	}
	node.Entity = entity
	s.put(path, node)
	return nil
}
