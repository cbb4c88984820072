package daemon

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/prefix"
)

// Guards against hashing the prompt again for each attempt, and against reusing the hashes of another version or block size.
func TestPromptIsHashedOncePerVersion(t *testing.T) {
	const blockTokens = 2
	scope := prefix.Scope{Organisation: "survey", Model: "girth", Version: "girth-1"}
	req := &extern.EngineRequest{Prompt: make([]byte, 4*blockTokens*prefix.BytesPerToken)}
	first := prefixChain(req, scope, blockTokens)
	require.Equal(t, prefix.Chain(scope, req.Prompt, blockTokens), first)
	again := prefixChain(req, scope, blockTokens)
	require.Same(t, &first[0], &again[0])

	next := scope
	next.Version = "girth-2"
	require.Equal(t, prefix.Chain(next, req.Prompt, blockTokens), prefixChain(req, next, blockTokens))
	require.Equal(t, prefix.Chain(next, req.Prompt, 2*blockTokens), prefixChain(req, next, 2*blockTokens))
	require.Equal(t, first, prefixChain(req, scope, blockTokens))
}
