package member

import (
	"maps"
	"slices"

	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// sets keeps the witnesses of the states that may be in use, by the offset at which their members last changed.
type sets struct {
	byChange map[ident.Offset][]ident.DaemonID
}

// of is Witnesses, computed once for each change of the members. The result must not be changed.
func (s *sets) of(state *config.State) []ident.DaemonID {
	ids, known := s.byChange[state.MembersChanged()]
	if known {
		return ids
	}
	if s.byChange == nil {
		s.byChange = map[ident.Offset][]ident.DaemonID{}
	}
	ids = Witnesses(state)
	s.byChange[state.MembersChanged()] = ids
	return ids
}

// prune forgets the states before and after those of the history.
func (s *sets) prune(history []*config.State) {
	if len(s.byChange) <= len(history) {
		return
	}
	used := map[ident.Offset]bool{}
	for _, state := range history {
		used[state.MembersChanged()] = true
	}
	maps.DeleteFunc(s.byChange, func(at ident.Offset, _ []ident.DaemonID) bool { return !used[at] })
}

// views returns the sets of witnesses of all states from the one in force up to the offset, a set that follows an
// equal one left out. A record at the offset needs a quorum of each, for a daemon that is behind may still go by any of
// them. Daemons that are dead by the newest state are left out.
func (s *sets) views(history []*config.State, newest *config.State, offset ident.Offset) [][]ident.DaemonID {
	var views [][]ident.DaemonID
	for i, state := range history {
		if i > 0 && state.Offset() > offset {
			break
		}
		if i > 0 && state.MembersChanged() == history[i-1].MembersChanged() {
			continue
		}
		ids := withoutDead(s.of(state), newest)
		if len(ids) > 0 && (len(views) == 0 || !slices.Equal(ids, views[len(views)-1])) {
			views = append(views, ids)
		}
	}
	return views
}

// withoutDead returns the ids themselves if none is dead.
func withoutDead(ids []ident.DaemonID, newest *config.State) []ident.DaemonID {
	dead := func(id ident.DaemonID) bool { return isDead(newest, id) }
	if !slices.ContainsFunc(ids, dead) {
		return ids
	}
	return slices.DeleteFunc(slices.Clone(ids), dead)
}
