package rhash

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

func makeNodes(n, domains int) []Node {
	nodes := make([]Node, n)
	for i := range nodes {
		nodes[i] = Node{
			ID:            ident.DaemonID(fmt.Sprintf("d%03d", i)),
			FailureDomain: ident.FailureDomain(fmt.Sprintf("f%d", i%domains)),
		}
	}
	return nodes
}

func TestPickProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := makeNodes(rapid.IntRange(1, 40).Draw(t, "nodes"), rapid.IntRange(1, 10).Draw(t, "domains"))
		key := rapid.String().Draw(t, "key")
		n := rapid.IntRange(0, 45).Draw(t, "n")
		picked := Pick(key, nodes, n)

		require.Len(t, picked, min(n, len(nodes)))
		require.Equal(t, picked, Pick(key, rapid.Permutation(nodes).Draw(t, "order"), n), "result depends on the order of the nodes")
		requireBalancedDomains(t, nodes, picked)
		for i := range picked {
			require.Equal(t, picked[:i], append([]ident.DaemonID{}, Pick(key, nodes, i)...), "result for a smaller n is not a prefix")
		}
	})
}

// requireBalancedDomains checks that no domain contributes more than one node more than any domain with unpicked nodes.
func requireBalancedDomains(t *rapid.T, nodes []Node, picked []ident.DaemonID) {
	taken, remaining := map[ident.FailureDomain]int{}, map[ident.FailureDomain]int{}
	for _, node := range nodes {
		if slices.Contains(picked, node.ID) {
			taken[node.FailureDomain]++
		} else {
			remaining[node.FailureDomain]++
		}
	}
	for domain := range remaining {
		for _, most := range taken {
			require.LessOrEqual(t, most, taken[domain]+1, "domain %s has unpicked nodes but contributes too few", domain)
		}
	}
}

// A daemon that leaves must not change the assignment of keys that it didn't have.
func TestPickMovesOnlyKeysOfRemovedNode(t *testing.T) {
	nodes := makeNodes(8, 8)
	for i := range 1000 {
		key := fmt.Sprint(i)
		before := Pick(key, nodes, 1)
		after := Pick(key, nodes[1:], 1)
		if before[0] != nodes[0].ID {
			require.Equal(t, before, after)
		}
	}
}

// referencePick picks by sorting all nodes by rank within their domains and by weight, the rule on which daemons of all
// versions must agree.
func referencePick(key string, nodes []Node, n int) []ident.DaemonID {
	weight := func(node Node) uint64 { return mix(xxhash.Sum64String(key), xxhash.Sum64String(string(node.ID))) }
	ordered := slices.SortedFunc(slices.Values(nodes), func(a, b Node) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a.ID, b.ID))
	})
	domainRank, domainCount := map[ident.DaemonID]int{}, map[ident.FailureDomain]int{}
	for _, node := range ordered {
		domainRank[node.ID] = domainCount[node.FailureDomain]
		domainCount[node.FailureDomain]++
	}
	slices.SortStableFunc(ordered, func(a, b Node) int { return cmp.Compare(domainRank[a.ID], domainRank[b.ID]) })
	var ids []ident.DaemonID
	for _, node := range ordered[:min(n, len(ordered))] {
		ids = append(ids, node.ID)
	}
	return ids
}

// Daemons with different versions of the software must pick the same nodes, so the result must not change.
func TestPickMatchesReference(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		nodes := makeNodes(rapid.IntRange(0, 60).Draw(rt, "nodes"), rapid.IntRange(1, 12).Draw(rt, "domains"))
		n := rapid.IntRange(0, 70).Draw(rt, "n")
		key := rapid.String().Draw(rt, "key")
		require.Equal(rt, referencePick(key, nodes, n), Pick(key, nodes, n))
	})
}

func BenchmarkPick(b *testing.B) {
	for _, size := range []int{8, 410} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			nodes := makeNodes(size, 10)
			b.ReportAllocs()
			for b.Loop() {
				Pick("organisation", nodes, 5)
			}
		})
	}
}
