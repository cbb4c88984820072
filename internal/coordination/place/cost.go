package place

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// cost estimates the tokens that an engine works on before the first token of the request.
func (p *Placer) cost(q *query, n *candidate) *Choice {
	load := n.load(q.now, q.digest)
	u := n.upstream
	c := &Choice{Upstream: u, HashRank: n.rank, PrefillTokens: q.work.Input, Locality: CachedNoPrefix}
	if q.work.Model == "" {
		return p.plainCost(c, n.node, u, load, q.now)
	}
	c.Cost = float64(load.PrefillTokens) + float64(load.Requests)*runningCost + float64(n.rank)*rankCost
	c.Cost += n.failures.At(q.now) * failureCost
	if u.Slots > 0 && load.Requests >= u.Slots {
		c.Cost += float64(load.Requests-u.Slots+1) * crowdedCost
	}
	c.WeightVersion = n.version
	if replacedFor(&q.named, c.WeightVersion, q.now) > olderGrace {
		c.Cost += olderCost
	}
	q.cacheCost(c, n)
	c.Cost *= n.slowness(q.now)
	return c
}

// cacheCost adds what it takes to get the shared parts into the engine's cache.
func (q *query) cacheCost(c *Choice, n *candidate) {
	if q.chain == "" || q.shared == 0 {
		c.Cost += float64(c.PrefillTokens)
		return
	}
	if c.Store = q.store; c.Store != nil {
		c.Fetch = FetchStore
	}
	c.PrefillTokens = max(0, q.work.Input-q.shared)
	c.Cost += float64(c.PrefillTokens)
	c.Locality = CachedLocal
	v := q.versions[n.version]
	for i := range v.levels {
		l := &v.levels[i]
		q.levelCost(c, n, v.home, l)
		c.SaveToStore = l.deepest && c.Store != nil && !l.stored
	}
}

// level is one shared part of a prompt under a version of the weights.
type level struct {
	key     ChainKey
	tokens  ident.Tokens
	deepest bool
	// stored says that the KV cache store holds the part.
	stored bool
	// last is where the part was last sent to an engine that may not have had it; source is that engine if the part can be
	// fetched from there, and reading says that it is being read there.
	last    reading
	source  *view.Upstream
	reading bool
}

// levels returns what is known of the shared parts under a version of the weights.
func (p *Placer) levels(q *query, version int64) []level {
	if q.chain == "" {
		return nil
	}
	salt := CacheSalt(version, q.work.CacheScope)
	last := len(q.work.Parts) - 2
	out := make([]level, 0, last+1)
	for i, part := range q.work.Parts[:last+1] {
		l := level{key: chainKey(salt, q.work.CacheScope+part.ID), tokens: part.Tokens, deepest: i == last}
		l.stored = q.store != nil && q.store.Holds(salt, part.ID, part.Tokens)
		if r, ok := p.read[l.key]; ok {
			l.last = r
			l.source = p.source(q, version, r)
			l.reading = l.source != nil && q.now.Before(r.ready)
		}
		out = append(out, l)
	}
	return out
}

// levelCost adds what it takes to get one shared part into the engine's cache.
func (q *query) levelCost(c *Choice, n, home *candidate, l *level) {
	if n.sentRecently(l.key, q.now) || n.settled(q.now) && (home == n || !l.deepest) {
		return
	}
	c.MissedTokens += l.tokens
	tokens := float64(l.tokens)
	source := l.source
	if l.last.engine == n.id {
		source = nil
	}
	switch {
	case l.stored && (l.deepest || source == nil):
		q.storeCost(c, n, l, source)
	case source != nil && l.reading:
		c.Locality = CachedDuplicate
		c.PrefillTokens += l.tokens
		c.Cost += tokens * strayCost
	case source != nil:
		c.Fetch, c.SourceAddress, c.Locality = FetchEngine, source.Address, CachedOtherEngine
		c.Cost += tokens * q.fetchCost(q.engine.LinkMbps, source.FailureDomain, n)
	case l.deepest && home != n && home.settled(q.now):
		c.Fetch, c.SourceAddress, c.Locality = FetchEngine, home.upstream.Address, CachedPreferred
		c.PrefillTokens += l.tokens / 2
		c.Cost += tokens * presumedCost
	case l.deepest && home != n:
		c.Locality = CachedMiss
		c.PrefillTokens += l.tokens
		c.Cost += tokens * awayCost
	default:
		c.Locality = CachedMiss
		c.PrefillTokens += l.tokens
		c.Cost += tokens
	}
}

