// Package rhash chooses daemons for a key by rendezvous hashing, spread over failure domains.
package rhash

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
	picked := make([]ident.DaemonID, n)
	for i, c := range byTurn(ranked)[:n] {
		picked[i] = nodes[c.index].ID
	}
	return picked
}

// candidate is a node by its index.
type candidate struct {
	weight uint64
	index  int32
	// turn is the rank of the node within its domain.
	turn int32
}

// rank orders the nodes by weight and numbers them within their domains.
func rank(key string, nodes []Node) []candidate {
	seed := xxhash.Sum64String(key)
	ranked := make([]candidate, len(nodes))
	for i := range nodes {
		ranked[i] = candidate{weight: mix(seed, xxhash.Sum64String(string(nodes[i].ID))), index: int32(i)}
	}
	slices.SortFunc(ranked, func(a, b candidate) int {
		if a.weight != b.weight {
			return cmp.Compare(b.weight, a.weight)
		}
		return cmp.Compare(nodes[a.index].ID, nodes[b.index].ID)
	})
	turns := make(map[ident.FailureDomain]int32, maxDomainsHint)
	for i := range ranked {
		domain := nodes[ranked[i].index].Domain
		ranked[i].turn = turns[domain]
		turns[domain]++
	}
	return ranked
}

// byTurn returns the candidates in the order of their turns, and of their weight within a turn.
func byTurn(ranked []candidate) []candidate {
	next := make([]int32, len(ranked)+1)
	for _, c := range ranked {
		next[c.turn+1]++
	}
	for t := range ranked {
		next[t+1] += next[t]
	}
	ordered := make([]candidate, len(ranked))
	for _, c := range ranked {
		ordered[next[c.turn]] = c
		next[c.turn]++
	}
	return ordered
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
