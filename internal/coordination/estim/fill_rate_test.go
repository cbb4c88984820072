package estim

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Guards against a rate that is wrong by a constant factor, as the decayed sum is still growing or its lifetime is
// left out.
func TestFillRateFollowsRateOfNewTokens(t *testing.T) {
	for _, perSecond := range []int{3_000, 20_000, 900_000} {
		synctest.Test(t, func(t *testing.T) {
			f := &FillRate{}
			_, known := f.PerSecond()
			require.False(t, known)
			for range 600 {
				f.Add(ident.Tokens(perSecond / 50))
				time.Sleep(20 * time.Millisecond)
			}
			rate, known := f.PerSecond()
			require.True(t, known)
			require.InEpsilon(t, perSecond, rate, 0.05)
			// The estimate follows when the rate drops to a tenth.
			for range 1500 {
				f.Add(ident.Tokens(perSecond / 500))
				time.Sleep(20 * time.Millisecond)
			}
			rate, _ = f.PerSecond()
			require.InEpsilon(t, perSecond/10, rate, 0.1)
		})
	}
}
