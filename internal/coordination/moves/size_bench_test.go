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

// BenchmarkSize measures what a daemon keeps of a move of three routes after requests of some organisations, and the
// bytes of the digest that tells of it.
func BenchmarkSize(b *testing.B) {
	for _, organisations := range []int{1, 8, countedOrganisations} {
		b.Run(fmt.Sprint("organisations=", organisations), func(b *testing.B) {
			log := newTestLog(time.Hour)
			for b.Loop() {
				before := inUse()
				s := &Splitter{}
				w := &Monitor{Splitter: s}
				s.Update(log.current())
				observe(w, organisations)
				held := inUse() - before
				rows := w.Digest()
				b.ReportMetric(float64(held), "B/move")
				b.ReportMetric(float64(proto.Size(&wire.Digest{Moves: rows})), "digestB")
				b.ReportMetric(float64(len(rows)), "rows")
				runtime.KeepAlive(w)
			}
		})
	}
}

// observe lets every organisation send a request by every route to each version.
func observe(w *Monitor, organisations int) {
	for i := range organisations {
		for _, route := range []ident.RouteID{"quote", "note", "rare"} {
			for _, v := range []ident.VersionID{oldV, newV} {
				fl := w.Begin(Target{
					Model: testModel, Route: route, Version: v, Upstream: "engine-01",
					Organisation: ident.OrganisationID(fmt.Sprintf("organisation-%05d", i)),
				}, 1024)
				fl.FirstToken(1024)
				fl.End(OutcomeComplete, 1)
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
