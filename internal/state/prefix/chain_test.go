package prefix

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

func TestTokensOfRoundsUp(t *testing.T) {
	for n, want := range map[int]ident.Tokens{0: 0, 1: 1, 4: 1, 5: 2, 4000: 1000} {
		require.Equal(t, want, TokensOf(make([]byte, n)), "%d bytes", n)
	}
}

func TestChainsShareHashesOfCommonPrefixOnly(t *testing.T) {
	scope := Scope{Organisation: "survey", Model: "m", Version: "v1"}
	a := bytes.Repeat([]byte("a"), 100)
	b := append(bytes.Clone(a[:50]), bytes.Repeat([]byte("b"), 50)...)
	chainA, chainB := Chain(scope, a, 4), Chain(scope, b, 4)
	require.Len(t, chainA, 6, "the partial block has no hash")
	require.Equal(t, chainA[:3], chainB[:3])
	for i := 3; i < 6; i++ {
		require.NotEqual(t, chainA[i], chainB[i])
	}
	require.Equal(t, chainA[:5], Chain(scope, a[:80], 4))
	require.Empty(t, Chain(scope, a[:15], 4))
	require.Empty(t, Chain(scope, a, 0))
}

// Guards against cache hits across scopes, also between scopes whose fields would concatenate to the same bytes.
func TestChainHashesDifferBetweenScopes(t *testing.T) {
	prompt := make([]byte, 64)
	scopes := []Scope{
		{Organisation: "survey", Model: "m", Version: "v1"},
		{Organisation: "audit", Model: "m", Version: "v1"},
		{Organisation: "survey", Model: "n", Version: "v1"},
		{Organisation: "survey", Model: "m", Version: "v2"},
		{Organisation: "survey", Model: "m", Version: "v1", Adapter: "x"},
		{Organisation: "surveym", Version: "v1"},
		{Organisation: "survey", Model: "mv1"},
	}
	seen := map[ident.BlockHash]Scope{}
	for _, scope := range scopes {
		for _, hash := range Chain(scope, prompt, 4) {
			require.NotContains(t, seen, hash, "%v", scope)
			seen[hash] = scope
		}
	}
}
