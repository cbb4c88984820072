package moves

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// OwnerEpoch returns the fencing token of the move's owner: the offset of the record that made it the owner.
func OwnerEpoch(state *config.State, m *config.Move) ident.Offset {
	if m.OwnerEpoch != 0 {
		return m.OwnerEpoch
	}
	return state.Revision(config.PathOf(m))
}

// electOwner returns the live daemon that should own a move, by rendezvous hashing; "" if none is live.
func electOwner(move ident.MoveID, live []ident.DaemonID) ident.DaemonID {
	if len(live) == 0 {
		return ""
	}
	return slices.MaxFunc(live, func(a, b ident.DaemonID) int {
		return cmp.Or(cmp.Compare(ownerWeight(move, a), ownerWeight(move, b)), cmp.Compare(a, b))
	})
}

// rankOwners returns the first n live daemons by rendezvous hashing; the first is that of electOwner.
func rankOwners(move ident.MoveID, live []ident.DaemonID, n int) []ident.DaemonID {
	ranked := slices.SortedFunc(slices.Values(live), func(a, b ident.DaemonID) int {
		return cmp.Or(cmp.Compare(ownerWeight(move, b), ownerWeight(move, a)), cmp.Compare(a, b))
	})
	return ranked[:min(n, len(ranked))]
}

func ownerWeight(move ident.MoveID, daemon ident.DaemonID) uint64 {
	return mix(xxhash.Sum64String(string(move)) ^ mix(xxhash.Sum64String(string(daemon))))
}

// precedingOverlap returns another active move of one of the same routes that comes before the move in activeMoves,
// "" if there is none.
func precedingOverlap(state *config.State, m *config.Move) ident.MoveID {
	for _, other := range activeMoves(state) {
		if other.ID == m.ID {
			return ""
		}
		if movesOverlap(other, m) {
			return other.ID
		}
	}
	return ""
}

func movesOverlap(a, b *config.Move) bool {
	if a.Model != b.Model {
		return false
	}
	if len(a.Routes) == 0 || len(b.Routes) == 0 {
		return true
	}
	return slices.ContainsFunc(a.Routes, func(r ident.RouteID) bool { return slices.Contains(b.Routes, r) })
}
