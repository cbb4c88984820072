package config

import (
	"iter"
	"maps"
	"slices"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// State is the configuration at one offset of the control stream. It is immutable: Apply returns a new State.
// The entities that its methods return are shared and must not be changed.
type State struct {
	offset ident.Offset
	// membersChanged is the offset of the last record that changed a member.
	membersChanged ident.Offset
	// inForce is the highest offset that a record named as being in force.
	inForce ident.Offset
	mark    CheckpointMark

	nodes         *table[ident.Path, *Node]
	organisations *table[ident.OrganisationID, *Organisation]
	keys          *table[ident.Digest, *Key]

	operators map[ident.Digest]*Operator
	routes    map[ident.RouteID]*Route
	upstreams map[ident.UpstreamID]*Upstream
	models    map[ident.ModelID]*Model
	versions  map[ident.VersionID]*Version
	members   map[ident.DaemonID]*Member
	moves     map[ident.MoveID]*Move

	// tombstones are the deleted paths, the oldest first.
	tombstones []tombstone
	// rejected are the ids of the last invalid records, the oldest first.
	rejected []ident.RecordID
	// owned names the small indexes that no other state shares.
	owned index
}

// Node is what the state knows of one path.
type Node struct {
	// Revision is the offset of the record that last changed the path.
	Revision ident.Offset
	// Author and CreatedUnixMs are those of that record; the time is for people only.
	Author        string
	CreatedUnixMs int64
	Record        ident.RecordID
	// Entity is nil if the path was deleted.
	Entity Entity
}

type tombstone struct {
	path     ident.Path
	revision ident.Offset
}

// index is a set of the small indexes of a state.
type index uint

const (
	indexOperators index = 1 << iota
	indexRoutes
	indexUpstreams
	indexModels
	indexVersions
	indexMembers
	indexMoves
	indexTombstones
)

// NewState returns the state before the first record.
func NewState() *State {
	return &State{
		nodes:         &table[ident.Path, *Node]{},
		organisations: &table[ident.OrganisationID, *Organisation]{},
		keys:          &table[ident.Digest, *Key]{},
		operators:     map[ident.Digest]*Operator{},
		routes:        map[ident.RouteID]*Route{},
		upstreams:     map[ident.UpstreamID]*Upstream{},
		models:        map[ident.ModelID]*Model{},
		versions:      map[ident.VersionID]*Version{},
		members:       map[ident.DaemonID]*Member{},
		moves:         map[ident.MoveID]*Move{},
	}
}

// Offset returns the offset of the last record that the state includes.
func (s *State) Offset() ident.Offset { return s.offset }

// MembersChanged returns the offset of the last record that changed a member, 0 if none did.
func (s *State) MembersChanged() ident.Offset { return s.membersChanged }

// KnownInForce returns the highest offset that the author of a record knew to be in force.
func (s *State) KnownInForce() ident.Offset { return s.inForce }

// LatestCheckpoint returns the newest checkpoint that the stream announced; its AsOf is 0 if there is none.
func (s *State) LatestCheckpoint() CheckpointMark { return s.mark }

// Revision returns the offset of the record that last changed or deleted the path, 0 if none is known.
// A new record for the path must be based on it.
func (s *State) Revision(path ident.Path) ident.Offset {
	if node, ok := s.nodes.get(path); ok {
		return node.Revision
	}
	return 0
}

// Node returns what is known of the path, deleted paths included; nil if nothing is.
func (s *State) Node(path ident.Path) *Node {
	node, _ := s.nodes.get(path)
	return node
}

// Entity returns the entity at the path, nil if nothing lives there.
func (s *State) Entity(path ident.Path) Entity {
	if node, ok := s.nodes.get(path); ok {
		return node.Entity
	}
	return nil
}

// OperatorByKey returns the operator whose key has the digest.
func (s *State) OperatorByKey(digest ident.Digest) (*Operator, bool) {
	op, ok := s.operators[digest]
	return op, ok
}

// KeyByDigest returns the caller's key with the digest, withdrawn keys included.
func (s *State) KeyByDigest(digest ident.Digest) (*Key, bool) { return s.keys.get(digest) }

// Organisation returns the organisation with the id.
func (s *State) Organisation(id ident.OrganisationID) (*Organisation, bool) {
	return s.organisations.get(id)
}

// Route returns the route with the id.
func (s *State) Route(id ident.RouteID) (*Route, bool) {
	route, ok := s.routes[id]
	return route, ok
}

// Upstream returns the upstream with the id.
func (s *State) Upstream(id ident.UpstreamID) (*Upstream, bool) {
	up, ok := s.upstreams[id]
	return up, ok
}

// Model returns the model with the id.
func (s *State) Model(id ident.ModelID) (*Model, bool) {
	model, ok := s.models[id]
	return model, ok
}

// Version returns the version with the id.
func (s *State) Version(id ident.VersionID) (*Version, bool) {
	v, ok := s.versions[id]
	return v, ok
}

// Member returns the daemon with the id, removed ones included.
func (s *State) Member(id ident.DaemonID) (*Member, bool) {
	m, ok := s.members[id]
	return m, ok
}

// Move returns the move with the id.
func (s *State) Move(id ident.MoveID) (*Move, bool) {
	m, ok := s.moves[id]
	return m, ok
}

// Organisations yields all organisations, in no order.
func (s *State) Organisations() iter.Seq2[ident.OrganisationID, *Organisation] {
	return s.organisations.all()
}

// OrganisationCount returns the number of organisations.
func (s *State) OrganisationCount() int { return s.organisations.size }

// Keys yields all keys by digest, in no order.
func (s *State) Keys() iter.Seq2[ident.Digest, *Key] { return s.keys.all() }

// KeyCount returns the number of keys, withdrawn ones included.
func (s *State) KeyCount() int { return s.keys.size }

// Operators returns all operators by the digest of their key. The map must not be changed.
func (s *State) Operators() map[ident.Digest]*Operator { return s.operators }

// Routes returns all routes. The map must not be changed.
func (s *State) Routes() map[ident.RouteID]*Route { return s.routes }

// Upstreams returns all upstreams. The map must not be changed.
func (s *State) Upstreams() map[ident.UpstreamID]*Upstream { return s.upstreams }

// Models returns all models. The map must not be changed.
func (s *State) Models() map[ident.ModelID]*Model { return s.models }

// Versions returns all versions. The map must not be changed.
func (s *State) Versions() map[ident.VersionID]*Version { return s.versions }

// Members returns all daemons, removed ones included. The map must not be changed.
func (s *State) Members() map[ident.DaemonID]*Member { return s.members }

// Moves returns all moves. The map must not be changed.
func (s *State) Moves() map[ident.MoveID]*Move { return s.moves }

// Entities yields all entities by path, in no order.
func (s *State) Entities() iter.Seq2[ident.Path, Entity] {
	return func(yield func(ident.Path, Entity) bool) {
		for path, node := range s.nodes.all() {
			if node.Entity != nil && !yield(path, node.Entity) {
				return
			}
		}
	}
}

// fork returns a copy that can be changed without touching s.
func (s *State) fork() *State {
	next := *s
	next.nodes = s.nodes.fork()
	next.organisations = s.organisations.fork()
	next.keys = s.keys.fork()
	next.owned = 0
	return &next
}

// own makes the small indexes in the set private to a forked state.
func (s *State) own(set index) {
	set &^= s.owned
	s.owned |= set
	ownMap(set&indexOperators, &s.operators)
	ownMap(set&indexRoutes, &s.routes)
	ownMap(set&indexUpstreams, &s.upstreams)
	ownMap(set&indexModels, &s.models)
	ownMap(set&indexVersions, &s.versions)
	ownMap(set&indexMembers, &s.members)
	ownMap(set&indexMoves, &s.moves)
	if set&indexTombstones != 0 {
		s.tombstones = slices.Clone(s.tombstones)
	}
}

func ownMap[K comparable, V any](wanted index, m *map[K]V) {
	if wanted != 0 {
		*m = maps.Clone(*m)
	}
}