// storeCost adds what it takes to get a part that the KV cache store holds. Once fetches wait for the store's link for
// longer than reading takes, another engine that was sent the part is asked for it, or it is read: a queue at the one link would
// otherwise outlast the burst that caused it, as engines lose what they keep meanwhile.
func (q *query) storeCost(c *Choice, n *candidate, l *level, source *view.Upstream) {
	tokens := float64(l.tokens)
	fetch := float64(l.tokens+q.fetching) * q.fetchCost(q.store.LinkMbps, q.store.Domain, n)
	waited := float64(q.fetchWait) > waitedLink*tokens*float64(q.perToken)
	if fetch <= busyLink*tokens || fetch <= fullLink*tokens && !waited {
		c.Fetch, c.SourceAddress, c.Locality = FetchStore, "", CachedStore
		c.Cost += fetch
		return
	}
	c.Locality = CachedStoreBusy
	c.PrefillTokens += l.tokens
	c.Cost += tokens
	c.Fetch, c.SourceAddress = FetchNone, ""
	if source != nil && !l.reading {
		c.Fetch, c.SourceAddress = FetchEngine, source.Address
	}
}

// fetchCost returns the part of a token's reading time that its fetch over a link takes.
func (q *query) fetchCost(linkMbps float64, from ident.FailureDomain, to *candidate) float64 {
	fetch := q.engine.FetchTimePerToken(min(linkMbps, q.engine.LinkMbps))
	if fetch <= 0 {
		return fetchCost
	}
	cost := float64(fetch) / float64(q.perToken)
	if from != to.upstream.FailureDomain {
		cost *= acrossDomains
	}
	return min(max(cost, fetchLeast), fetchMost)
}

// source returns the engine that a part was last sent to, if it may still have it under a version of the weights.
func (p *Placer) source(q *query, version int64, last reading) *view.Upstream {
	if q.now.Sub(last.at) >= sourceFor {
		return nil
	}
	u, n := p.Snapshots.Upstreams().ByID[last.engine], p.nodes[last.engine]
	if u == nil || n == nil || n.down || n.started != last.started || n.weights[q.work.Model] != version {
		return nil
	}
	return u
}

// reading is the last time that a chain was sent to an engine that may not have had it.
type reading struct {
	engine  ident.UpstreamID
	started ident.Incarnation
	at      time.Time
	// ready is when the engine is expected to have read it, after all that waits there.
	ready time.Time
}

// fetching returns the tokens that all daemons have asked engines to fetch from each KV cache store, on average.
func (p *Placer) fetching(now time.Time) ident.Tokens {
	sum := p.ownFetching
	for _, f := range p.peerFetching {
		if now.Sub(f.at) < p.digestFor() {
			sum += f.PrefillTokens
		}
	}
	return sum / ident.Tokens(max(1, p.Stores.Count()))
}

// plainCost weighs services without a cache by their queue and place.
func (p *Placer) plainCost(c *Choice, n *node, u *view.Upstream, load OutstandingWork, now time.Time) *Choice {
	c.PrefillTokens = 0
	c.Cost = float64(load.Requests)*plainQueueCost + n.failures.At(now)*failureCost
	if u.Slots > 0 && load.Requests >= u.Slots {
		c.Cost += plainCrowdedCost
	}
	if u.FailureDomain != p.FailureDomain {
		c.Cost += plainDomainCost
	}
	return c
}

const (
	// plainQueueCost is what a request that runs at a plain service adds.
	plainQueueCost = 1000.0
	// plainCrowdedCost is added for a plain service without a free slot.
	plainCrowdedCost = 20000.0
	// plainDomainCost is added for a plain service in another failure domain.
	plainDomainCost = 1500.0
)
