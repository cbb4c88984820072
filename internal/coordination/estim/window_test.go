package estim

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestAWindowForgetsTheOldest(t *testing.T) {
	w := Window[int]{Size: 3}
	for i, want := range []int{9, 9, 8, 7, 7, 7, 3} {
		w.Add([]int{9, 8, 7, 7, 9, 3, 1}[i])
		require.Equal(t, want, w.Median(), "after %d", i+1)
		require.Equal(t, min(i+1, 3), w.Len())
	}
}

func TestAMeanFadesBetweenItsSamples(t *testing.T) {
	f, now := DecayingMean{HalfLife: time.Second, Weight: 0.5}, time.Now()
	require.Zero(t, f.At(now))
	f.Observe(now, 8)
	require.InDelta(t, 4, f.At(now), 1e-9)
	require.InDelta(t, 1, f.At(now.Add(2*time.Second)), 1e-9)
	f.Observe(now.Add(2*time.Second), 3)
	require.InDelta(t, 2, f.At(now.Add(2*time.Second)), 1e-9)
	f.Reset()
	require.Zero(t, f.At(now.Add(time.Hour)))
}
