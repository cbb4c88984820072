// Package spread chooses daemons for a key by rendezvous hashing, spread over failure domains.
package spread

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Node is a daemon that can be chosen.
type Node struct {
	ID     ident.DaemonID
	Domain ident.FailureDomain
}

// Pick returns up to n nodes for the key, the highest random weight first. No failure domain gives a second node
// before every domain has given one, nor a third before every domain that has two has given them. The choice
// depends only on the key and the set of nodes, not on their order. The ids of the nodes must be distinct.
func Pick(key string, nodes []Node, n int) []ident.DaemonID {
	n = min(n, len(nodes))
	if n <= 0 {
		return nil
	}
	ranked := rank(key, nodes)
	slices.SortFunc(ranked, byTurn)
	picked := make([]ident.DaemonID, n)
	for i := range picked {
		picked[i] = ranked[i].node.ID
	}
	return picked
}

type candidate struct {
	node   Node
	weight uint64
	// turn is the rank of the node within its domain.
	turn int
}

// rank orders the nodes by weight and numbers them within their domains.
func rank(key string, nodes []Node) []candidate {
	seed := xxhash.Sum64String(key)
	ranked := make([]candidate, len(nodes))
	for i, node := range nodes {
		ranked[i] = candidate{node: node, weight: mix(seed, xxhash.Sum64String(string(node.ID)))}
	}
	slices.SortFunc(ranked, byWeight)
	turns := make(map[ident.FailureDomain]int, maxDomainsHint)
	for i := range ranked {
		domain := ranked[i].node.Domain
		ranked[i].turn = turns[domain]
		turns[domain]++
	}
	return ranked
}

func byWeight(a, b candidate) int {
	return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.node.ID, b.node.ID))
}

func byTurn(a, b candidate) int {
	return cmp.Or(cmp.Compare(a.turn, b.turn), byWeight(a, b))
}

// mix combines two hashes into one whose bits all depend on both, by the finaliser of MurmurHash3.
func mix(a, b uint64) uint64 {
	h := a ^ (b * mixOdd)
	h ^= h >> 33
	h *= mixFirst
	h ^= h >> 33
	h *= mixSecond
	return h ^ h>>33
}
