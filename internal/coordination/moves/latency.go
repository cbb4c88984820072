package moves

import (
	"math"
	"sync/atomic"
	"time"
)

// latencyHistogram counts latencies in buckets that each span a quarter of a doubling.
type latencyHistogram struct {
	counts [latencyBuckets]atomic.Uint32
	total  atomic.Uint32
}

func (h *latencyHistogram) add(d time.Duration) {
	h.counts[latencyBucket(d)].Add(1)
	if h.total.Add(1) == histogramDecaySamples {
		h.halve()
	}
}

// halve gives newer samples more weight. Samples that are added at the same time may be lost.
func (h *latencyHistogram) halve() {
	total := uint32(0)
	for i := range h.counts {
		n := h.counts[i].Load() / 2
		h.counts[i].Store(n)
		total += n
	}
	h.total.Store(total)
}

// limit returns the upper bound of the bucket of limitQuantilePermille, 0 with too few samples.
func (h *latencyHistogram) limit() time.Duration {
	total := h.total.Load()
	if total < limitMinSamples {
		return 0
	}
	remaining := int64(total) * (fullSharePermille - limitQuantilePermille) / fullSharePermille
	for i := latencyBuckets - 1; i >= 0; i-- {
		remaining -= int64(h.counts[i].Load())
		if remaining < 0 {
			return bucketUpperBound(i)
		}
	}
	return 0
}

func latencyBucket(d time.Duration) int {
	if d <= minBucketLatency {
		return 0
	}
	bucket := int(math.Log2(float64(d)/float64(minBucketLatency)) * bucketsPerDoubling)
	return min(bucket, latencyBuckets-1)
}

// bucketUpperBound returns the upper bound of a bucket.
func bucketUpperBound(bucket int) time.Duration {
	return time.Duration(float64(minBucketLatency) * math.Exp2(float64(bucket+1)/bucketsPerDoubling))
}

// latencyMean is a mean that gives newer samples more weight.
type latencyMean struct {
	// micros is the mean in microseconds, samples the number of samples up to meanMaxSamples.
	micros, samples atomic.Int64
}

// add adds a sample. Samples that are added at the same time may be lost.
func (m *latencyMean) add(d time.Duration) {
	n := min(m.samples.Load()+1, meanMaxSamples)
	m.samples.Store(n)
	old := m.micros.Load()
	m.micros.Store(old + (d.Microseconds()-old)/n)
}

// mean returns 0 with too few samples.
func (m *latencyMean) mean() time.Duration {
	if m.samples.Load() < meanMinSamples {
		return 0
	}
	return time.Duration(m.micros.Load()) * time.Microsecond
}
