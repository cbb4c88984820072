// Package prefix tracks which leading blocks of prompts each engine has in its KV cache. It hashes prompts into
// prefix chains and keeps an index from block hashes to engines, which it fills from the engines' cache events, from
// the requests that this daemon sends and from the digests of peers.
package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Scope identifies who may share cached blocks. Blocks of one scope are never used in another.
type Scope struct {
	Organisation ident.OrganisationID
	Model        ident.ModelID
	Version      ident.VersionID
	Adapter      string
}

// TokensOf returns the number of tokens that a text counts as: its length in BytesPerToken, rounded up.
func TokensOf(text []byte) ident.Tokens {
	return ident.Tokens((len(text) + BytesPerToken - 1) / BytesPerToken)
}

// Chain returns the prefix chain of a prompt: the hashes of its full blocks. Each hash covers the scope, all earlier
// blocks and the block's own bytes, so that equal hashes mean equal prefixes. A partial last block has no hash.
//
// The router has no tokenizer: a block is blockTokens times BytesPerToken bytes of the canonical prompt.
// An engine that hashes its blocks by its own tokens needs an adapter that translates its cache events into these
// hashes, for example by remembering for each request which blocks of the engine its prompt filled.
func Chain(scope Scope, prompt []byte, blockTokens ident.Tokens) []ident.BlockHash {
	size := int(blockTokens) * BytesPerToken
	if size <= 0 || len(prompt) < size {
		return nil
	}
	chain := make([]ident.BlockHash, 0, len(prompt)/size)
	previous := scope.rootHash()
	for ; len(prompt) >= size; prompt = prompt[size:] {
		previous = hashBlock(previous, prompt[:size])
		chain = append(chain, ident.BlockHash(previous))
	}
	return chain
}

// rootHash returns the hash that seeds the first block of every prompt in the scope. Each field is preceded by its
// length, so that different scopes never encode to the same bytes.
func (s Scope) rootHash() uint64 {
	buf := make([]byte, 0, scopeBytes)
	for _, part := range [...]string{string(s.Organisation), string(s.Model), string(s.Version), s.Adapter} {
		buf = binary.AppendUvarint(buf, uint64(len(part)))
		buf = append(buf, part...)
	}
	return xxhash.Sum64(buf)
}

// hashBlock returns the hash of a block, seeded with the hash of the previous one.
func hashBlock(previous uint64, block []byte) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(previous)
	_, _ = d.Write(block)
	return d.Sum64()
}
