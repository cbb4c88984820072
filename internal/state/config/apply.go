package config

import (
	"cmp"
	"slices"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Apply returns the state after the record at the given offset. On a *ConflictError or *InvalidError the record changes no
// entity; the returned state takes over only its offset, the in-force offset that it carries and, if it was invalid, its id.
// Every replay of the stream rejects the same records. On an *OffsetError (the offset is not above that of the state) s
// itself is returned.
func (s *State) Apply(offset ident.Offset, rec *wire.Record) (*State, error) {
	if offset <= s.offset {
		return s, &OffsetError{State: s.offset, Record: offset}
	}
	next := s.fork()
	err := next.apply(offset, rec)
	return next, err
}

// ApplyAll returns the state after the entries, which must be ordered by offset, and for each entry the error that Apply
// would return. For many entries it is much faster than Apply because all of them share one copy of the state.
func (s *State) ApplyAll(entries []*wire.LogEntry) (*State, []error) {
	next := s.fork()
	errs := make([]error, len(entries))
	for i, entry := range entries {
		offset := ident.Offset(entry.GetOffset())
		if offset <= next.offset {
			errs[i] = &OffsetError{State: next.offset, Record: offset}
			continue
		}
		errs[i] = next.apply(offset, entry.GetRecord())
	}
	return next, errs
}

// apply applies a record to s, which must be a fork that no other code uses.
func (s *State) apply(offset ident.Offset, rec *wire.Record) error {
	s.offset = offset
	if inForce := ident.Offset(rec.GetInForceOffset()); inForce < offset {
		s.knownInForce = max(s.knownInForce, inForce)
	}
	if mark := rec.GetCheckpointMark(); mark != nil {
		s.setLatestCheckpoint(mark)
		return nil
	}
	path := ident.Path(rec.GetPath())
	id := ident.RecordID(rec.GetRecordId())
	if reason := s.checkRecordID(id); reason != "" {
		return &InvalidError{Path: path, Reason: reason}
	}
	baseRevision, currentRevision := ident.Offset(rec.GetBaseRevision()), s.Revision(path)
	if baseRevision != currentRevision {
		return &ConflictError{Path: path, BaseRevision: baseRevision, CurrentRevision: currentRevision, CurrentNode: s.Node(path)}
	}
	err := s.setOrDelete(path, offset, rec)
	if err != nil {
		s.addRejectedID(id)
	}
	return err
}

func (s *State) checkRecordID(id ident.RecordID) string {
	if id == "" || len(id) > maxRecordIDBytes {
		return "the record id is empty or too long"
	}
	if slices.Contains(s.rejectedIDs, id) {
		return "the record was invalid when it first came"
	}
	return ""
}

// addRejectedID remembers the id of an invalid record: after the rejection was reported to its author, a delayed
// duplicate in the stream must not take effect.
func (s *State) addRejectedID(id ident.RecordID) {
	kept := s.rejectedIDs[max(0, len(s.rejectedIDs)+1-maxRejectedIDs):]
	s.rejectedIDs = append(slices.Clone(kept), id)
}

// setOrDelete sets or deletes the entity at the path. The error is an *InvalidError.
func (s *State) setOrDelete(path ident.Path, offset ident.Offset, rec *wire.Record) error {
	node := &Node{
		Revision:      offset,
		Author:        rec.GetAuthor(),
		CreatedUnixMs: rec.GetCreatedUnixMs(),
		RecordID:      ident.RecordID(rec.GetRecordId()),
	}
	if rec.GetDeleted() {
		return s.delete(path, node)
	}
	entity, err := EntityFromRecord(rec)
	if err != nil {
		return err
	}
	if err := s.Validate(entity); err != nil {
		return err
	}
	s.removeFromIndexes(path)
	s.removeTombstone(path)
	node.Entity = entity
	s.put(path, node)
	return nil
}

func (s *State) delete(path ident.Path, node *Node) error {
	entity := s.Entity(path)
	if entity == nil {
		return &InvalidError{Path: path, Reason: "nothing to delete"}
	}
	if referrer := s.referrerOf(entity); referrer != "" {
		return &InvalidError{Path: path, Reason: "it is still used by " + string(referrer)}
	}
	s.removeFromIndexes(path)
	s.addTombstone(path, node)
	return nil
}

// addTombstone keeps the revision of a deleted path. Beyond maxTombstones the oldest one is dropped.
func (s *State) addTombstone(path ident.Path, node *Node) {
	s.nodes.put(path, node)
	s.makePrivate(indexTombstones)
	s.tombstones = append(s.tombstones, tombstone{path: path, revision: node.Revision})
	if len(s.tombstones) <= maxTombstones {
		return
	}
	s.nodes.remove(s.tombstones[0].path)
	s.tombstones = s.tombstones[1:]
}

// removeTombstone removes the tombstone of a path that is set again, so that a path has at most one.
func (s *State) removeTombstone(path ident.Path) {
	node := s.Node(path)
	if node == nil || node.Entity != nil {
		return
	}
	s.makePrivate(indexTombstones)
	i, found := slices.BinarySearchFunc(s.tombstones, node.Revision, func(t tombstone, revision ident.Offset) int {
		return cmp.Compare(t.revision, revision)
	})
	if found {
		s.tombstones = slices.Delete(s.tombstones, i, i+1)
	}
}

// put stores a node and adds its entity to the indexes of a forked state.
func (s *State) put(path ident.Path, node *Node) {
	s.nodes.put(path, node)
	switch e := node.Entity.(type) {
	case *Operator:
		s.makePrivate(indexOperators)
		s.operators[e.KeyDigest] = e
	case *Organisation:
		s.organisations.put(e.ID, e)
	case *Key:
		s.keys.put(e.Digest, e)
	case *Route:
		s.makePrivate(indexRoutes)
		s.routes[e.ID] = e
	case *Upstream:
		s.makePrivate(indexUpstreams)
		s.upstreams[e.ID] = e
	case *Model:
		s.makePrivate(indexModels)
		s.models[e.ID] = e
	case *Version:
		s.makePrivate(indexVersions)
		s.versions[e.ID] = e
	case *Member:
		s.makePrivate(indexMembers)
		s.members[e.ID] = e
		s.membersChangedAt = max(s.membersChangedAt, node.Revision)
	case *Move:
		s.makePrivate(indexMoves)
		s.moves[e.ID] = e
	case *Setting:
	}
}

// removeFromIndexes removes the entity at the path from the indexes of a forked state.
func (s *State) removeFromIndexes(path ident.Path) {
	switch e := s.Entity(path).(type) {
	case *Operator:
		s.makePrivate(indexOperators)
		delete(s.operators, e.KeyDigest)
	case *Organisation:
		s.organisations.remove(e.ID)
	case *Key:
		s.keys.remove(e.Digest)
	case *Route:
		s.makePrivate(indexRoutes)
		delete(s.routes, e.ID)
	case *Upstream:
		s.makePrivate(indexUpstreams)
		delete(s.upstreams, e.ID)
	case *Model:
		s.makePrivate(indexModels)
		delete(s.models, e.ID)
	case *Version:
		s.makePrivate(indexVersions)
		delete(s.versions, e.ID)
	case *Member:
		s.makePrivate(indexMembers)
		delete(s.members, e.ID)
		s.membersChangedAt = s.offset
	case *Move:
		s.makePrivate(indexMoves)
		delete(s.moves, e.ID)
	case *Setting:
	}
}
