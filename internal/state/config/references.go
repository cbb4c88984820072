package config

import (
	"fmt"
	"slices"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Validate returns an *InvalidError if the entity is invalid by itself, refers to entities that do not exist in s or
// conflicts with others in s; else nil.
func (s *State) Validate(e Entity) error {
	if err := Check(e); err != nil {
		return err
	}
	path := PathOf(e)
	if existing, taken := s.pathByUniqueKey(e); taken && existing != path {
		return &InvalidError{Path: path, Reason: fmt.Sprintf("its id or key is taken by %s", existing)}
	}
	if reason := s.checkReferences(e); reason != "" {
		return &InvalidError{Path: path, Reason: reason}
	}
	return nil
}

func (s *State) checkReferences(e Entity) string {
	switch e := e.(type) {
	case *Key:
		return s.checkKeyReferences(e)
	case *Route:
		return s.checkRouteTargets(e)
	case *Upstream:
		if e.Kind == UpstreamEngine && s.models[e.Model] == nil {
			return "its model does not exist"
		}
	case *Model:
		if e.CurrentVersion != "" && !s.hasVersion(e.CurrentVersion, e.ID) {
			return "its current version does not exist for the model"
		}
	case *Member:
		return s.checkIncarnation(e)
	case *Move:
		return s.checkMoveTargets(e)
	case *Operator, *Organisation, *Version, *Setting:
	}
	return ""
}

func (s *State) checkKeyReferences(e *Key) string {
	org, ok := s.organisations.get(e.Organisation)
	if !ok || org.Team != e.Team {
		return "its organisation does not exist in the team"
	}
	old, ok := s.Entity(PathOf(e)).(*Key)
	if ok && old.Withdrawn && !e.Withdrawn {
		return "a withdrawn key can't be given again; create another"
	}
	return ""
}

func (s *State) checkRouteTargets(e *Route) string {
	if e.Kind == RouteModel && s.models[e.Model] == nil {
		return "its model does not exist"
	}
	if e.Kind != RoutePlain {
		return ""
	}
	for _, id := range e.Upstreams {
		if up := s.upstreams[id]; up == nil || up.Kind != UpstreamPlain {
			return fmt.Sprintf("%s is no plain upstream", id)
		}
	}
	return ""
}

// checkIncarnation rejects a record of an older incarnation than the known one, and a removed daemon that becomes active
// again without a new incarnation.
func (s *State) checkIncarnation(e *Member) string {
	old := s.members[e.ID]
	if old == nil {
		return ""
	}
	if e.Incarnation < old.Incarnation {
		return fmt.Sprintf("incarnation %d is older than %d", e.Incarnation, old.Incarnation)
	}
	rejoins := e.State.Active() && !old.State.Active()
	if rejoins && e.Incarnation == old.Incarnation {
		return "a removed daemon joins again only with a new incarnation"
	}
	return ""
}

func (s *State) checkMoveTargets(e *Move) string {
	if !s.hasVersion(e.From, e.Model) || !s.hasVersion(e.To, e.Model) {
		return "a version does not exist for the model"
	}
	for _, id := range e.Routes {
		if route := s.routes[id]; route == nil || route.Model != e.Model {
			return fmt.Sprintf("%s is no route of the model", id)
		}
	}
	if old := s.moves[e.ID]; old != nil && old.State.Ended() && old.State != e.State {
		return "the move has ended"
	}
	if e.State.Ended() {
		return ""
	}
	for id, other := range s.moves {
		if id != e.ID && !other.State.Ended() && other.overlaps(e) {
			return "another move of the model is running on one of its routes"
		}
	}
	return ""
}

// overlaps reports whether two moves shift some of the same traffic. A move without routes shifts all traffic of its model.
func (m *Move) overlaps(other *Move) bool {
	if m.Model != other.Model {
		return false
	}
	if len(m.Routes) == 0 || len(other.Routes) == 0 {
		return true
	}
	return slices.ContainsFunc(m.Routes, func(id ident.RouteID) bool { return slices.Contains(other.Routes, id) })
}

func (s *State) hasVersion(id ident.VersionID, model ident.ModelID) bool {
	v := s.versions[id]
	return v != nil && v.Model == model
}

// pathByUniqueKey looks up the id or key digest of e, which must be unique across all paths, and returns the path of the
// entity in s that has it. It reports false if there is none or if the kind of e has no such key.
func (s *State) pathByUniqueKey(e Entity) (ident.Path, bool) {
	switch e := e.(type) {
	case *Operator:
		op, ok := s.operators[e.KeyDigest]
		return pathIfFound(op, ok)
	case *Organisation:
		org, ok := s.organisations.get(e.ID)
		return pathIfFound(org, ok)
	case *Key:
		key, ok := s.keys.get(e.Digest)
		return pathIfFound(key, ok)
	case *Route:
		route, ok := s.routes[e.ID]
		return pathIfFound(route, ok)
	case *Version:
		v, ok := s.versions[e.ID]
		return pathIfFound(v, ok)
	case *Move:
		move, ok := s.moves[e.ID]
		return pathIfFound(move, ok)
	default:
		return "", false
	}
}

func pathIfFound[E Entity](e E, found bool) (ident.Path, bool) {
	if !found {
		return "", false
	}
	return PathOf(e), true
}

// referrerOf returns the path of an entity that prevents the deletion of e, "" if there is none: usually one that refers to
// e, for an active member the member itself.
func (s *State) referrerOf(e Entity) ident.Path {
	switch e := e.(type) {
	case *Organisation:
		for _, key := range s.keys.all() {
			if key.Organisation == e.ID {
				return PathOf(key)
			}
		}
	case *Upstream:
		return lowestMatchingPath(s.routes, func(r *Route) bool { return slices.Contains(r.Upstreams, e.ID) })
	case *Route:
		return lowestMatchingPath(s.moves, func(m *Move) bool { return !m.State.Ended() && slices.Contains(m.Routes, e.ID) })
	case *Model:
		return s.modelReferrer(e.ID)
	case *Version:
		return s.versionReferrer(e.ID)
	case *Member:
		if e.State.Active() {
			return PathOf(e)
		}
	case *Move:
		return s.moveDependent(e)
	case *Operator, *Key, *Setting:
	}
	return ""
}

func (s *State) modelReferrer(id ident.ModelID) ident.Path {
	if path := lowestMatchingPath(s.routes, func(r *Route) bool { return r.Model == id }); path != "" {
		return path
	}
	return lowestMatchingPath(s.upstreams, func(u *Upstream) bool { return u.Model == id })
}

func (s *State) versionReferrer(id ident.VersionID) ident.Path {
	if path := lowestMatchingPath(s.models, func(m *Model) bool { return m.CurrentVersion == id }); path != "" {
		return path
	}
	if path := s.servedByVersion(id); path != "" {
		return path
	}
	return lowestMatchingPath(s.moves, func(m *Move) bool { return !m.State.Ended() && (m.From == id || m.To == id) })
}

// lowestMatchingPath returns the first path in sort order among the entities that match, "" if none does. The order makes
// every replay report the same path.
func lowestMatchingPath[K comparable, E Entity](entities map[K]E, match func(E) bool) ident.Path {
	var first ident.Path
	for _, e := range entities {
		path := PathOf(e)
		if match(e) && (first == "" || path < first) {
			first = path
		}
	}
	return first
}
