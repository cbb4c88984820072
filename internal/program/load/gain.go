package load

import "github.com/gooseberryway/gooseberryway/internal/coordination/route"

// compare sets each policy's share of the possible gain in hit rate over leastLoad.
func (r *Report) compare() {
	base, ok := r.Policies[string(route.PolicyLeastLoad)]
	if !ok {
		return
	}
	for _, f := range r.Policies {
		f.GainShare = gainShare(f.PrefixHitRate, base.PrefixHitRate, r.OmniscientBound.PrefixHitRate)
	}
}

// gainShare returns the part of the way from the base to the best; nil if there is no way.
func gainShare(rate, base, best float64) *float64 {
	if best <= base {
		return nil
	}
	share := (rate - base) / (best - base)
	return &share
}
