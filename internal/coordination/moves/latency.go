package moves

import (
	"math"
	"sync/atomic"
	"time"
)

// latencyHistogram counts latencies in buckets that grow by a quarter of a doubling.
type latencyHistogram struct {
	counts [latencyBuckets]atomic.Uint32
	total  atomic.Uint32
}

func (h *latencyHistogram) add(d time.Duration) {
	h.counts[latencyBucket(d)].Add(1)
	if h.total.Add(1) == decaySamples {
		h.halve()
	}
}

// halve makes newer samples weigh more. Samples that race with it may be lost.
func (h *latencyHistogram) halve() {
	total := uint32(0)
	for i := range h.counts {
		n := h.counts[i].Load() / 2
		h.counts[i].Store(n)
		total += n
	}
	h.total.Store(total)
}

// limit returns the upper bound of the bucket of the quantile, 0 with too few samples.
func (h *latencyHistogram) limit() time.Duration {
	total := h.total.Load()
	if total < limitSamples {
		return 0
	}
	rest := int64(total) * (wholePermille - limitQuantile) / wholePermille
	for i := latencyBuckets - 1; i >= 0; i-- {
		rest -= int64(h.counts[i].Load())
		if rest < 0 {
			return bucketBound(i)
		}
	}
	return 0
}

func latencyBucket(d time.Duration) int {
	if d <= latencyFloor {
		return 0
	}
	bucket := int(math.Log2(float64(d)/float64(latencyFloor)) * bucketsPerDoubling)
	return min(bucket, latencyBuckets-1)
}

// bucketBound is the upper bound of a bucket.
func bucketBound(bucket int) time.Duration {
	return time.Duration(float64(latencyFloor) * math.Exp2(float64(bucket+1)/bucketsPerDoubling))
}

// latencyMean is a mean that newer samples weigh more in.
type latencyMean struct {
	// micros is the mean in microseconds, samples the number of samples up to meanSamples.
	micros, samples atomic.Int64
}

// add moves the mean. Samples that race with each other may be lost.
func (m *latencyMean) add(d time.Duration) {
	n := min(m.samples.Load()+1, meanSamples)
	m.samples.Store(n)
	old := m.micros.Load()
	m.micros.Store(old + (d.Microseconds()-old)/n)
}

// mean returns 0 with too few samples.
func (m *latencyMean) mean() time.Duration {
	if m.samples.Load() < meanLeastSamples {
		return 0
	}
	return time.Duration(m.micros.Load()) * time.Microsecond
}
