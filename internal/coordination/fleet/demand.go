package fleet

import (
	"sync"
	"time"
)

const (
	// demandInterval is the interval over which requests are counted.
	demandInterval = time.Second
	// demandIntervals is the number of intervals whose highest count is the demand. It is long enough that the set of
	// active daemons doesn't change with each short peak.
	demandIntervals = 10
)

// Demand counts the requests that reach a daemon. Its zero value is ready to use.
type Demand struct {
	mu sync.Mutex
	// counts is a ring of the requests per interval, indexed by the number of the interval modulo the ring's size.
	counts    [demandIntervals + 1]int
	interval  int64
	startedAt time.Time
}

// CountRequest counts one request.
func (d *Demand) CountRequest() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.advance(time.Now())
	d.counts[d.interval%int64(len(d.counts))]++
}

// PeakRate returns the highest rate over the last complete intervals.
func (d *Demand) PeakRate() RequestsPerSecond {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.advance(time.Now())
	highest := 0
	for i, n := range d.counts {
		if int64(i) != d.interval%int64(len(d.counts)) {
			highest = max(highest, n)
		}
	}
	return RequestsPerSecond(float64(highest) / demandInterval.Seconds())
}

// RecentRequests returns the number of requests in the current interval and the one before.
func (d *Demand) RecentRequests() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.advance(time.Now())
	size := int64(len(d.counts))
	n := d.counts[d.interval%size]
	if d.interval > 0 {
		n += d.counts[(d.interval-1)%size]
	}
	return n
}

func (d *Demand) advance(now time.Time) {
	if d.startedAt.IsZero() {
		d.startedAt = now
	}
	interval := int64(now.Sub(d.startedAt) / demandInterval)
	for n := 0; d.interval < interval && n < len(d.counts); n++ {
		d.interval++
		d.counts[d.interval%int64(len(d.counts))] = 0
	}
	// After a long idle time all counts are zero and the interval jumps ahead.
	d.interval = interval
}
