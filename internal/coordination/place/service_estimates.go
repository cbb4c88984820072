package place

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/coordination/estim"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// estimates are what was learned from the requests to the upstreams of one service.
type estimates struct {
	// prefill estimates how fast engines process prompts, serviceTime how long a request is at an upstream, slotTime for how much of that
	// it occupies a slot, and fillRate how many tokens per second that were not cached this daemon's requests add to the caches.
	prefill     estim.PrefillTime
	serviceTime estim.ServiceTime
	slotTime    estim.ServiceTime
	fillRate    estim.FillRate
	// firstToken is how long requests with a free slot waited for their first token. It stands in for the prefill time while that is unknown, as
	// where all prompts are short or cached.
	firstToken estim.ServiceTime
	// fetchWait is by how much the time to first token of requests that fetched from a KV cache store exceeded the
	// estimate, which leaves out the wait for the store's link; in nanoseconds.
	fetchWait estim.DecayingMean
	// cacheRetention is how long an engine is assumed to keep a prefix chain that was sent to it, as of
	// retentionUpdatedAt.
	cacheRetention     time.Duration
	retentionUpdatedAt time.Time
	// urgency is the mix of what this daemon sends.
	urgency urgencyMix
	// nextRetryAt is the earliest time at which the next caller may retry whose request was refused because of limits.
	nextRetryAt time.Time
}

// estimates returns what was learned of a service.
func (p *Placer) estimates(id view.ServiceID) *estimates {
	if p.serviceEstimates == nil {
		p.serviceEstimates = map[view.ServiceID]*estimates{}
	}
	s := p.serviceEstimates[id]
	if s == nil {
		s = &estimates{cacheRetention: defaultCacheRetention, fetchWait: estim.DecayingMean{HalfLife: fetchWaitHalfLife, Weight: fetchWaitWeight}}
		p.serviceEstimates[id] = s
	}
	return s
}

// updateCacheRetention estimates how long engines keep what was sent to them. As they evict the least recently used
// blocks, it is the time in which an engine adds as many new tokens as its cache holds.
func (p *Placer) updateCacheRetention(s *estimates, config *view.Engine, id view.ServiceID, now time.Time) {
	if now.Sub(s.retentionUpdatedAt) < retentionUpdateInterval {
		return
	}
	s.retentionUpdatedAt = now
	engines := len(p.Snapshots.Upstreams().ByService[id])
	rate, known := s.fillRate.PerSecond()
	if config.CacheTokens <= 0 || engines == 0 || !known || rate <= 0 {
		s.cacheRetention = defaultCacheRetention
		return
	}
	daemons := 1
	if p.FleetSize != nil {
		daemons = max(1, p.FleetSize())
	}
	// Callers choose daemons at random, so that the other daemons are assumed to add as much as this one.
	perEngine := rate * float64(daemons) / float64(engines)
	cacheRetention := time.Duration(idleCacheShare * float64(config.CacheTokens) / perEngine * float64(time.Second))
	s.cacheRetention = min(max(cacheRetention, minCacheRetention), maxCacheRetention)
}
