package estim

import (
	"math"
	"time"
)

// DecayingMean is a running mean that fades to zero with time. HalfLife and Weight are set before the first call; it is not for
// concurrent use.
type DecayingMean struct {
	// HalfLife is the time in which the mean fades to a half, Weight that of one sample.
	HalfLife time.Duration
	Weight   float64

	value float64
	at    time.Time
}

// At returns the mean at a time that is no earlier than the last sample.
func (f *DecayingMean) At(now time.Time) float64 {
	if f.value == 0 {
		return 0
	}
	return faded(f.value, now.Sub(f.at), f.HalfLife)
}

// Observe takes a sample.
func (f *DecayingMean) Observe(now time.Time, sample float64) {
	f.value = f.At(now)*(1-f.Weight) + sample*f.Weight
	f.at = now
}

// Reset forgets all samples.
func (f *DecayingMean) Reset() { f.value = 0 }

func faded(value float64, age, halfLife time.Duration) float64 {
	return value * math.Exp2(-float64(age)/float64(halfLife))
}
