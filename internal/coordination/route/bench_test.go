package route

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/health"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/prefix"
)

const (
	benchBlocks = 64
	// picksPerReport is the number of decisions between load reports, which arrive a few times per second.
	picksPerReport = 5000
)

// newBenchRouter returns a router whose index holds a million entries, and requests of 64 blocks, each cached in part by up
// to 18 engines. If nested, all of these cache the first four blocks, three of them the first half, and one all blocks
// but the last; otherwise each caches three or four blocks more than the one before.
func newBenchRouter(engines int, nested bool) (*Router, []*Request) {
	r := &Router{Policy: PrefixAware{}, Index: &prefix.Index{}, Health: &health.Table{}, FairShare: &FairShare{}}
	r.Update(upstreams(engines))
	names := make([]ident.UpstreamID, 0, engines)
	for id := range r.Health.Upstreams() {
		names = append(names, id)
		sendLoadReport(r, id, 1, 1000)
	}
	slices.Sort(names)
	requests := make([]*Request, 512)
	cached := make(map[ident.UpstreamID][]ident.BlockHash)
	for i := range requests {
		prompt := make([]byte, benchBlocks*prefix.BytesPerToken)
		copy(prompt, fmt.Sprintf("%08d", i/8))
		copy(prompt[len(prompt)/2:], fmt.Sprintf("%08d", i))
		chain := prefix.Chain(prefix.Scope{Organisation: "survey", Model: "m", Version: "v1"}, prompt, 1)
		requests[i] = newRequest(chain...)
		requests[i].Rate = 1000
		for j := range min(engines, 18) {
			id := names[(i+j*7)%engines]
			length := benchBlocks * (j + 1) / 18
			if nested {
				length = nestedPrefixLength(j)
			}
			cached[id] = append(cached[id], chain[:length]...)
		}
	}
	filler := ident.BlockHash(1)
	for _, id := range names {
		blocks := cached[id]
		for range (1 << 20) / engines {
			filler = filler*0x9e3779b97f4a7c15 + 1
			blocks = append(blocks, filler)
		}
		r.Index.Apply(id, extern.CacheEvent{
			Position: extern.EnginePosition{Incarnation: 1, Sequence: 1}, Added: blocks,
		})
	}
	return r, requests
}

// nestedPrefixLength returns the number of blocks that the engine with the given index caches of a nested prefix.
func nestedPrefixLength(engine int) int {
	switch {
	case engine == 0:
		return benchBlocks - 1
	case engine < 3:
		return benchBlocks / 2
	default:
		return 4
	}
}

// BenchmarkPick measures a decision for a prompt of 64 blocks, with its median and 99th percentile.
func BenchmarkPick(b *testing.B) {
	for _, engines := range []int{18, 100, 1000, 7300} {
		b.Run(fmt.Sprintf("nested/engines=%d", engines), func(b *testing.B) { benchmarkPick(b, engines, true) })
		b.Run(fmt.Sprintf("flat/engines=%d", engines), func(b *testing.B) { benchmarkPick(b, engines, false) })
	}
}

func benchmarkPick(b *testing.B, engines int, nested bool) {
	b.Helper()
	r, requests := newBenchRouter(engines, nested)
	times := make([]time.Duration, 0, 1<<20)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		if i%picksPerReport == 0 {
			b.StopTimer()
			for id := range r.Health.Upstreams() {
				sendLoadReport(r, id, 1, 1000)
			}
			b.StartTimer()
		}
		start := time.Now()
		if _, err := r.Pick(requests[i%len(requests)]); err != nil {
			b.Fatal(err)
		}
		if len(times) < cap(times) {
			times = append(times, time.Since(start))
		}
		i++
	}
	b.ReportMetric(float64(quantile(times, 0.5))/1000, "p50-µs")
	b.ReportMetric(float64(quantile(times, 0.99))/1000, "p99-µs")
}

// BenchmarkPickParallel measures concurrent decisions while cache events change the index.
func BenchmarkPickParallel(b *testing.B) {
	r, requests := newBenchRouter(18, true)
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for sequence := ident.Sequence(2); ; sequence++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
			}
			r.Index.Apply("e00", extern.CacheEvent{
				Position: extern.EnginePosition{Incarnation: 1, Sequence: sequence}, Added: []ident.BlockHash{ident.BlockHash(sequence)},
			})
		}
	}()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i++ {
			if _, err := r.Pick(requests[i%len(requests)]); err != nil {
				b.Error(err)
			}
		}
	})
	close(stop)
	<-stopped
}

// BenchmarkAttempt measures a decision and the accounting of its attempt.
func BenchmarkAttempt(b *testing.B) {
	r, requests := newBenchRouter(18, true)
	done := &extern.EngineDone{PromptTokens: 64000, CachedTokens: 60000, OutputTokens: 300}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		req := requests[i%len(requests)]
		d, err := r.Pick(req)
		if err != nil {
			b.Fatal(err)
		}
		a := r.StartAttempt(req, d)
		a.FirstToken()
		a.Finished(done)
		i++
	}
}
