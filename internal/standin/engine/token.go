package engine

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// PromptDigest stands for a prompt in Token.
type PromptDigest uint64

// DigestPrompt returns the digest of a prompt.
func DigestPrompt(prompt []byte) PromptDigest {
	return PromptDigest(xxhash.Sum64(prompt))
}

// Token returns output token i of a request. It is a pure function of its arguments, so that anyone can check that
// an answer is whole and in order. A token is a space and three letters.
func Token(model ident.ModelID, version ident.VersionID, prompt PromptDigest, seed uint64, i ident.Tokens) string {
	var b [tokenBytes]byte
	writeToken(&b, answerKey(model, version, prompt, seed), i)
	return string(b[:])
}

// Answer returns the output tokens from and up to, but not including, to.
func Answer(model ident.ModelID, version ident.VersionID, prompt PromptDigest, seed uint64, from, to ident.Tokens) string {
	return answerText(answerKey(model, version, prompt, seed), from, to)
}

// answerKey mixes all that an answer depends on except for the position.
func answerKey(model ident.ModelID, version ident.VersionID, prompt PromptDigest, seed uint64) uint64 {
	key := mix(uint64(prompt)) ^ mix(seed+1)
	key = mix(key ^ xxhash.Sum64String(string(model)))
	return mix(key + xxhash.Sum64String(string(version)))
}

func answerKeyOf(req *extern.EngineRequest) uint64 {
	return answerKey(req.Model, req.Version, DigestPrompt(req.Prompt), req.Seed)
}

func answerText(key uint64, from, to ident.Tokens) string {
	var text strings.Builder
	text.Grow(int(to-from) * tokenBytes)
	var b [tokenBytes]byte
	for i := from; i < to; i++ {
		writeToken(&b, key, i)
		text.Write(b[:])
	}
	return text.String()
}

func writeToken(b *[tokenBytes]byte, key uint64, i ident.Tokens) {
	h := mix(key + uint64(i)*goldenRatio)
	b[0] = ' '
	for k := 1; k < tokenBytes; k++ {
		b[k] = 'a' + byte(h%letters)
		h /= letters
	}
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
