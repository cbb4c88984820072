package estim

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against samples that leave the window in another order than they came.
func TestWindowReplacesOldestSample(t *testing.T) {
	w := Window[int]{Size: 3}
	for i, want := range []int{9, 9, 8, 7, 7, 7, 3} {
		w.Add([]int{9, 8, 7, 7, 9, 3, 1}[i])
		require.Equal(t, want, w.Median(), "after %d samples", i+1)
		require.Equal(t, min(i+1, 3), w.Len())
	}
}

// Guards against a mean that decays by the number of samples only and stays where it is without any.
func TestMeanDecaysBetweenSamples(t *testing.T) {
	m, now := DecayingMean{HalfLife: time.Second, Weight: 0.5}, time.Now()
	require.Zero(t, m.At(now))
	m.Observe(now, 8)
	require.InDelta(t, 4, m.At(now), 1e-9)
	require.InDelta(t, 1, m.At(now.Add(2*time.Second)), 1e-9)
	m.Observe(now.Add(2*time.Second), 3)
	require.InDelta(t, 2, m.At(now.Add(2*time.Second)), 1e-9)
	m.Reset()
	require.Zero(t, m.At(now.Add(time.Hour)))
}
