// Package prefix knows which blocks of prompts the engines hold: it hashes prompts into chains of blocks and
// indexes the engines' cache events by those hashes.
package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Scope is what cached blocks are bound to. Blocks of one scope are never used in another.
type Scope struct {
	Organisation ident.OrganisationID
	Model        ident.ModelID
	Version      ident.VersionID
	Adapter      string
}

// TokensOf returns the number of tokens that a text counts as. The last token may be partial.
func TokensOf(text []byte) ident.Tokens {
	return ident.Tokens((len(text) + BytesPerToken - 1) / BytesPerToken)
}

// Chain returns the hashes of the whole blocks of a prompt. Each hash covers the scope, all blocks before it and
// its own bytes, so that equal hashes mean equal prefixes; a partial last block has no hash.
//
// The router has no tokenizer: a block is blockTokens times BytesPerToken bytes of the canonical prompt.
// An engine that hashes its blocks by its own tokens needs an adapter which translates its cache events into these
// hashes, for example by remembering for each request which blocks of the engine its prompt filled.
func Chain(scope Scope, prompt []byte, blockTokens ident.Tokens) []ident.BlockHash {
	size := int(blockTokens) * BytesPerToken
	if size <= 0 || len(prompt) < size {
		return nil
	}
	chain := make([]ident.BlockHash, 0, len(prompt)/size)
	previous := scope.root()
	for ; len(prompt) >= size; prompt = prompt[size:] {
		previous = next(previous, prompt[:size])
		chain = append(chain, ident.BlockHash(previous))
	}
	return chain
}

// root returns the hash that precedes the first block of every prompt in the scope. Each part is preceded by its
// length, so that no two scopes read alike.
func (s Scope) root() uint64 {
	buf := make([]byte, 0, scopeBytes)
	for _, part := range [...]string{string(s.Organisation), string(s.Model), string(s.Version), s.Adapter} {
		buf = binary.AppendUvarint(buf, uint64(len(part)))
		buf = append(buf, part...)
	}
	return xxhash.Sum64(buf)
}

func next(previous uint64, block []byte) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(previous)
	_, _ = d.Write(block)
	return d.Sum64()
}
