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
	// refreshPicks is the number of decisions between load reports, which come a few times a second.
	refreshPicks = 5000
)

// benchRouter returns a router whose index holds a million entries, and requests of 64 blocks. Of nested prefixes up to
// 18 engines hold the first four blocks, three the first half and one all but one; of flat ones each of the 18 holds
// three or four blocks more than the one before.
func benchRouter(engines int, nested bool) (*Router, []*Request) {
	r := &Router{Policy: PrefixAware{}, Index: &prefix.Index{}, Health: &health.Table{}, FairShare: &FairShare{}}
	r.Update(upstreams(engines))
	names := make([]ident.UpstreamID, 0, engines)
	for id := range r.Health.Upstreams() {
		names = append(names, id)
		report(r, id, 1, 1000)
	}
	slices.Sort(names)
	requests := make([]*Request, 512)
	held := make(map[ident.UpstreamID][]ident.BlockHash)
	for i := range requests {
		prompt := make([]byte, benchBlocks*prefix.BytesPerToken)
		copy(prompt, fmt.Sprintf("%08d", i/8))
		copy(prompt[len(prompt)/2:], fmt.Sprintf("%08d", i))
		chain := prefix.Chain(prefix.Scope{Organisation: "survey", Model: "m", Version: "v1"}, prompt, 1)
		requests[i] = request(chain...)
		requests[i].Rate = 1000
		for j := range min(engines, 18) {
			id := names[(i+j*7)%engines]
			part := benchBlocks * (j + 1) / 18
			if nested {
				part = nestedPart(j)
			}
			held[id] = append(held[id], chain[:part]...)
		}
	}
	filler := ident.BlockHash(1)
	for _, id := range names {
		blocks := held[id]
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

func nestedPart(j int) int {
	switch {
	case j == 0:
		return benchBlocks - 1
	case j < 3:
		return benchBlocks / 2
	default:
		return 4
	}
}

// BenchmarkPick measures the decision for a prompt of 64 blocks, and its 99th percentile.
func BenchmarkPick(b *testing.B) {
	for _, engines := range []int{18, 100, 1000, 7300} {
		b.Run(fmt.Sprintf("nested/engines=%d", engines), func(b *testing.B) { benchmarkPick(b, engines, true) })
		b.Run(fmt.Sprintf("flat/engines=%d", engines), func(b *testing.B) { benchmarkPick(b, engines, false) })
	}
}

func benchmarkPick(b *testing.B, engines int, nested bool) {
	b.Helper()
	r, requests := benchRouter(engines, nested)
	times := make([]time.Duration, 0, 1<<20)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		if i%refreshPicks == 0 {
			b.StopTimer()
			for id := range r.Health.Upstreams() {
				report(r, id, 1, 1000)
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

// BenchmarkPickParallel measures decisions on several threads while events change the index.
func BenchmarkPickParallel(b *testing.B) {
	r, requests := benchRouter(18, true)
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

// BenchmarkAttempt measures the accounting of one attempt beside the decision.
func BenchmarkAttempt(b *testing.B) {
	r, requests := benchRouter(18, true)
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
