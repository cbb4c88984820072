package member

import (
	"slices"

	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// forceQuorum is the number of n witnesses that must hold a record before it can be in force: a majority.
func forceQuorum(n int) int { return n/2 + 1 }

// LeaseQuorum is the number of n witnesses that must support a lease or a recovery, so that any such set
// shares a witness with any set of forceQuorum.
func LeaseQuorum(n int) int { return max(1, n-forceQuorum(n)+1) }

// Witnesses returns the daemons that vouch for each other in the state, in order: all active ones.
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

// kthLargest returns the k-th largest value, from 1, the zero value if there are fewer.
func kthLargest[T any](values []T, k int, compare func(a, b T) int) T {
	var none T
	if k < 1 || k > len(values) {
		return none
	}
	slices.SortFunc(values, func(a, b T) int { return compare(b, a) })
	return values[k-1]
}
