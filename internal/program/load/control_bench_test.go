package load

import (
	"fmt"
	"io"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/transport/meter"
)

const (
	// controlRunTime is how long traffic is measured under load.
	controlRunTime = 10 * time.Second
	// requestsPerDaemon is the number of requests per second for each daemon: the rate of the spogulis profile divided among
	// eight daemons.
	requestsPerDaemon = 90.0 / 8
)

// BenchmarkControl measures the control traffic of a daemon in bytes on the wire, first without requests and then at a
// constant load of the spogulis profile in real time, and the memory of the process, stand-ins included, divided by the
// number of daemons. With -cpuprofile, "go tool pprof -tags" shows the CPU time of control.
func BenchmarkControl(b *testing.B) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	for _, daemons := range []int{2, 4, 8, 16, 32} {
		b.Run(fmt.Sprintf("daemons=%d", daemons), func(b *testing.B) {
			for b.Loop() {
				metrics := measureSteadyLoad(b, daemons)
				b.ReportMetric(metrics.ControlIdle.BytesPerSecond, "idleB/s")
				b.ReportMetric(metrics.Control.BytesPerSecond, "B/s")
				for _, l := range meter.Links() {
					b.ReportMetric(metrics.Control.Links[l].SentBytesPerSecond+metrics.Control.Links[l].ReceivedBytesPerSecond, string(l)+"B/s")
				}
				for _, k := range meter.Kinds() {
					if kind := metrics.Control.Kinds[k]; kind.MessagesPerSecond > 0 || kind.SentBytesPerSecond > 0 {
						b.ReportMetric(kind.SentBytesPerSecond, string(k)+"B/s")
						b.ReportMetric(kind.MessagesPerSecond, string(k)+"/s")
					}
				}
				b.ReportMetric(float64(metrics.Sent), "sent")
				b.ReportMetric(float64(metrics.Lost), "lost")
				var mem runtime.MemStats
				runtime.ReadMemStats(&mem)
				b.ReportMetric(float64(mem.HeapInuse+mem.StackInuse)/float64(daemons)/(1<<20), "MiB/daemon")
			}
		})
	}
}

// measureSteadyLoad runs the given number of daemons at a constant load.
func measureSteadyLoad(b *testing.B, daemons int) *PolicyMetrics {
	b.Helper()
	p := spogulis()
	p.Daemons = daemons
	p.TimeScale = 1
	p.Traffic.RequestsPerSecond = requestsPerDaemon * float64(daemons)
	for i := range p.Organisations {
		p.Organisations[i].StormFactor = 1
	}
	r := &run{profile: &p, policy: "prefix", trace: makeTrace(&p, 1, controlRunTime), duration: controlRunTime}
	metrics, err := r.measure(b.Context())
	require.NoError(b, err)
	return metrics
}
