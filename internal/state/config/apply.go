package config

import (
	"cmp"
	"slices"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Apply returns the state after the record at the offset. The error is a *ConflictError or an *InvalidError
// when the record changes nothing but the offset, which every replay decides alike; with an *OffsetError
// the state is returned as it was.
func (s *State) Apply(offset ident.Offset, rec *wire.Record) (*State, error) {
	if offset <= s.offset {
		return s, &OffsetError{State: s.offset, Record: offset}
	}
	next := s.fork()
	err := next.apply(offset, rec)
	return next, err
}

// ApplyAll returns the state after the entries, which must be in order, and the error of each as Apply gives it.
// It is much faster than Apply for many entries.
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

// apply changes a forked state.
func (s *State) apply(offset ident.Offset, rec *wire.Record) error {
	s.offset = offset
	if known := ident.Offset(rec.GetInForceOffset()); known < offset {
		s.inForce = max(s.inForce, known)
	}
	if mark := rec.GetCheckpointMark(); mark != nil {
		s.setMark(mark)
		return nil
	}
	path := ident.Path(rec.GetPath())
	id := ident.RecordID(rec.GetRecordId())
	if reason := s.checkRecordID(id); reason != "" {
		return &InvalidError{Path: path, Reason: reason}
	}
	based, current := ident.Offset(rec.GetBaseRevision()), s.Revision(path)
	if based != current {
		return &ConflictError{Path: path, BaseRevision: based, CurrentRevision: current, CurrentNode: s.Node(path)}
	}
	err := s.change(path, offset, rec)
	if err != nil {
		s.reject(id)
	}
	return err
}

func (s *State) checkRecordID(id ident.RecordID) string {
	if id == "" || len(id) > maxRecordID {
		return "the record id is empty or too long"
	}
	if slices.Contains(s.rejected, id) {
		return "the record was invalid when it first came"
	}
	return ""
}

// reject remembers an invalid record: a copy of it that comes late must not take effect after
// its author was told that it is invalid.
func (s *State) reject(id ident.RecordID) {
	kept := s.rejected[max(0, len(s.rejected)+1-maxRejected):]
	s.rejected = append(slices.Clone(kept), id)
}

// change sets or deletes the entity at the path.
func (s *State) change(path ident.Path, offset ident.Offset, rec *wire.Record) error {
	node := &Node{
		Revision:      offset,
		Author:        rec.GetAuthor(),
		CreatedUnixMs: rec.GetCreatedUnixMs(),
		Record:        ident.RecordID(rec.GetRecordId()),
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
	s.unlink(path)
	s.unbury(path)
	node.Entity = entity
	s.put(path, node)
	return nil
}

func (s *State) delete(path ident.Path, node *Node) error {
	entity := s.Entity(path)
	if entity == nil {
		return &InvalidError{Path: path, Reason: "nothing to delete"}
	}
	if user := s.userOf(entity); user != "" {
		return &InvalidError{Path: path, Reason: "it is still used by " + string(user)}
	}
	s.unlink(path)
	s.bury(path, node)
	return nil
}

// bury remembers the revision of a deleted path and forgets the oldest one beyond the bound.
func (s *State) bury(path ident.Path, node *Node) {
	s.nodes.put(path, node)
	s.own(indexTombstones)
	s.tombstones = append(s.tombstones, tombstone{path: path, revision: node.Revision})
	if len(s.tombstones) <= maxTombstones {
		return
	}
	s.nodes.remove(s.tombstones[0].path)
	s.tombstones = s.tombstones[1:]
}

// unbury drops the path from the deleted ones, so that it counts once however often it was deleted.
func (s *State) unbury(path ident.Path) {
	node := s.Node(path)
	if node == nil || node.Entity != nil {
		return
	}
	s.own(indexTombstones)
	i, found := slices.BinarySearchFunc(s.tombstones, node.Revision, func(t tombstone, revision ident.Offset) int {
		return cmp.Compare(t.revision, revision)
	})
	if found {
		s.tombstones = slices.Delete(s.tombstones, i, i+1)
	}
}

// put adds an entity to a forked state.
func (s *State) put(path ident.Path, node *Node) {
	s.nodes.put(path, node)
	switch e := node.Entity.(type) {
	case *Operator:
		s.own(indexOperators)
		s.operators[e.KeyDigest] = e
	case *Organisation:
		s.organisations.put(e.ID, e)
	case *Key:
		s.keys.put(e.Digest, e)
	case *Route:
		s.own(indexRoutes)
		s.routes[e.ID] = e
	case *Upstream:
		s.own(indexUpstreams)
		s.upstreams[e.ID] = e
	case *Model:
		s.own(indexModels)
		s.models[e.ID] = e
	case *Version:
		s.own(indexVersions)
		s.versions[e.ID] = e
	case *Member:
		s.own(indexMembers)
		s.members[e.ID] = e
		s.membersChanged = max(s.membersChanged, node.Revision)
	case *Move:
		s.own(indexMoves)
		s.moves[e.ID] = e
	case *Setting:
	}
}

// unlink drops the entity at the path from the indexes of a forked state.
func (s *State) unlink(path ident.Path) {
	switch e := s.Entity(path).(type) {
	case *Operator:
		s.own(indexOperators)
		delete(s.operators, e.KeyDigest)
	case *Organisation:
		s.organisations.remove(e.ID)
	case *Key:
		s.keys.remove(e.Digest)
	case *Route:
		s.own(indexRoutes)
		delete(s.routes, e.ID)
	case *Upstream:
		s.own(indexUpstreams)
		delete(s.upstreams, e.ID)
	case *Model:
		s.own(indexModels)
		delete(s.models, e.ID)
	case *Version:
		s.own(indexVersions)
		delete(s.versions, e.ID)
	case *Member:
		s.own(indexMembers)
		delete(s.members, e.ID)
		s.membersChanged = s.offset
	case *Move:
		s.own(indexMoves)
		delete(s.moves, e.ID)
	case *Setting:
	}
}
