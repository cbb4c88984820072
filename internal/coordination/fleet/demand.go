package fleet

import (
	"sync"
	"time"
)

const (
	// demandStep is the time over which requests are counted.
	demandStep = time.Second
	// demandSteps is how many of them the highest counts for: the set of active daemons must not follow each wave.
	demandSteps = 10
)

// Demand measures the requests that reach a daemon.
type Demand struct {
	mu sync.Mutex
	// counts holds the requests of the last steps, by the step's number modulo their number.
	counts [demandSteps + 1]int
	step   int64
	begun  time.Time
}

// CountRequest counts a request.
func (d *Demand) CountRequest() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.advance(time.Now())
	d.counts[d.step%int64(len(d.counts))]++
}

// PeakRate returns the highest rate of the last complete steps.
func (d *Demand) PeakRate() RequestsPerSecond {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.advance(time.Now())
	most := 0
	for i, n := range d.counts {
		if int64(i) != d.step%int64(len(d.counts)) {
			most = max(most, n)
		}
	}
	return RequestsPerSecond(float64(most) / demandStep.Seconds())
}

// RecentRequests returns the requests of this step and the one before.
func (d *Demand) RecentRequests() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.advance(time.Now())
	size := int64(len(d.counts))
	n := d.counts[d.step%size]
	if d.step > 0 {
		n += d.counts[(d.step-1)%size]
	}
	return n
}

func (d *Demand) advance(now time.Time) {
	if d.begun.IsZero() {
		d.begun = now
	}
	step := int64(now.Sub(d.begun) / demandStep)
	for n := 0; d.step < step && n < len(d.counts); n++ {
		d.step++
		d.counts[d.step%int64(len(d.counts))] = 0
	}
	// After a long rest all counts are old.
	d.step = step
}
