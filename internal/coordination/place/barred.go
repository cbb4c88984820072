package place

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// barredRetryAfter is the time after which callers may retry if operators have closed all upstreams to a request.
const barredRetryAfter = time.Second

// lasts reports whether upstreams are excluded until operators write something else.
func (r BlockedReason) lasts() bool { return r == BlockedEvacuated || r == BlockedAbroad }

// Ends reports whether an upstream may soon take the request.
func (e *BlockedError) Ends() bool { return e.Reason != BlockedNoUpstream && !e.Reason.lasts() }

// Allows reports whether a request may still be sent to the upstream that was chosen for it.
func (p *Placer) Allows(c *Choice, r *Request) bool {
	return p.barred(r, sharedChain(r), c.Upstream, time.Now()) == ""
}

// barred returns why operators keep a request from an upstream; empty if they don't.
func (p *Placer) barred(r *Request, chain string, u *view.Upstream, now time.Time) BlockedReason {
	if !p.Regions.Allows(r.Homes, u.FailureDomain) {
		return BlockedAbroad
	}
	if e, ok := p.Snapshots.Evacuation(u.FailureDomain); ok && p.hasLeft(&e, chain, now) {
		return BlockedEvacuated
	}
	return ""
}

// hasLeft reports whether requests with the prefix chain no longer go to the upstreams of a failure domain that is evacuated. The chains
// leave one after the other within EvacuationTime, in an order on which all daemons agree: prompts that several upstreams compute anew at
// the same time delay all others. Requests without one leave at once.
func (p *Placer) hasLeft(e *view.Evacuation, chain string, now time.Time) bool {
	age, known := e.Age(now)
	return !known || chain == "" || age >= p.EvacuationTime || age >= time.Duration(chainShare(chain)*float64(p.EvacuationTime))
}

// chainShare maps a prefix chain to a number from 0 to 1.
func chainShare(chain string) float64 {
	return float64(xxhash.Sum64String("evacuation\x00"+chain)>>11) / (1 << 53)
}

// wasLeftLately reports whether an upstream was evacuated less than defaultCacheRetention ago, so that the prefixes in use are not assumed to be
// in the cache of those that follow it.
func (p *Placer) wasLeftLately(u *view.Upstream, now time.Time) bool {
	e, evacuated := p.Snapshots.Evacuation(u.FailureDomain)
	age, known := e.Age(now)
	return evacuated && known && age < p.EvacuationTime+defaultCacheRetention
}
