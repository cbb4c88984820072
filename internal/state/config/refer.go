package config

import (
	"fmt"
	"slices"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Validate reports what is wrong with an entity by itself or next to the rest of the state,
// as an *InvalidError, or nil.
func (s *State) Validate(e Entity) error {
	if err := Check(e); err != nil {
		return err
	}
	path := PathOf(e)
	if other, taken := s.holderOf(e); taken && other != path {
		return &InvalidError{Path: path, Reason: fmt.Sprintf("its id or key is taken by %s", other)}
	}
	if reason := s.checkReferences(e); reason != "" {
		return &InvalidError{Path: path, Reason: reason}
	}
	return nil
}

func (s *State) checkReferences(e Entity) string {
	switch e := e.(type) {
	case *Key:
		return s.checkKey(e)
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
		return s.checkSuccession(e)
	case *Move:
		return s.checkMoveTargets(e)
	case *Operator, *Organisation, *Version, *Setting:
	}
	return ""
}

func (s *State) checkKey(e *Key) string {
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

// checkSuccession refuses records of an older incarnation and a return without a new one.
func (s *State) checkSuccession(e *Member) string {
	old := s.members[e.ID]
	if old == nil {
		return ""
	}
	if e.Incarnation < old.Incarnation {
		return fmt.Sprintf("incarnation %d is older than %d", e.Incarnation, old.Incarnation)
	}
	returns := e.State.Active() && !old.State.Active()
	if returns && e.Incarnation == old.Incarnation {
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

// overlaps reports whether two moves shift the same traffic; a move without routes shifts all of its model.
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

// holderOf returns the path of the entity that already has the id or key digest of e.
func (s *State) holderOf(e Entity) (ident.Path, bool) {
	switch e := e.(type) {
	case *Operator:
		op, ok := s.operators[e.KeyDigest]
		return pathOfFound(op, ok)
	case *Organisation:
		org, ok := s.organisations.get(e.ID)
		return pathOfFound(org, ok)
	case *Key:
		key, ok := s.keys.get(e.Digest)
		return pathOfFound(key, ok)
	case *Route:
		route, ok := s.routes[e.ID]
		return pathOfFound(route, ok)
	case *Version:
		v, ok := s.versions[e.ID]
		return pathOfFound(v, ok)
	case *Move:
		move, ok := s.moves[e.ID]
		return pathOfFound(move, ok)
	default:
		return "", false
	}
}

func pathOfFound[E Entity](e E, found bool) (ident.Path, bool) {
	if !found {
		return "", false
	}
	return PathOf(e), true
}

// userOf returns the path of an entity that refers to e, "" if none does.
func (s *State) userOf(e Entity) ident.Path {
	switch e := e.(type) {
	case *Organisation:
		for _, key := range s.keys.all() {
			if key.Organisation == e.ID {
				return PathOf(key)
			}
		}
	case *Upstream:
		return firstUser(s.routes, func(r *Route) bool { return slices.Contains(r.Upstreams, e.ID) })
	case *Route:
		return firstUser(s.moves, func(m *Move) bool { return !m.State.Ended() && slices.Contains(m.Routes, e.ID) })
	case *Model:
		return s.userOfModel(e.ID)
	case *Version:
		return s.userOfVersion(e.ID)
	case *Member:
		if e.State.Active() {
			return PathOf(e)
		}
	case *Move:
		return s.userOfMove(e)
	case *Operator, *Key, *Setting:
	}
	return ""
}

func (s *State) userOfModel(id ident.ModelID) ident.Path {
	if path := firstUser(s.routes, func(r *Route) bool { return r.Model == id }); path != "" {
		return path
	}
	return firstUser(s.upstreams, func(u *Upstream) bool { return u.Model == id })
}

func (s *State) userOfVersion(id ident.VersionID) ident.Path {
	if path := firstUser(s.models, func(m *Model) bool { return m.CurrentVersion == id }); path != "" {
		return path
	}
	if path := s.servedBy(id); path != "" {
		return path
	}
	return firstUser(s.moves, func(m *Move) bool { return !m.State.Ended() && (m.From == id || m.To == id) })
}

// firstUser returns the lowest path among the entities that match, so that every replay names the same one.
func firstUser[K comparable, E Entity](entities map[K]E, match func(E) bool) ident.Path {
	var first ident.Path
	for _, e := range entities {
		path := PathOf(e)
		if match(e) && (first == "" || path < first) {
			first = path
		}
	}
	return first
}
