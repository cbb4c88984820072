package load

import (
	"slices"
	"sort"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// ledger is an exact token bucket for one organisation, filled with what all daemons admitted. A reservation counts in
// full: what was not used is given back only later.
type ledger struct {
	rate  ident.TokensPerSecond
	burst ident.Tokens
	// times and levels are the bucket after each admission, in order.
	times  []time.Time
	levels []float64
	// worst is the most by which any interval exceeds burst plus rate times its length.
	worst ident.Tokens
}

func newLedger(list []admission, org ident.OrganisationID, rate ident.TokensPerSecond, burst ident.Tokens) *ledger {
	own := make([]admission, 0, len(list))
	for _, a := range list {
		if a.organisation == org {
			own = append(own, a)
		}
	}
	slices.SortFunc(own, func(a, b admission) int { return a.at.Compare(b.at) })
	l := &ledger{rate: rate, burst: burst}
	for _, a := range own {
		level := l.level(a.at) + float64(a.cost)
		l.times = append(l.times, a.at)
		l.levels = append(l.levels, level)
		l.worst = max(l.worst, ident.Tokens(level)-burst)
	}
	return l
}

// level returns how full the bucket is at a time.
func (l *ledger) level(at time.Time) float64 {
	i := sort.Search(len(l.times), func(i int) bool { return l.times[i].After(at) })
	if i == 0 {
		return 0
	}
	return max(0, l.levels[i-1]-at.Sub(l.times[i-1]).Seconds()*float64(l.rate))
}

// idealBucket is one exact bucket for the whole fleet that admits in the order of arrival.
type idealBucket struct {
	rate     ident.TokensPerSecond
	burst    ident.Tokens
	patience time.Duration
	level    float64
	last     time.Time
}

// wait returns how long a request of the cost waits. One that would wait longer than the patience is not admitted.
func (b *idealBucket) wait(at time.Time, cost ident.Tokens) time.Duration {
	if at.Before(b.last) {
		// Requests that wait go first.
		return b.admit(b.last, at, cost)
	}
	return b.admit(at, at, cost)
}

func (b *idealBucket) admit(from, arrived time.Time, cost ident.Tokens) time.Duration {
	level := b.level
	if !b.last.IsZero() {
		level = max(0, level-from.Sub(b.last).Seconds()*float64(b.rate))
	}
	missing := max(0, level+float64(cost)-float64(b.burst))
	at := from.Add(time.Duration(missing / float64(b.rate) * float64(time.Second)))
	wait := at.Sub(arrived)
	if wait > b.patience {
		return wait
	}
	b.level, b.last = level-missing+float64(cost), at
	return wait
}

// best is the bound of a router that knows everything: the caches of all engines count as one, prompts never wait.
func best(p *Profile, trace []arrival) *Metrics {
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
		if a.at < p.wall(warmup) {
			continue
		}
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
