package place

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// evaluate returns the choice of a candidate with its cost: the estimated prompt tokens that the engine processes
// before the first token of the response, and penalties.
func (p *Placer) evaluate(q *query, cand *candidate) *Choice {
	totalWork := cand.totalWork(q.now, q.maxReportAge)
	u := cand.upstream
	c := &Choice{
		Upstream: u, HashRank: cand.hashRank, PrefillTokens: q.request.Input, QueuedTokens: totalWork.PrefillTokens,
		RequestsThere: totalWork.Requests, Locality: CachedNoPrefix,
	}
	if q.request.Model == "" {
		return p.evaluatePlain(c, cand.upstreamState, u, totalWork, q.now)
	}
	c.Cost = float64(totalWork.PrefillTokens) + float64(totalWork.Requests)*runningRequestCostTokens + float64(cand.hashRank)*hashRankCostTokens
	c.Cost += cand.failureRate.At(q.now) * failureCostTokens
	if u.Slots > 0 && totalWork.Requests >= u.Slots {
		c.Cost += float64(totalWork.Requests-u.Slots+1) * excessRequestCostTokens
	}
	c.WeightVersion, c.Named = cand.weightVersion, q.namedWeights
	c.ReplacedFor = sinceReplaced(&q.namedWeights, c.WeightVersion, q.now)
	if c.ReplacedFor > oldWeightsFreeTime {
		c.Cost += oldWeightsCostTokens
	}
	q.addCacheCost(c, cand)
	c.Cost *= cand.slowness(q.now)
	return c
}

// addCacheCost adds the cost of getting the shared parts of the prompt into the engine's cache.
func (q *query) addCacheCost(c *Choice, cand *candidate) {
	if q.chain == "" || q.prefixTokens == 0 {
		c.Cost += float64(c.PrefillTokens)
		return
	}
	if c.Store = q.store; c.Store != nil {
		c.Fetch = FetchFromStore
	}
	c.PrefillTokens = max(0, q.request.Input-q.prefixTokens)
	c.Cost += float64(c.PrefillTokens)
	c.Locality = CachedLocal
	version := q.byVersion[cand.weightVersion]
	for i := range version.partStates {
		part := &version.partStates[i]
		q.addPartCost(c, cand, version.preferred, part)
		c.SaveToStore = part.deepest && c.Store != nil && !part.inStore
	}
}

// partState is what is known of one shared part of a prompt under one weight version.
type partState struct {
	key     ChainKey
	tokens  ident.Tokens
	deepest bool
	// inStore says that the KV cache store holds the part.
	inStore bool
	// last says when the part was last sent to an engine that may not have had it cached. fetchSource is that engine
	// if the part can be fetched from there, and prefilling says that it is still expected to be computing the part.
	last        prefillRecord
	fetchSource *view.Upstream
	prefilling  bool
}

// partStates returns what is known of the shared parts of a prompt under a weight version.
func (p *Placer) partStates(q *query, version int64) []partState {
	if q.chain == "" {
		return nil
	}
	salt := CacheSalt(version, q.request.CacheScope)
	last := len(q.request.Parts) - 2
	out := make([]partState, 0, last+1)
	for i, promptPart := range q.request.Parts[:last+1] {
		part := partState{key: newChainKey(salt, promptPart.ID), tokens: promptPart.Tokens, deepest: i == last}
		part.inStore = q.store != nil && q.store.Holds(salt, promptPart.ID, promptPart.Tokens)
		if r, ok := p.prefills[part.key]; ok {
			part.last = r
			part.fetchSource = p.fetchSource(q, version, r)
			part.prefilling = part.fetchSource != nil && q.now.Before(r.ready)
		}
		out = append(out, part)
	}
	return out
}

// addPartCost adds the cost of getting one shared part into the engine's cache.
func (q *query) addPartCost(c *Choice, cand, preferred *candidate, part *partState) {
	if cand.sentRecently(part.key, q.now) || q.isSettled(cand) && (preferred == cand || !part.deepest) {
		return
	}
	c.MissedTokens += part.tokens
	tokens := float64(part.tokens)
	fetchSource := part.fetchSource
	if part.last.engine == cand.id {
		fetchSource = nil
	}
	switch {
	case part.inStore && (part.deepest || fetchSource == nil):
		q.addStoreCost(c, cand, part, fetchSource)
	case fetchSource != nil && part.prefilling:
		c.Locality = CachedDuplicate
		c.PrefillTokens += part.tokens
		c.Cost += tokens * duplicatePrefillFactor
	case fetchSource != nil:
		c.Fetch, c.SourceAddress, c.Locality = FetchFromEngine, fetchSource.Address, CachedOtherEngine
		c.Cost += tokens * q.fetchFactor(q.engine.LinkMbps, fetchSource.FailureDomain, cand)
	case part.deepest && preferred != cand && q.isSettled(preferred):
		c.Fetch, c.SourceAddress, c.Locality = FetchFromEngine, preferred.upstream.Address, CachedPreferred
		c.PrefillTokens += part.tokens / 2
		c.Cost += tokens * presumedFetchFactor
	case part.deepest && preferred != cand:
		c.Locality = CachedMiss
		c.PrefillTokens += part.tokens
		c.Cost += tokens * nonPreferredPrefillFactor
	default:
		c.Locality = CachedMiss
		c.PrefillTokens += part.tokens
		c.Cost += tokens
	}
}

