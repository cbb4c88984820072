package claim

import (
	"context"
	"fmt"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// newBenchmarkFleet returns a fleet of one daemon, which owns all slices, with a log without delay.
func newBenchmarkFleet(b *testing.B) *fleet {
	b.Helper()
	f := newFleet(1, DefaultRetention)
	f.log.update(func(l *memoryLog) { l.delay = 0 })
	b.Cleanup(f.close)
	require.Eventually(b, func() bool {
		_, err := f.claimers["d00"].Claim(b.Context(), "survey", ident.DigestOf("first"), ident.DigestOf("body"), "first")
		return err == nil
	}, 10*time.Second, 10*time.Millisecond)
	return f
}

// BenchmarkClaim measures claims of new keys by 512 goroutines per processor, with a linger of 2 ms and a log without
// delay, and the bytes in the log per claim.
func BenchmarkClaim(b *testing.B) {
	f := newBenchmarkFleet(b)
	c := f.claimers["d00"]
	var n atomic.Int64
	f.log.update(func(l *memoryLog) { l.appends, l.payloadBytes = 0, 0 })
	b.SetParallelism(512)
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			name := fmt.Sprint("key", n.Add(1))
			digest := ident.DigestOf(name)
			if _, err := c.Claim(context.Background(), "survey", digest, digest, ident.RequestID(name)); err != nil {
				b.Error(err)
				return
			}
			c.Finish(context.Background(), "survey", digest, ident.RequestID(name), &wire.KeptAnswer{Status: 200}, false)
		}
	})
	f.log.update(func(l *memoryLog) {
		b.ReportMetric(float64(l.payloadBytes)/float64(b.N), "logB/claim")
		b.ReportMetric(float64(b.N)/float64(l.appends), "claims/append")
	})
}

// BenchmarkSize measures the memory of a claim without its answer.
func BenchmarkSize(b *testing.B) {
	for _, claims := range []int{10_000, 50_000} {
		b.Run(fmt.Sprint("claims=", claims), func(b *testing.B) {
			for b.Loop() {
				before := heapInUse()
				var s slice
				for i := range claims {
					digest := ident.DigestOf(fmt.Sprint("key", i))
					record := &wire.ClaimRecord{
						OrganisationId: "survey", KeyDigest: digest[:], RequestDigest: digest[:], RequestId: fmt.Sprintf("request-%016d", i), OwnerEpoch: 1,
					}
					s.add(newClaim(keyOf("survey", digest[:]), record, time.Now()))
				}
				b.ReportMetric(float64(heapInUse()-before)/float64(claims), "B/claim")
				runtime.KeepAlive(&s)
			}
		})
	}
}

// BenchmarkMessages measures the size of the messages between the daemon of a request and the owner of its key.
func BenchmarkMessages(b *testing.B) {
	digest := ident.DigestOf("key")
	req := &wire.ClaimRequest{
		OrganisationId: "survey", KeyDigest: digest[:], RequestDigest: digest[:], RequestId: "request-0000000000000001", DaemonId: "daemon-001", Incarnation: 1,
	}
	finish := &wire.FinishRequest{OrganisationId: "survey", KeyDigest: digest[:], RequestId: req.GetRequestId()}
	for b.Loop() {
		b.ReportMetric(float64(proto.Size(req)), "claimB")
		b.ReportMetric(float64(proto.Size(finish)), "finishB")
	}
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	return mem.HeapAlloc
}
