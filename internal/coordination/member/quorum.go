package member

import (
	"slices"

	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// inForceQuorum is the number of n witnesses that must have applied a record before it can be in force: a majority.
func inForceQuorum(n int) int { return n/2 + 1 }

// LeaseQuorum is the number of n witnesses that must support a lease or a recovery. It is the smallest number whose
// sets each share a witness with every in-force quorum.
func LeaseQuorum(n int) int { return max(1, n-inForceQuorum(n)+1) }

// Witnesses returns the daemons whose acknowledgements count in the state, sorted by id: all active ones.
func Witnesses(state *config.State) []ident.DaemonID {
	var ids []ident.DaemonID
	for id, m := range state.Members() {
		if m.State.Active() {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func isDead(state *config.State, id ident.DaemonID) bool {
	m, ok := state.Member(id)
	return ok && m.State == config.MemberDead
}

// kthLargest returns the k-th largest value, counted from 1, and the zero value if there are fewer. It sorts values.
func kthLargest[T any](values []T, k int, compare func(a, b T) int) T {
	var none T
	if k < 1 || k > len(values) {
		return none
	}
	slices.SortFunc(values, func(a, b T) int { return compare(b, a) })
	return values[k-1]
}
