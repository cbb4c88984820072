// Package rhash selects daemons for a key by rendezvous (highest random weight) hashing and spreads the selection over failure
// domains. It also divides daemons into groups by a hash of their ids.
package rhash

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Node is a daemon that can be selected.
type Node struct {
	ID            ident.DaemonID
	FailureDomain ident.FailureDomain
}

// Pick returns up to n nodes for the key. Nodes are taken in rounds: each round takes one node of every failure domain that
// has nodes left, in the order of their weights. The result depends only on the key and the set of nodes, not on their order,
// and the result for a smaller n is a prefix of it. The ids of the nodes must be distinct.
func Pick(key string, nodes []Node, n int) []ident.DaemonID {
	n = min(n, len(nodes))
	if n <= 0 {
		return nil
	}
	ranked := rankByWeight(key, nodes)
	picked := make([]ident.DaemonID, n)
	for i, c := range orderByDomainRank(ranked)[:n] {
		picked[i] = nodes[c.index].ID
	}
	return picked
}

// candidate is a node, given by its index in the argument of Pick, with its weight for the key.
type candidate struct {
	weight uint64
	index  int32
	// domainRank is the rank, from 0, of the node by weight within its failure domain.
	domainRank int32
}

// rankByWeight returns the nodes in descending order of weight, with their ranks within their failure domains.
func rankByWeight(key string, nodes []Node) []candidate {
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
	nextRank := make(map[ident.FailureDomain]int32, domainMapCapacity)
	for i := range ranked {
		domain := nodes[ranked[i].index].FailureDomain
		ranked[i].domainRank = nextRank[domain]
		nextRank[domain]++
	}
	return ranked
}

// orderByDomainRank returns the candidates ordered by domainRank, those with the same domainRank by weight. It sorts by
// counting.
func orderByDomainRank(ranked []candidate) []candidate {
	position := make([]int32, len(ranked)+1)
	for _, c := range ranked {
		position[c.domainRank+1]++
	}
	for r := range ranked {
		position[r+1] += position[r]
	}
	ordered := make([]candidate, len(ranked))
	for _, c := range ranked {
		ordered[position[c.domainRank]] = c
		position[c.domainRank]++
	}
	return ordered
}

// mix combines two hashes with the finaliser of MurmurHash3, so that each bit of the result depends on both.
func mix(a, b uint64) uint64 {
	h := a ^ (b * goldenRatioMultiplier)
	h ^= h >> 33
	h *= fmixMultiplier1
	h ^= h >> 33
	h *= fmixMultiplier2
	return h ^ h>>33
}
