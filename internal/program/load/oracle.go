package load

import (
	"slices"
	"sort"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// admissionReplay is an exact token bucket for one organisation through which the admissions of all daemons are replayed.
// Each admission counts with its full reservation, since unused tokens are refunded only later.
type admissionReplay struct {
	rate  ident.TokensPerSecond
	burst ident.Tokens
	// times and levels are the time of each admission, in order, and the tokens in use right after it.
	times  []time.Time
	levels []float64
	// maxExcess is the largest number of tokens by which the admissions of any interval exceed burst plus rate times the
	// interval's length.
	maxExcess ident.Tokens
}

func replayAdmissions(list []admission, org ident.OrganisationID, rate ident.TokensPerSecond, burst ident.Tokens) *admissionReplay {
	ofOrganisation := make([]admission, 0, len(list))
	for _, a := range list {
		if a.organisation == org {
			ofOrganisation = append(ofOrganisation, a)
		}
	}
	slices.SortFunc(ofOrganisation, func(a, b admission) int { return a.at.Compare(b.at) })
	l := &admissionReplay{rate: rate, burst: burst}
	for _, a := range ofOrganisation {
		level := l.level(a.at) + float64(a.cost)
		l.times = append(l.times, a.at)
		l.levels = append(l.levels, level)
		l.maxExcess = max(l.maxExcess, ident.Tokens(level)-burst)
	}
	return l
}

// level returns the tokens in use at a time.
func (l *admissionReplay) level(at time.Time) float64 {
	i := sort.Search(len(l.times), func(i int) bool { return l.times[i].After(at) })
	if i == 0 {
		return 0
	}
	return max(0, l.levels[i-1]-at.Sub(l.times[i-1]).Seconds()*float64(l.rate))
}

// idealBucket is an exact token bucket for the whole fleet that admits requests in the order of arrival.
type idealBucket struct {
	rate    ident.TokensPerSecond
	burst   ident.Tokens
	maxWait time.Duration
	level   float64
	last    time.Time
}

// wait returns how long a request of the cost waits for its admission. A request that would have to wait longer than
// maxWait is not admitted and uses no tokens.
func (b *idealBucket) wait(at time.Time, cost ident.Tokens) time.Duration {
	if at.Before(b.last) {
		// Requests that already wait are admitted first.
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
	if wait > b.maxWait {
		return wait
	}
	b.level, b.last = level-missing+float64(cost), at
	return wait
}

// omniscientBound returns an upper bound for any router: the caches of all engines count as one, and prompts never queue.
func omniscientBound(p *Profile, trace []arrival) *Metrics {
	cache := &unionCache{
		capacity: p.Engines * p.CacheBlocks,
		idleTTL:  p.wallTime(time.Duration(p.EvictIdleMs) * time.Millisecond),
		lastUsed: map[ident.BlockHash]time.Duration{},
	}
	c := newCollector()
	for i := range trace {
		a := &trace[i]
		held := cache.lookupAndInsert(a.chain, a.at)
		prompt := a.cost - p.Traffic.OutputTokens
		cached := ident.Tokens(held) * p.BlockTokens
		c.sent++
		c.answered++
		if a.at < p.wallTime(warmupTime) {
			continue
		}
		c.promptTokens += prompt
		c.cachedTokens += cached
		c.recordTTFT(prefillOverhead + time.Duration(prompt-cached)*prefillPerToken)
	}
	return c.metrics()
}

// unionCache is an LRU cache of blocks with the capacity of all engines. A block expires when it is unused for idleTTL.
type unionCache struct {
	capacity int
	idleTTL  time.Duration
	lastUsed map[ident.BlockHash]time.Duration
}

// lookupAndInsert returns the number of leading blocks of the chain that are cached, then inserts all its blocks.
func (u *unionCache) lookupAndInsert(chain []ident.BlockHash, now time.Duration) int {
	held := 0
	for _, hash := range chain {
		at, ok := u.lastUsed[hash]
		if !ok || (u.idleTTL > 0 && now-at > u.idleTTL) {
			break
		}
		held++
	}
	for _, hash := range chain {
		u.lastUsed[hash] = now
	}
	for len(u.lastUsed) > u.capacity {
		u.evict()
	}
	return held
}

func (u *unionCache) evict() {
	var oldest ident.BlockHash
	var at time.Duration = -1
	for hash, used := range u.lastUsed {
		if at < 0 || used < at {
			oldest, at = hash, used
		}
	}
	delete(u.lastUsed, oldest)
}
