package load

import (
	"slices"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// bucket is an exact token bucket for one organisation.
type bucket struct {
	rate  ident.TokensPerSecond
	burst ident.Tokens
	level float64
	last  time.Time
}

// drain lets time pass: the level falls by the rate.
func (b *bucket) drain(now time.Time) {
	if !b.last.IsZero() {
		b.level = max(0, b.level-now.Sub(b.last).Seconds()*float64(b.rate))
	}
	b.last = now
}

// overAdmitted returns the most tokens by which any interval of the admissions exceeds burst plus rate times its length.
// A reservation counts in full: what was not used is given back only later.
func overAdmitted(list []admission, org ident.OrganisationID, rate ident.TokensPerSecond, burst ident.Tokens) ident.Tokens {
	own := make([]admission, 0, len(list))
	for _, a := range list {
		if a.organisation == org {
			own = append(own, a)
		}
	}
	slices.SortFunc(own, func(a, b admission) int { return a.at.Compare(b.at) })
	b := &bucket{rate: rate, burst: burst}
	var worst float64
	for _, a := range own {
		b.drain(a.at)
		b.level += float64(a.cost)
		worst = max(worst, b.level-float64(burst))
	}
	return ident.Tokens(worst)
}

// refusedWithinRate counts the refusals for the rate of requests that one exact bucket for the whole fleet would have
// admitted at the same moment.
func refusedWithinRate(outcomes []*outcome, rate ident.TokensPerSecond, burst ident.Tokens) int {
	b := &bucket{rate: rate, burst: burst}
	refused := 0
	for _, o := range outcomes {
		b.drain(o.sent)
		if b.level+float64(o.arrival.cost) > float64(burst) {
			continue
		}
		b.level += float64(o.arrival.cost)
		if o.overRate() {
			refused++
		}
	}
	return refused
}

// best is the bound of a router that knows everything: the caches of all engines count as one, prompts never wait.
func best(p *Profile, trace []arrival) *Figures {
	cache := &unionCache{
		capacity: p.Engines * p.CacheBlocks,
		idle:     p.wall(time.Duration(p.EvictIdleMs) * time.Millisecond),
		used:     map[ident.BlockHash]time.Duration{},
	}
	c := newCollector()
	for i := range trace {
		a := &trace[i]
		held := cache.visit(a.chain, a.at)
		prompt := a.cost - p.Traffic.OutputTokens
		cached := ident.Tokens(held) * p.BlockTokens
		c.sent++
		c.answered++
		c.prompt += prompt
		c.cached += cached
		c.time(prefillStep + time.Duration(prompt-cached)*prefillPerToken)
	}
	return c.figures()
}

// unionCache is an LRU cache of blocks that are dropped when unused for a while.
type unionCache struct {
	capacity int
	idle     time.Duration
	used     map[ident.BlockHash]time.Duration
}

// visit returns the number of leading blocks held and holds all of the chain from now on.
func (u *unionCache) visit(chain []ident.BlockHash, now time.Duration) int {
	held := 0
	for _, hash := range chain {
		at, ok := u.used[hash]
		if !ok || (u.idle > 0 && now-at > u.idle) {
			break
		}
		held++
	}
	for _, hash := range chain {
		u.used[hash] = now
	}
	for len(u.used) > u.capacity {
		u.evict()
	}
	return held
}

func (u *unionCache) evict() {
	var oldest ident.BlockHash
	var at time.Duration = -1
	for hash, used := range u.used {
		if at < 0 || used < at {
			oldest, at = hash, used
		}
	}
	delete(u.used, oldest)
}
