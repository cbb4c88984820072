package estim

import (
	"math"
	"time"
)

// DecayingMean is a running mean (EWMA) that also decays to zero with time. HalfLife and Weight are set before the
// first call. It is not safe for concurrent use.
type DecayingMean struct {
	// HalfLife is the time in which the mean decays to a half, Weight the weight of one sample, from 0 to 1.
	HalfLife time.Duration
	Weight   float64

	value     float64
	updatedAt time.Time
}

// At returns the mean at a time that is not before the last sample.
func (m *DecayingMean) At(now time.Time) float64 {
	if m.value == 0 {
		return 0
	}
	return decayed(m.value, now.Sub(m.updatedAt), m.HalfLife)
}

// Observe adds a sample.
func (m *DecayingMean) Observe(now time.Time, sample float64) {
	m.value = m.At(now)*(1-m.Weight) + sample*m.Weight
	m.updatedAt = now
}

// Reset discards all samples.
func (m *DecayingMean) Reset() { m.value = 0 }

// decayed returns what is left of a value after the age.
func decayed(value float64, age, halfLife time.Duration) float64 {
	return value * Decay(age, halfLife)
}

// Decay returns the part of a value that is left after the age.
func Decay(age, halfLife time.Duration) float64 { return math.Exp2(-float64(age) / float64(halfLife)) }
