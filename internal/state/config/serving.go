package config

import (
	"cmp"
	"maps"
	"slices"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Serving tells which versions serve outside of moves that have not ended.
type Serving struct {
	// Models holds the version of each model for routes that no move has shifted.
	Models map[ident.ModelID]ident.VersionID
	// Routes holds the version of routes that moves of single routes have shifted.
	Routes map[ModelRoute]ident.VersionID
}

// ModelRoute is a route's traffic to a model.
type ModelRoute struct {
	Model ident.ModelID
	Route ident.RouteID
}

// Version returns the version that serves a route, "" for an unknown model.
func (v *Serving) Version(key ModelRoute) ident.VersionID {
	if version, ok := v.Routes[key]; ok {
		return version
	}
	return v.Models[key.Model]
}

// Serving works out the versions from the models and the moves that are done, oldest first.
func (s *State) Serving() Serving { return s.servingWithout("") }

// servingWithout is Serving as it would be without one of the moves.
func (s *State) servingWithout(left ident.MoveID) Serving {
	v := Serving{
		Models: make(map[ident.ModelID]ident.VersionID, len(s.models)),
		Routes: map[ModelRoute]ident.VersionID{},
	}
	for id, m := range s.models {
		v.Models[id] = m.CurrentVersion
	}
	for _, m := range s.doneMoves() {
		if m.ID == left {
			continue
		}
		if len(m.Routes) == 0 {
			v.shiftModel(s, m)
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

// shiftModel shifts a whole model unless its entity was changed after the move.
func (v *Serving) shiftModel(s *State, m *Move) {
	model := s.models[m.Model]
	if model == nil || v.Models[m.Model] != m.From {
		return
	}
	if s.Revision(PathOf(m)) > s.Revision(PathOf(model)) {
		v.Models[m.Model] = m.To
	}
}

// doneMoves returns the moves that are done by the time of their last change.
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

// servedBy returns the path of a route or model that the version serves, "" if it serves none.
func (s *State) servedBy(id ident.VersionID) ident.Path {
	v := s.Serving()
	path := firstUser(s.models, func(m *Model) bool { return v.Models[m.ID] == id })
	if path != "" {
		return path
	}
	return firstUser(s.routes, func(r *Route) bool { return v.Version(ModelRoute{r.Model, r.ID}) == id })
}

// userOfMove returns the path of a route or model that another version would serve without the move, "" if there is none.
func (s *State) userOfMove(e *Move) ident.Path {
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
	if path := firstUser(s.routes, changed); path != "" {
		return path
	}
	return firstUser(s.models, func(m *Model) bool { return with.Models[m.ID] != without.Models[m.ID] })
}
