package config

import (
	"cmp"
	"maps"
	"slices"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// ServingVersions holds the versions that serve models and routes, without regard to moves that have not ended.
type ServingVersions struct {
	// Models holds the version of each model; it applies to routes that are not in Routes.
	Models map[ident.ModelID]ident.VersionID
	// Routes holds the versions of routes that were shifted by a move that names its routes.
	Routes map[ModelRoute]ident.VersionID
}

// ModelRoute identifies the traffic of a route to a model.
type ModelRoute struct {
	Model ident.ModelID
	Route ident.RouteID
}

// Version returns the version that serves the traffic, "" for an unknown model.
func (v *ServingVersions) Version(key ModelRoute) ident.VersionID {
	if version, ok := v.Routes[key]; ok {
		return version
	}
	return v.Models[key.Model]
}

// Serving computes the serving versions from the models' current versions and the moves that are done, applied in the order
// in which they were last changed.
func (s *State) Serving() ServingVersions { return s.servingWithout("") }

// servingWithout returns what Serving would return if the excluded move did not exist.
func (s *State) servingWithout(excluded ident.MoveID) ServingVersions {
	v := ServingVersions{
		Models: make(map[ident.ModelID]ident.VersionID, len(s.models)),
		Routes: map[ModelRoute]ident.VersionID{},
	}
	for id, m := range s.models {
		v.Models[id] = m.CurrentVersion
	}
	for _, m := range s.doneMoves() {
		if m.ID == excluded {
			continue
		}
		if len(m.Routes) == 0 {
			v.applyModelMove(s, m)
			continue
		}
		for _, id := range m.Routes {
			if key := (ModelRoute{m.Model, id}); v.Version(key) == m.From {
				v.Routes[key] = m.To
			}
		}
	}
	return v
}

// applyModelMove applies a move of a whole model. A change of the model entity after the move overrides the move.
func (v *ServingVersions) applyModelMove(s *State, m *Move) {
	model := s.models[m.Model]
	if model == nil || v.Models[m.Model] != m.From {
		return
	}
	if s.Revision(PathOf(m)) > s.Revision(PathOf(model)) {
		v.Models[m.Model] = m.To
	}
}

// doneMoves returns the moves that are done, sorted by the revision of their last change.
func (s *State) doneMoves() []*Move {
	var done []*Move
	for _, m := range s.moves {
		if m.State == MoveDone {
			done = append(done, m)
		}
	}
	slices.SortFunc(done, func(a, b *Move) int {
		return cmp.Compare(s.Revision(PathOf(a)), s.Revision(PathOf(b)))
	})
	return done
}

// servedByVersion returns the path of a model or route that the version serves, "" if it serves none.
func (s *State) servedByVersion(id ident.VersionID) ident.Path {
	v := s.Serving()
	path := lowestMatchingPath(s.models, func(m *Model) bool { return v.Models[m.ID] == id })
	if path != "" {
		return path
	}
	return lowestMatchingPath(s.routes, func(r *Route) bool { return v.Version(ModelRoute{r.Model, r.ID}) == id })
}

// moveDependent returns the path of a route or model that would be served by another version if the move were deleted, "" if
// there is none.
func (s *State) moveDependent(e *Move) ident.Path {
	if e.State != MoveDone {
		return ""
	}
	with, without := s.Serving(), s.servingWithout(e.ID)
	if maps.Equal(with.Models, without.Models) && maps.Equal(with.Routes, without.Routes) {
		return ""
	}
	changed := func(r *Route) bool {
		key := ModelRoute{r.Model, r.ID}
		return with.Version(key) != without.Version(key)
	}
	if path := lowestMatchingPath(s.routes, changed); path != "" {
		return path
	}
	return lowestMatchingPath(s.models, func(m *Model) bool { return with.Models[m.ID] != without.Models[m.ID] })
}
