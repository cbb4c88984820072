package estim

import "time"

// DecayingPeak is the largest of the samples, each of which decays to zero with time. HalfLife is set before the first call. It is not safe for
// concurrent use.
type DecayingPeak struct {
	HalfLife time.Duration

	value     float64
	updatedAt time.Time
}

// At returns the peak at a time that is not before the last sample.
func (p *DecayingPeak) At(now time.Time) float64 {
	if p.value == 0 {
		return 0
	}
	return decayed(p.value, now.Sub(p.updatedAt), p.HalfLife)
}

// Observe adds a sample.
func (p *DecayingPeak) Observe(now time.Time, sample float64) {
	p.value = max(p.At(now), sample)
	p.updatedAt = now
}

// Reset discards all samples.
func (p *DecayingPeak) Reset() { p.value = 0 }
