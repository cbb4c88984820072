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

func fleet(n, domains int) []Node {
	nodes := make([]Node, n)
	for i := range nodes {
		nodes[i] = Node{
			ID:     ident.DaemonID(fmt.Sprintf("d%03d", i)),
			Domain: ident.FailureDomain(fmt.Sprintf("f%d", i%domains)),
		}
	}
	return nodes
}

func TestPickProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := fleet(rapid.IntRange(1, 40).Draw(t, "nodes"), rapid.IntRange(1, 10).Draw(t, "domains"))
		key := rapid.String().Draw(t, "key")
		n := rapid.IntRange(0, 45).Draw(t, "n")
		picked := Pick(key, nodes, n)

		require.Len(t, picked, min(n, len(nodes)))
		require.Equal(t, picked, Pick(key, rapid.Permutation(nodes).Draw(t, "order"), n), "order of the nodes matters")
		requireSpread(t, nodes, picked)
		for i := range picked {
			require.Equal(t, picked[:i], append([]ident.DaemonID{}, Pick(key, nodes, i)...), "not a prefix")
		}
	})
}

// requireSpread checks that no domain gives two nodes more than another that has nodes left.
func requireSpread(t *rapid.T, nodes []Node, picked []ident.DaemonID) {
	taken, left := map[ident.FailureDomain]int{}, map[ident.FailureDomain]int{}
	for _, node := range nodes {
		if slices.Contains(picked, node.ID) {
			taken[node.Domain]++
		} else {
			left[node.Domain]++
		}
	}
	for domain := range left {
		for _, most := range taken {
			require.LessOrEqual(t, most, taken[domain]+1, "domain %s was passed over", domain)
		}
	}
}

func TestPickMovesOnlyKeysOfALostNode(t *testing.T) {
	nodes := fleet(8, 8)
	for i := range 1000 {
		key := fmt.Sprint(i)
		before := Pick(key, nodes, 1)
		after := Pick(key, nodes[1:], 1)
		if before[0] != nodes[0].ID {
			require.Equal(t, before, after)
		}
	}
}

// plainly picks by sorting all nodes by turn and weight, the rule that daemons of all versions must agree on.
func plainly(key string, nodes []Node, n int) []ident.DaemonID {
	weight := func(node Node) uint64 { return mix(xxhash.Sum64String(key), xxhash.Sum64String(string(node.ID))) }
	ordered := slices.SortedFunc(slices.Values(nodes), func(a, b Node) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a.ID, b.ID))
	})
	turns, seen := map[ident.DaemonID]int{}, map[ident.FailureDomain]int{}
	for _, node := range ordered {
		turns[node.ID] = seen[node.Domain]
		seen[node.Domain]++
	}
	slices.SortStableFunc(ordered, func(a, b Node) int { return cmp.Compare(turns[a.ID], turns[b.ID]) })
	var ids []ident.DaemonID
	for _, node := range ordered[:min(n, len(ordered))] {
		ids = append(ids, node.ID)
	}
	return ids
}

func TestPickFollowsTheRule(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		nodes := fleet(rapid.IntRange(0, 60).Draw(rt, "nodes"), rapid.IntRange(1, 12).Draw(rt, "domains"))
		n := rapid.IntRange(0, 70).Draw(rt, "n")
		key := rapid.String().Draw(rt, "key")
		require.Equal(rt, plainly(key, nodes, n), Pick(key, nodes, n))
	})
}

func BenchmarkPick(b *testing.B) {
	for _, size := range []int{8, 410} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			nodes := fleet(size, 10)
			b.ReportAllocs()
			for b.Loop() {
				Pick("organisation", nodes, 5)
			}
		})
	}
}
