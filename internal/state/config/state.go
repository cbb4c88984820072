package config

import (
	"iter"
	"maps"
	"slices"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// State is the configuration at one offset of the control stream. It is immutable: Apply returns a new State. The entities
// that its methods return are shared between states and must not be modified.
type State struct {
	offset ident.Offset
	// membersChangedAt is the offset of the last record that changed a member.
	membersChangedAt ident.Offset
	// knownInForce is the highest offset that the author of an applied record knew to be in force.
	knownInForce ident.Offset
	// mark announces the newest checkpoint in the stream.
	mark CheckpointMark

	nodes         *cowMap[ident.Path, *Node]
	organisations *cowMap[ident.OrganisationID, *Organisation]
	keys          *cowMap[ident.Digest, *Key]

	operators map[ident.Digest]*Operator
	routes    map[ident.RouteID]*Route
	upstreams map[ident.UpstreamID]*Upstream
	models    map[ident.ModelID]*Model
	versions  map[ident.VersionID]*Version
	members   map[ident.DaemonID]*Member
	moves     map[ident.MoveID]*Move

	// tombstones are the deleted paths, oldest deletion first.
	tombstones []tombstone
	// rejectedIDs are the ids of the last invalid records, oldest first.
	rejectedIDs []ident.RecordID
	// privateIndexes are the small indexes that no other state shares and that may be written in place.
	privateIndexes indexSet
}

// Node is the last change of a path.
type Node struct {
	// Revision is the offset of the record that last changed the path.
	Revision ident.Offset
	// Author and CreatedUnixMs are copied from that record. The time, in milliseconds since the Unix epoch, is only for display.
	Author        string
	CreatedUnixMs int64
	// RecordID is the id of that record.
	RecordID ident.RecordID
	// Entity is nil if that record deleted the path.
	Entity Entity
}

// tombstone is a deleted path with the revision of its deletion.
type tombstone struct {
	path     ident.Path
	revision ident.Offset
}

// indexSet is a bit set of the small indexes of a state: those that are copied whole, unlike a cowMap.
type indexSet uint

const (
	indexOperators indexSet = 1 << iota
	indexRoutes
	indexUpstreams
	indexModels
	indexVersions
	indexMembers
	indexMoves
	indexTombstones
)

// NewState returns an empty state at offset 0, before the first record.
func NewState() *State {
	return &State{
		nodes:         &cowMap[ident.Path, *Node]{},
		organisations: &cowMap[ident.OrganisationID, *Organisation]{},
		keys:          &cowMap[ident.Digest, *Key]{},
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
func (s *State) MembersChanged() ident.Offset { return s.membersChangedAt }

// KnownInForce returns the highest offset that the author of an applied record knew to be in force.
func (s *State) KnownInForce() ident.Offset { return s.knownInForce }

// LatestCheckpoint returns the newest checkpoint announced in the stream; its AsOf is 0 if there is none.
func (s *State) LatestCheckpoint() CheckpointMark { return s.mark }

// Revision returns the offset of the record that last changed or deleted the path, 0 if none is known. A new record for the
// path must have it as its base revision.
func (s *State) Revision(path ident.Path) ident.Offset {
	if node, ok := s.nodes.get(path); ok {
		return node.Revision
	}
	return 0
}

// Node returns the last change of the path, which may be its deletion; nil if none is known.
func (s *State) Node(path ident.Path) *Node {
	node, _ := s.nodes.get(path)
	return node
}

// Entity returns the entity at the path, nil if there is none.
func (s *State) Entity(path ident.Path) Entity {
	if node, ok := s.nodes.get(path); ok {
		return node.Entity
	}
	return nil
}

// OperatorByKey returns the operator whose key has the given digest.
func (s *State) OperatorByKey(digest ident.Digest) (*Operator, bool) {
	op, ok := s.operators[digest]
	return op, ok
}

// KeyByDigest returns the caller key with the given digest, even if it is withdrawn.
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

// Member returns the daemon with the id, even if it is removed.
func (s *State) Member(id ident.DaemonID) (*Member, bool) {
	m, ok := s.members[id]
	return m, ok
}

// Move returns the move with the id.
func (s *State) Move(id ident.MoveID) (*Move, bool) {
	m, ok := s.moves[id]
	return m, ok
}

// Organisations yields all organisations in no particular order.
func (s *State) Organisations() iter.Seq2[ident.OrganisationID, *Organisation] {
	return s.organisations.all()
}

// OrganisationCount returns the number of organisations.
func (s *State) OrganisationCount() int { return s.organisations.size }

// Keys yields all caller keys by digest in no particular order.
func (s *State) Keys() iter.Seq2[ident.Digest, *Key] { return s.keys.all() }

// KeyCount returns the number of caller keys, including withdrawn ones.
func (s *State) KeyCount() int { return s.keys.size }

// Operators returns all operators by the digest of their key. The map must not be modified.
func (s *State) Operators() map[ident.Digest]*Operator { return s.operators }

// Routes returns all routes. The map must not be modified.
func (s *State) Routes() map[ident.RouteID]*Route { return s.routes }

// Upstreams returns all upstreams. The map must not be modified.
func (s *State) Upstreams() map[ident.UpstreamID]*Upstream { return s.upstreams }

// Models returns all models. The map must not be modified.
func (s *State) Models() map[ident.ModelID]*Model { return s.models }

// Versions returns all versions. The map must not be modified.
func (s *State) Versions() map[ident.VersionID]*Version { return s.versions }

// Members returns all daemons, including removed ones. The map must not be modified.
func (s *State) Members() map[ident.DaemonID]*Member { return s.members }

// Moves returns all moves. The map must not be modified.
func (s *State) Moves() map[ident.MoveID]*Move { return s.moves }

// Entities yields all entities with their paths in no particular order.
func (s *State) Entities() iter.Seq2[ident.Path, Entity] {
	return func(yield func(ident.Path, Entity) bool) {
		for path, node := range s.nodes.all() {
			if node.Entity != nil && !yield(path, node.Entity) {
				return
			}
		}
	}
}

// fork returns a copy that can be modified without affecting s.
func (s *State) fork() *State {
	next := *s
	next.nodes = s.nodes.fork()
	next.organisations = s.organisations.fork()
	next.keys = s.keys.fork()
	next.privateIndexes = 0
	return &next
}

// makePrivate clones those of the given indexes that the forked state s still shares, so that they can be written in place.
func (s *State) makePrivate(indexes indexSet) {
	indexes &^= s.privateIndexes
	s.privateIndexes |= indexes
	cloneIfSelected(indexes&indexOperators, &s.operators)
	cloneIfSelected(indexes&indexRoutes, &s.routes)
	cloneIfSelected(indexes&indexUpstreams, &s.upstreams)
	cloneIfSelected(indexes&indexModels, &s.models)
	cloneIfSelected(indexes&indexVersions, &s.versions)
	cloneIfSelected(indexes&indexMembers, &s.members)
	cloneIfSelected(indexes&indexMoves, &s.moves)
	if indexes&indexTombstones != 0 {
		s.tombstones = slices.Clone(s.tombstones)
	}
}

// cloneIfSelected replaces the map by a clone if selected is not empty.
func cloneIfSelected[K comparable, V any](selected indexSet, m *map[K]V) {
	if selected != 0 {
		*m = maps.Clone(*m)
	}
}
