package load

import "github.com/gooseberryway/gooseberryway/internal/coordination/route"

// setGainShares sets GainShare of each policy, if leastLoad was run.
func (r *Report) setGainShares() {
	base, ok := r.Policies[string(route.PolicyLeastLoad)]
	if !ok {
		return
	}
	for _, metrics := range r.Policies {
		metrics.GainShare = gainShare(metrics.PrefixHitRate, base.PrefixHitRate, r.OmniscientBound.PrefixHitRate)
	}
}

// gainShare returns the gain of a hit rate over the base as a share of the largest possible gain, best - base; nil if no
// gain is possible.
func gainShare(rate, base, best float64) *float64 {
	if best <= base {
		return nil
	}
	share := (rate - base) / (best - base)
	return &share
}
