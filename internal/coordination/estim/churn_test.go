package estim

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

func TestChurnIsTheRateOfWhatComesNew(t *testing.T) {
	for _, perSecond := range []int{3_000, 20_000, 900_000} {
		synctest.Test(t, func(t *testing.T) {
			c := &FillRate{}
			_, known := c.PerSecond()
			require.False(t, known)
			for range 600 {
				c.Add(ident.Tokens(perSecond / 50))
				time.Sleep(20 * time.Millisecond)
			}
			rate, known := c.PerSecond()
			require.True(t, known)
			require.InEpsilon(t, perSecond, rate, 0.05)
			// A tenth of the load later, the rate follows.
			for range 1500 {
				c.Add(ident.Tokens(perSecond / 500))
				time.Sleep(20 * time.Millisecond)
			}
			rate, _ = c.PerSecond()
			require.InEpsilon(t, perSecond/10, rate, 0.1)
		})
	}
}
