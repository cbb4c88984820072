package member

import (
	"maps"
	"slices"

	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// witnessSets caches the witnesses of the states that may be in use, by the offset at which their members last
// changed.
type witnessSets struct {
	byChange map[ident.Offset][]ident.DaemonID
}

// forState returns Witnesses(state), computed once for each change of the members. The result must not be modified.
func (s *witnessSets) forState(state *config.State) []ident.DaemonID {
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

// prune drops the sets that belong to no state of the history.
func (s *witnessSets) prune(history []*config.State) {
	if len(s.byChange) <= len(history) {
		return
	}
	used := map[ident.Offset]bool{}
	for _, state := range history {
		used[state.MembersChanged()] = true
	}
	maps.DeleteFunc(s.byChange, func(at ident.Offset, _ []ident.DaemonID) bool { return !used[at] })
}

// quorumSets returns the witness sets of all states from the one in force up to the offset, without repetitions of
// the set before. The record at the offset needs a quorum of each, as a daemon that is behind may still use any of
// them. Daemons that are dead in the newest state are left out.
func (s *witnessSets) quorumSets(history []*config.State, newest *config.State, offset ident.Offset) [][]ident.DaemonID {
	var sets [][]ident.DaemonID
	for i, state := range history {
		if i > 0 && state.Offset() > offset {
			break
		}
		if i > 0 && state.MembersChanged() == history[i-1].MembersChanged() {
			continue
		}
		ids := withoutDead(s.forState(state), newest)
		if len(ids) > 0 && (len(sets) == 0 || !slices.Equal(ids, sets[len(sets)-1])) {
			sets = append(sets, ids)
		}
	}
	return sets
}

// withoutDead returns the ids that are not dead in the newest state; ids itself if none is dead.
func withoutDead(ids []ident.DaemonID, newest *config.State) []ident.DaemonID {
	dead := func(id ident.DaemonID) bool { return isDead(newest, id) }
	if !slices.ContainsFunc(ids, dead) {
		return ids
	}
	return slices.DeleteFunc(slices.Clone(ids), dead)
}
