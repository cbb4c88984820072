package engine

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// PromptDigest is a hash of a prompt, from which Token and Answer derive the output.
type PromptDigest uint64

// DigestPrompt returns the xxHash64 of a prompt.
func DigestPrompt(prompt []byte) PromptDigest {
	return PromptDigest(xxhash.Sum64(prompt))
}

// Token returns output token i of a request: a space and three lower-case letters. It is a pure function of its
// arguments, so that tests can check that an answer is complete and in order.
func Token(model ident.ModelID, version ident.VersionID, prompt PromptDigest, seed uint64, i ident.Tokens) string {
	var b [tokenBytes]byte
	writeToken(&b, answerKey(model, version, prompt, seed), i)
	return string(b[:])
}

// Answer returns the text of the output tokens in the half-open range [from, to).
func Answer(model ident.ModelID, version ident.VersionID, prompt PromptDigest, seed uint64, from, to ident.Tokens) string {
	return answerText(answerKey(model, version, prompt, seed), from, to)
}

// answerKey hashes the model, version, prompt and seed of an answer.
func answerKey(model ident.ModelID, version ident.VersionID, prompt PromptDigest, seed uint64) uint64 {
	key := mix(uint64(prompt)) ^ mix(seed+1)
	key = mix(key ^ xxhash.Sum64String(string(model)))
	return mix(key + xxhash.Sum64String(string(version)))
}

func requestAnswerKey(req *extern.EngineRequest) uint64 {
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
		b[k] = 'a' + byte(h%alphabetSize)
		h /= alphabetSize
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
