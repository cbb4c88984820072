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

// controlSpan is how long an idle system is measured.
const controlSpan = 3 * time.Second

// BenchmarkControl measures daemons and engines without requests: the processor time a daemon and second, with the
// daemon's share of the stand-ins, and the memory a daemon.
func BenchmarkControl(b *testing.B) {
	quiet()
	for _, size := range []struct{ daemons, engines int }{{2, 2}, {4, 2}, {8, 2}, {16, 2}, {4, 8}, {4, 32}} {
		name := fmt.Sprintf("daemons=%d", size.daemons)
		if size.engines > 2 {
			name = fmt.Sprintf("engines=%d", size.engines)
		}
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				before := inUse()
				system := &local.System{
					DaemonCount:    size.daemons,
					FailureDomains: []ident.FailureDomain{"riga-1", "riga-2"},
					EngineCount:    size.engines,
					EngineSettings: engine.Settings{},
					Model:          "girth",
					Version:        "girth-1",
				}
				require.NoError(b, system.Start(b.Context()))
				began := spending()
				time.Sleep(controlSpan)
				n := float64(size.daemons)
				used := spending().cpu - began.cpu
				b.ReportMetric(100*used.Seconds()/controlSpan.Seconds()/n, "%core/daemon")
				b.ReportMetric(float64(inUse()-before)/n/(1<<20), "MiB/daemon")
				system.Close()
			}
		})
	}
}
