package engine

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// discardSink ignores all events.
type discardSink struct{}

func (discardSink) CacheEvent(extern.CacheEvent) {}
func (discardSink) LoadReport(extern.LoadReport) {}

// BenchmarkCacheEvent decodes cache events of 1, 8 and 64 blocks.
func BenchmarkCacheEvent(b *testing.B) {
	for _, blocks := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("blocks=%d", blocks), func(b *testing.B) {
			hashes := make([]ident.BlockHash, blocks)
			for i := range hashes {
				hashes[i] = ident.BlockHash(0x9e3779b97f4a7c15 * uint64(i+1))
			}
			data, err := json.Marshal(Event{Cache: &CacheEvent{Incarnation: 1764800000000, Sequence: 123456, Added: hashes}})
			require.NoError(b, err)
			b.ReportAllocs()
			for b.Loop() {
				if err := dispatchEvent(data, discardSink{}); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "wireBytes")
		})
	}
}