// isSettled reports whether the prefixes in use are assumed to be in the candidate's cache.
func (q *query) isSettled(cand *candidate) bool {
	return !q.scopeIsNew && cand.cacheSettled(q.now)
}

// addStoreCost adds the cost of a part that the KV cache store holds. If a fetch from the store would exceed the limits
// of storeFetchLimitRatio and storeFetchLimitRatioIfWaiting, the part is fetched from another engine that it was sent
// to, or computed. Otherwise the queue at the store's link would outlast the burst of requests that caused it, as
// engines evict blocks in the meantime and have to fetch them again.
func (q *query) addStoreCost(c *Choice, cand *candidate, part *partState, fetchSource *view.Upstream) {
	tokens := float64(part.tokens)
	fetch := float64(part.tokens+q.fetchTokens) * q.fetchFactor(q.store.LinkMbps, q.store.FailureDomain, cand)
	waited := float64(q.fetchWait) > storeWaitRatio*tokens*float64(q.prefillPerToken)
	if fetch <= storeFetchLimitRatioIfWaiting*tokens || fetch <= storeFetchLimitRatio*tokens && !waited {
		c.Fetch, c.SourceAddress, c.Locality = FetchFromStore, "", CachedStore
		c.Cost += fetch
		return
	}
	c.Locality = CachedStoreBusy
	c.PrefillTokens += part.tokens
	c.Cost += tokens
	c.Fetch, c.SourceAddress = FetchNone, ""
	if fetchSource != nil && !part.prefilling {
		c.Fetch, c.SourceAddress = FetchFromEngine, fetchSource.Address
	}
}

// fetchFactor returns the time of fetching a token over a link as a share of the token's prefill time.
func (q *query) fetchFactor(linkMbps float64, from ident.FailureDomain, to *candidate) float64 {
	fetch := q.engine.FetchTimePerToken(min(linkMbps, q.engine.LinkMbps))
	if fetch <= 0 {
		return defaultFetchFactor
	}
	cost := float64(fetch) / float64(q.prefillPerToken)
	if from != to.upstream.FailureDomain {
		cost *= crossDomainFetchFactor
	}
	return min(max(cost, minFetchFactor), maxFetchFactor)
}

// fetchSource returns the engine that a part was last sent to, if it may still have it cached under the weight
// version; otherwise nil.
func (p *Placer) fetchSource(q *query, version int64, last prefillRecord) *view.Upstream {
	if q.now.Sub(last.sentAt) >= fetchSourceTTL {
		return nil
	}
	u, state := p.Snapshots.Upstreams().ByID[last.engine], p.upstreamStates[last.engine]
	if u == nil || state == nil || state.down || state.incarnation != last.incarnation || state.weights[q.request.Model] != version {
		return nil
	}
	return u
}

// prefillRecord says when a prefix chain was last sent to an engine that may not have had it cached.
type prefillRecord struct {
	engine      ident.UpstreamID
	incarnation ident.Incarnation
	sentAt      time.Time
	// ready is when the engine is expected to have computed the chain, after all work that is queued before it.
	ready time.Time
}

// fetchTokens returns how many tokens engines are fetching for all daemons from KV cache stores, on average per
// store.
func (p *Placer) fetchTokens(now time.Time) ident.Tokens {
	sum := p.ownFetchTokens
	for _, f := range p.peerFetchTokens {
		if now.Sub(f.receivedAt) < p.peerReportTTL() {
			sum += f.PrefillTokens
		}
	}
	return sum / ident.Tokens(max(1, p.Stores.Count()))
}

// evaluatePlain sets the cost of an upstream without a cache from its outstanding requests, failures and failure
// domain.
func (p *Placer) evaluatePlain(c *Choice, state *upstreamState, u *view.Upstream, work OutstandingWork, now time.Time) *Choice {
	c.PrefillTokens = 0
	c.Cost = float64(work.Requests)*plainRequestCost + state.failureRate.At(now)*failureCostTokens
	if u.Slots > 0 && work.Requests >= u.Slots {
		c.Cost += plainFullCost
	}
	if u.FailureDomain != p.FailureDomain {
		c.Cost += plainCrossDomainCost
	}
	return c
}

// Costs of upstreams that run no model. They are compared only among the upstreams of one service.
const (
	// plainRequestCost is added for each outstanding request.
	plainRequestCost = 1000.0
	// plainFullCost is added for an upstream without a free slot.
	plainFullCost = 20000.0
	// plainCrossDomainCost is added for an upstream in another failure domain.
	plainCrossDomainCost = 1500.0
)
