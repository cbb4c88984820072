package config

import (
	"fmt"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// ConflictError says that a record was based on an older revision of its path than the one in the log.
type ConflictError struct {
	Path ident.Path
	// Based is the revision that the record was based on, Current the one in the log.
	Based, Current ident.Offset
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s was changed at revision %d, the change was based on revision %d", e.Path, e.Current, e.Based)
}

// InvalidError says that a record can't be applied to any state or not to this one.
type InvalidError struct {
	Path   ident.Path
	Reason string
}

func (e *InvalidError) Error() string {
	return fmt.Sprintf("%s is invalid: %s", e.Path, e.Reason)
}

// OffsetError says that a record does not follow the state that it is applied to.
type OffsetError struct {
	State, Record ident.Offset
}

func (e *OffsetError) Error() string {
	return fmt.Sprintf("record %d does not follow offset %d", e.Record, e.State)
}

// Apply returns the state after the record at the offset. The error is a *ConflictError or an *InvalidError
// when the record changes nothing but the offset, which every replay decides alike; with an *OffsetError
// the state is returned as it was.
func (s *State) Apply(offset ident.Offset, rec *wire.Record) (*State, error) {
	if offset <= s.offset {
		return s, &OffsetError{State: s.offset, Record: offset}
	}
	next, err := s.applied(offset, rec)
	if err != nil {
		same := *s
		same.offset = offset
		return &same, err
	}
	next.offset = offset
	return next, nil
}

func (s *State) applied(offset ident.Offset, rec *wire.Record) (*State, error) {
	if rec.GetCheckpointChunk() != nil {
		same := *s
		return &same, nil
	}
	path := ident.Path(rec.GetPath())
	based, current := ident.Offset(rec.GetBaseRevision()), s.revisions[path]
	if based != current {
		return nil, &ConflictError{Path: path, Based: based, Current: current}
	}
	if rec.GetDeleted() {
		return s.withDeleted(path)
	}
	entity, err := EntityFromRecord(rec)
	if err != nil {
		return nil, err
	}
	if err := s.validate(entity); err != nil {
		return nil, err
	}
	next := s.clone()
	next.remove(path)
	next.put(path, offset, entity)
	return next, nil
}

func (s *State) withDeleted(path ident.Path) (*State, error) {
	if s.entities[path] == nil {
		return nil, &InvalidError{Path: path, Reason: "nothing to delete"}
	}
	next := s.clone()
	next.remove(path)
	return next, nil
}

// put adds an entity to a state that is not shared yet.
func (s *State) put(path ident.Path, revision ident.Offset, e Entity) {
	s.revisions[path] = revision
	s.entities[path] = e
	switch e := e.(type) {
	case *Operator:
		s.operators[e.KeyDigest] = e
	case *Organisation:
		s.organisations[e.ID] = e
	case *Key:
		s.keys[e.Digest] = e
	case *Route:
		s.routes[e.ID] = e
	case *Upstream:
		s.upstreams[e.ID] = e
	case *Model:
		s.models[e.ID] = e
	case *Version:
		s.versions[e.ID] = e
	case *Member:
		s.members[e.ID] = e
	case *Move:
		s.moves[e.ID] = e
	case *Setting:
	}
}

// remove drops the entity at the path from a state that is not shared yet.
func (s *State) remove(path ident.Path) {
	switch e := s.entities[path].(type) {
	case *Operator:
		delete(s.operators, e.KeyDigest)
	case *Organisation:
		delete(s.organisations, e.ID)
	case *Key:
		delete(s.keys, e.Digest)
	case *Route:
		delete(s.routes, e.ID)
	case *Upstream:
		delete(s.upstreams, e.ID)
	case *Model:
		delete(s.models, e.ID)
	case *Version:
		delete(s.versions, e.ID)
	case *Member:
		delete(s.members, e.ID)
	case *Move:
		delete(s.moves, e.ID)
	case *Setting:
	}
	delete(s.entities, path)
	delete(s.revisions, path)
}

// validate checks an entity against the rest of the state.
func (s *State) validate(e Entity) error {
	path := PathOf(e)
	if path == "" {
		return &InvalidError{Path: path, Reason: "the path is empty"}
	}
	if other, taken := s.holderOf(e); taken && other != path {
		return &InvalidError{Path: path, Reason: fmt.Sprintf("its id or key is taken by %s", other)}
	}
	switch e := e.(type) {
	case *Key:
		org, ok := s.organisations[e.Organisation]
		if !ok || org.Team != e.Team {
			return &InvalidError{Path: path, Reason: "its organisation does not exist in the team"}
		}
	case *Move:
		if e.From == e.To {
			return &InvalidError{Path: path, Reason: "from and to are the same version"}
		}
	}
	return nil
}

// holderOf returns the path of the entity that already has the id or key digest of e.
func (s *State) holderOf(e Entity) (ident.Path, bool) {
	switch e := e.(type) {
	case *Operator:
		return pathIn(s.operators, e.KeyDigest)
	case *Organisation:
		return pathIn(s.organisations, e.ID)
	case *Key:
		return pathIn(s.keys, e.Digest)
	case *Route:
		return pathIn(s.routes, e.ID)
	case *Version:
		return pathIn(s.versions, e.ID)
	case *Move:
		return pathIn(s.moves, e.ID)
	default:
		return "", false
	}
}

func pathIn[K comparable, E Entity](index map[K]E, key K) (ident.Path, bool) {
	e, ok := index[key]
	if !ok {
		return "", false
	}
	return PathOf(e), true
}
