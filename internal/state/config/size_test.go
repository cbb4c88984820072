package config

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkSize reports, for several numbers of records, the heap memory of a state in bytes and the time to apply one
// more record.
func BenchmarkSize(b *testing.B) {
	for _, organisations := range []int{benchOrganisations / 4, benchOrganisations / 2, benchOrganisations} {
		entries := fleetEntries(organisations, organisations*benchKeys/benchOrganisations)
		b.Run(fmt.Sprintf("records=%d", len(entries)), func(b *testing.B) {
			before := heapBytes()
			s, _ := NewState().ApplyAll(entries)
			stateBytes := heapBytes() - before
			org, _ := s.Organisation("org7")
			rec := NewRecord("next", "operator", s.Revision(PathOf(org)), org)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := s.Apply(s.Offset()+1, rec); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(stateBytes), "stateBytes")
			runtime.KeepAlive(s)
		})
	}
}
