package rhash

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestGroupSizesAreBalanced(t *testing.T) {
	const groups, mean = 16, 64
	var sizes [groups]int
	for _, node := range makeNodes(groups*mean, 10) {
		sizes[Group(node.ID, groups)]++
	}
	for _, size := range sizes {
		require.InDelta(t, mean, size, mean/2)
	}
	require.Zero(t, Group("a", 1))
}
