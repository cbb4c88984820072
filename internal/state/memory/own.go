package memory

import (
	"runtime/metrics"
	"time"
)

// Samples of the runtime, and their indexes. What clients hold is for the stacks of their goroutines too, which aren't among the live bytes of the heap.
const (
	liveMetric   = "/gc/heap/live:bytes"
	stacksMetric = "/memory/classes/heap/stacks:bytes"
	cyclesMetric = "/gc/cycles/total:gc-cycles"

	liveSample, stacksSample, cyclesSample = 0, 1, 2
)

// ownState estimates the memory that the process takes for other things than its clients, such as the configuration and the upstreams of a fleet: what the
// garbage collector found alive, and stacks, beyond what was held then.
type ownState struct {
	// bytes is the larger one of the last two estimates, of which last is the later one: while clients leave, one may be too small.
	bytes, last Bytes
	// peakHeld is the most that clients have held since the last cycle of the collector that was seen.
	peakHeld  Bytes
	cycles    uint64
	sampledAt time.Time
	samples   []metrics.Sample
}

// sample updates the estimate at most once in samplePeriod. held is what clients hold now.
func (o *ownState) sample(now time.Time, held Bytes) {
	o.peakHeld = max(o.peakHeld, held)
	if now.Sub(o.sampledAt) < samplePeriod {
		return
	}
	o.sampledAt = now
	if o.samples == nil {
		o.samples = []metrics.Sample{liveSample: {Name: liveMetric}, stacksSample: {Name: stacksMetric}, cyclesSample: {Name: cyclesMetric}}
	}
	metrics.Read(o.samples)
	cycles := o.samples[cyclesSample].Value.Uint64()
	if cycles == o.cycles {
		return
	}
	o.estimate(Bytes(o.samples[liveSample].Value.Uint64() + o.samples[stacksSample].Value.Uint64()))
	o.cycles, o.peakHeld = cycles, held
}

// estimate takes what was in use at the last cycle into account.
func (o *ownState) estimate(live Bytes) {
	latest := max(0, live-o.peakHeld)
	o.bytes, o.last = max(latest, o.last), latest
}
