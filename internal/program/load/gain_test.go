package load

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestTheGainIsMeasuredFromLeastLoadToTheBound(t *testing.T) {
	policy := func(rate float64) *PolicyMetrics { return &PolicyMetrics{Metrics: Metrics{PrefixHitRate: rate}} }
	r := &Report{
		Policies:        map[string]*PolicyMetrics{"prefix": policy(0.75), "leastLoad": policy(0.5), "random": policy(0.25)},
		OmniscientBound: &Metrics{PrefixHitRate: 1},
	}
	r.compare()
	require.InDelta(t, 0.5, *r.Policies["prefix"].GainShare, 1e-9)
	require.InDelta(t, 0, *r.Policies["leastLoad"].GainShare, 1e-9)
	require.InDelta(t, -0.5, *r.Policies["random"].GainShare, 1e-9)

	nothing := &Report{Policies: map[string]*PolicyMetrics{"leastLoad": policy(1)}, OmniscientBound: &Metrics{PrefixHitRate: 1}}
	nothing.compare()
	require.Nil(t, nothing.Policies["leastLoad"].GainShare)

	alone := &Report{Policies: map[string]*PolicyMetrics{"prefix": policy(0.75)}, OmniscientBound: &Metrics{PrefixHitRate: 1}}
	alone.compare()
	require.Nil(t, alone.Policies["prefix"].GainShare)
}
