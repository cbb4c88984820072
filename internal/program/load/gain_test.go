package load

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against wrong shares, and against a division by zero when leastLoad reaches the bound or was not run.
func TestGainShareIsMeasuredFromLeastLoadToBound(t *testing.T) {
	policy := func(rate float64) *PolicyMetrics { return &PolicyMetrics{Metrics: Metrics{PrefixHitRate: rate}} }
	r := &Report{
		Policies:        map[string]*PolicyMetrics{"prefix": policy(0.75), "leastLoad": policy(0.5), "random": policy(0.25)},
		OmniscientBound: &Metrics{PrefixHitRate: 1},
	}
	r.setGainShares()
	require.InDelta(t, 0.5, *r.Policies["prefix"].GainShare, 1e-9)
	require.InDelta(t, 0, *r.Policies["leastLoad"].GainShare, 1e-9)
	require.InDelta(t, -0.5, *r.Policies["random"].GainShare, 1e-9)

	noPossibleGain := &Report{Policies: map[string]*PolicyMetrics{"leastLoad": policy(1)}, OmniscientBound: &Metrics{PrefixHitRate: 1}}
	noPossibleGain.setGainShares()
	require.Nil(t, noPossibleGain.Policies["leastLoad"].GainShare)

	withoutLeastLoad := &Report{Policies: map[string]*PolicyMetrics{"prefix": policy(0.75)}, OmniscientBound: &Metrics{PrefixHitRate: 1}}
	withoutLeastLoad.setGainShares()
	require.Nil(t, withoutLeastLoad.Policies["prefix"].GainShare)
}
