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
	// controlSpan is how long a loaded system is measured.
	controlSpan = 10 * time.Second
	// requestsPerDaemon arrive a second and daemon: the rate of spogulis spread over eight daemons.
	requestsPerDaemon = 90.0 / 8
)

// BenchmarkControl measures the bytes on the wire that control costs a daemon, first without requests and then at a
// steady load of the spogulis profile in real time, and the memory of the process with its stand-ins for each daemon.
// With -cpuprofile, "go tool pprof -tags" shows the processor time of control.
func BenchmarkControl(b *testing.B) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	for _, daemons := range []int{2, 4, 8, 16, 32} {
		b.Run(fmt.Sprintf("daemons=%d", daemons), func(b *testing.B) {
			for b.Loop() {
				f := steady(b, daemons)
				b.ReportMetric(f.ControlIdle.BytesPerSecond, "idleB/s")
				b.ReportMetric(f.Control.BytesPerSecond, "B/s")
				for _, l := range meter.Links() {
					b.ReportMetric(f.Control.Links[l].SentBytesPerSecond+f.Control.Links[l].ReceivedBytesPerSecond, string(l)+"B/s")
				}
				for _, k := range meter.Kinds() {
					if kind := f.Control.Kinds[k]; kind.MessagesPerSecond > 0 || kind.SentBytesPerSecond > 0 {
						b.ReportMetric(kind.SentBytesPerSecond, string(k)+"B/s")
						b.ReportMetric(kind.MessagesPerSecond, string(k)+"/s")
					}
				}
				b.ReportMetric(float64(f.Sent), "sent")
				b.ReportMetric(float64(f.Lost), "lost")
				var mem runtime.MemStats
				runtime.ReadMemStats(&mem)
				b.ReportMetric(float64(mem.HeapInuse+mem.StackInuse)/float64(daemons)/(1<<20), "MiB/daemon")
			}
		})
	}
}

// steady runs so many daemons at a load that does not change.
func steady(b *testing.B, daemons int) *PolicyMetrics {
	b.Helper()
	p := spogulis()
	p.Daemons = daemons
	p.TimeScale = 1
	p.Traffic.RequestsPerSecond = requestsPerDaemon * float64(daemons)
	for i := range p.Organisations {
		p.Organisations[i].StormFactor = 1
	}
	r := &run{profile: &p, policy: "prefix", trace: makeTrace(&p, 1, controlSpan), length: controlSpan}
	f, err := r.play(b.Context())
	require.NoError(b, err)
	return f
}
