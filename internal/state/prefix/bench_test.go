package prefix

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

func BenchmarkChain(b *testing.B) {
	prompt := make([]byte, 64*1000*BytesPerToken)
	scope := Scope{Organisation: "survey", Model: "m", Version: "v1"}
	b.SetBytes(int64(len(prompt)))
	b.ReportAllocs()
	for b.Loop() {
		Chain(scope, prompt, 1000)
	}
}

const benchEntries = 1_000_000

// newFilledIndex returns an index with benchEntries random blocks, spread evenly over the engines, and the blocks.
func newFilledIndex(engines int) (*Index, []ident.BlockHash) {
	rng := rand.New(rand.NewPCG(1, 2))
	x := &Index{}
	hashes := make([]ident.BlockHash, benchEntries)
	for i := range hashes {
		hashes[i] = ident.BlockHash(rng.Uint64())
	}
	perEngine := benchEntries / engines
	for i := range engines {
		x.Apply(ident.UpstreamID(fmt.Sprintf("e%04d", i)), extern.CacheEvent{
			Position: extern.EnginePosition{Incarnation: 1, Sequence: 1}, Added: hashes[i*perEngine : (i+1)*perEngine],
		})
	}
	return x, hashes
}

// BenchmarkMatch looks up chains of 64 blocks, all held by one engine, in an index of a million entries.
func BenchmarkMatch(b *testing.B) {
	for _, engines := range []int{18, 7300} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			x, hashes := newFilledIndex(engines)
			perEngine := len(hashes) / engines
			var matches []Match
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				first := i % engines * perEngine
				matches = x.Match(matches[:0], hashes[first:first+64])
				i++
			}
		})
	}
}

// BenchmarkMemory fills an index with a million entries and reports its bytes per entry and the share of them that
// it kept.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		x, _ := newFilledIndex(1000)
		kept := x.CountEntries()
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/benchEntries, "B/entry")
		b.ReportMetric(float64(kept)/benchEntries, "kept")
		runtime.KeepAlive(x)
	}
}

// BenchmarkApply adds and removes a block, as one cache event does.
func BenchmarkApply(b *testing.B) {
	x, hashes := newFilledIndex(1000)
	b.ReportAllocs()
	ev := extern.CacheEvent{Position: extern.EnginePosition{Incarnation: 1, Sequence: 1}}
	i := 0
	for b.Loop() {
		ev.Position.Sequence++
		ev.Added, ev.Removed = hashes[i:i+1], hashes[i+1:i+2]
		x.Apply("e0000", ev)
		i = (i + 1) % 900
	}
}

// BenchmarkDelta packs a digest, which scans 1/deltaScanDivisor of the table.
func BenchmarkDelta(b *testing.B) {
	x, _ := newFilledIndex(1000)
	b.ReportAllocs()
	for b.Loop() {
		x.Delta(2048)
	}
}
