package moves

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// BenchmarkSize measures the memory that a daemon uses for a move of three routes after requests of some
// organisations, and the size in bytes of the digest with their counts.
func BenchmarkSize(b *testing.B) {
	for _, organisations := range []int{1, 8, maxCountedOrganisations} {
		b.Run(fmt.Sprint("organisations=", organisations), func(b *testing.B) {
			log := newTestLog(time.Hour)
			for b.Loop() {
				before := inUse()
				s := &Splitter{}
				monitor := &Monitor{Splitter: s}
				s.Update(log.current())
				observe(monitor, organisations)
				used := inUse() - before
				rows := monitor.Digest()
				b.ReportMetric(float64(used), "B/move")
				b.ReportMetric(float64(proto.Size(&wire.Digest{Moves: rows})), "digestB")
				b.ReportMetric(float64(len(rows)), "rows")
				runtime.KeepAlive(monitor)
			}
		})
	}
}

// observe makes every organisation send a request by every route to each version.
func observe(monitor *Monitor, organisations int) {
	for i := range organisations {
		for _, route := range []ident.RouteID{"quote", "note", "rare"} {
			for _, version := range []ident.VersionID{oldVersion, newVersion} {
				attempt := monitor.Begin(Target{
					Model: testModel, Route: route, Version: version, Upstream: "engine-01",
					Organisation: ident.OrganisationID(fmt.Sprintf("organisation-%05d", i)),
				}, 1024)
				attempt.FirstToken(1024)
				attempt.End(OutcomeComplete, 1)
			}
		}
	}
}

func inUse() uint64 {
	runtime.GC()
	runtime.GC()
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	return mem.HeapAlloc
}
