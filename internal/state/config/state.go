package config

import (
	"maps"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// State is the configuration at one offset of the control stream. It is immutable: Apply returns a new State.
// The entities that its methods return are shared and must not be changed.
type State struct {
	offset    ident.Offset
	revisions map[ident.Path]ident.Offset
	entities  map[ident.Path]Entity

	operators     map[ident.Digest]*Operator
	organisations map[ident.OrganisationID]*Organisation
	keys          map[ident.Digest]*Key
	routes        map[ident.RouteID]*Route
	upstreams     map[ident.UpstreamID]*Upstream
	models        map[ident.ModelID]*Model
	versions      map[ident.VersionID]*Version
	members       map[ident.DaemonID]*Member
	moves         map[ident.MoveID]*Move
}

// NewState returns the state before the first record.
func NewState() *State {
	return &State{
		revisions:     map[ident.Path]ident.Offset{},
		entities:      map[ident.Path]Entity{},
		operators:     map[ident.Digest]*Operator{},
		organisations: map[ident.OrganisationID]*Organisation{},
		keys:          map[ident.Digest]*Key{},
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

// Revision returns the offset of the record that last changed the path, 0 if nothing lives there.
func (s *State) Revision(path ident.Path) ident.Offset { return s.revisions[path] }

// Entity returns the entity at the path, nil if nothing lives there.
func (s *State) Entity(path ident.Path) Entity { return s.entities[path] }

// OperatorByKey returns the operator whose key has the digest.
func (s *State) OperatorByKey(digest ident.Digest) (*Operator, bool) {
	op, ok := s.operators[digest]
	return op, ok
}

// KeyByDigest returns the caller's key with the digest, withdrawn keys included.
func (s *State) KeyByDigest(digest ident.Digest) (*Key, bool) {
	key, ok := s.keys[digest]
	return key, ok
}

// Organisation returns the organisation with the id.
func (s *State) Organisation(id ident.OrganisationID) (*Organisation, bool) {
	org, ok := s.organisations[id]
	return org, ok
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

// Organisations returns all organisations, in no order. The map must not be changed.
func (s *State) Organisations() map[ident.OrganisationID]*Organisation { return s.organisations }

// Keys returns all keys by digest. The map must not be changed.
func (s *State) Keys() map[ident.Digest]*Key { return s.keys }

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

// Entities returns all entities by path. The map must not be changed.
func (s *State) Entities() map[ident.Path]Entity { return s.entities }

// clone returns a copy whose indexes can be changed without touching s.
func (s *State) clone() *State {
	return &State{
		offset:        s.offset,
		revisions:     maps.Clone(s.revisions),
		entities:      maps.Clone(s.entities),
		operators:     maps.Clone(s.operators),
		organisations: maps.Clone(s.organisations),
		keys:          maps.Clone(s.keys),
		routes:        maps.Clone(s.routes),
		upstreams:     maps.Clone(s.upstreams),
		models:        maps.Clone(s.models),
		versions:      maps.Clone(s.versions),
		members:       maps.Clone(s.members),
		moves:         maps.Clone(s.moves),
	}
}
