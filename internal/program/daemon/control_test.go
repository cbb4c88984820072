package daemon_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/program/local"
	"github.com/gooseberryway/gooseberryway/internal/standin/engine"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// idleMeasureTime is the time over which an idle system is measured.
const idleMeasureTime = 3 * time.Second

// BenchmarkControl measures an idle system: the CPU share and the memory per daemon, each including the daemon's share of the
// stand-ins.
func BenchmarkControl(b *testing.B) {
	discardLog()
	for _, size := range []struct{ daemons, engines int }{{2, 2}, {4, 2}, {8, 2}, {16, 2}, {4, 8}, {4, 32}} {
		name := fmt.Sprintf("daemons=%d", size.daemons)
		if size.engines > 2 {
			name = fmt.Sprintf("engines=%d", size.engines)
		}
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				memoryBefore := bytesInUse()
				system := &local.System{
					DaemonCount:    size.daemons,
					FailureDomains: []ident.FailureDomain{"riga-1", "riga-2"},
					EngineCount:    size.engines,
					EngineSettings: engine.Settings{},
					Model:          "girth",
					Version:        "girth-1",
				}
				require.NoError(b, system.Start(b.Context()))
				usageBefore := processUsage()
				time.Sleep(idleMeasureTime)
				n := float64(size.daemons)
				used := processUsage().cpu - usageBefore.cpu
				b.ReportMetric(100*used.Seconds()/idleMeasureTime.Seconds()/n, "%core/daemon")
				b.ReportMetric(float64(bytesInUse()-memoryBefore)/n/(1<<20), "MiB/daemon")
				system.Close()
			}
		})
	}
}
