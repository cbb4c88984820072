package route

import (
	"math"

	"github.com/gooseberryway/gooseberryway/internal/state/health"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// candidate is an engine that could take the request, with its estimates.
type candidate struct {
	upstream    *health.Upstream
	incarnation ident.Incarnation
	load        health.Load
	// inSubset marks an engine of this daemon's subset.
	inSubset bool
	// randomlyDrawn marks a randomly sampled candidate; other daemons need not have sampled the same one.
	randomlyDrawn bool
	// cachedBlocks is the number of leading blocks of the prompt in the engine's cache.
	cachedBlocks int
	// importBlocks is the number of leading blocks that the engine would import from the KV cache store; 0 for no import.
	importBlocks int
	// queueSeconds and prefillSeconds are the estimated queue wait and prefill time; the latter includes an import.
	queueSeconds, prefillSeconds float64
	// cost is what PrefixAware minimises, in seconds.
	cost float64
}

// estimateCost estimates the queue wait, the prefill time and the cost of a candidate. stored is the number of leading
// blocks in the KV cache store; weight is the engine's share of traffic, as during slow start, in (0, 1]. Consecutive
// failures multiply the cost.
func (r *Router) estimateCost(p PrefixAware, s *scratch, c *candidate, req *Request, stored int, weight float64) {
	rate := c.upstream.PrefillRate()
	cachedTokens := float64(c.cachedBlocks) * float64(req.BlockTokens) * c.upstream.CacheHitAccuracy()
	c.queueSeconds = max(float64(c.load.QueuedTokens)/rate, c.load.BatchWait.Seconds())
	c.prefillSeconds = math.Max(0, float64(req.PromptTokens)-cachedTokens) / rate
	if seconds, ok := r.importSeconds(c, req, stored, rate); ok && seconds < c.prefillSeconds {
		c.importBlocks, c.prefillSeconds = stored, seconds
	}
	c.cost = (c.queueSeconds + c.prefillSeconds*(1+p.recomputeWeight()+s.meanWaiting)) / weight
	c.cost *= float64(1 + c.upstream.Failures())
}

// importSeconds returns the prefill time in seconds if the stored blocks are imported from the KV cache store. It returns
// false if nothing can be imported or the candidate itself caches at least as many blocks.
func (r *Router) importSeconds(c *candidate, req *Request, stored int, rate float64) (float64, bool) {
	if stored <= c.cachedBlocks || r.ImportRate <= 0 {
		return 0, false
	}
	imported := float64(stored-c.cachedBlocks) * float64(req.BlockTokens)
	rest := math.Max(0, float64(req.PromptTokens)-float64(stored)*float64(req.BlockTokens))
	return r.ImportLatency.Seconds() + imported/float64(r.ImportRate) + rest/rate, true
}

// recomputeWeight returns the configured recompute weight or its default.
func (p PrefixAware) recomputeWeight() float64 {
	if p.RecomputeWeight == 0 {
		return DefaultRecomputeWeight
	}
	return p.RecomputeWeight
}

// tieTolerance returns the configured tie tolerance or its default.
func (p PrefixAware) tieTolerance() float64 {
	if p.TieTolerance == 0 {
		return DefaultTieTolerance
	}
	return p.TieTolerance
}

// choosePrefixAware chooses among the candidates whose cost is within the tie tolerance of the least cost, and of these
// among the ones with the longest cached prefix. See breakTie for the rest of the order.
func (r *Router) choosePrefixAware(p PrefixAware, s *scratch, req *Request) (int, Reason) {
	cheapest, mostCached := &s.candidates[0], 0
	for i := range s.candidates {
		c := &s.candidates[i]
		if c.cost < cheapest.cost {
			cheapest = c
		}
		mostCached = max(mostCached, c.cachedBlocks)
	}
	maxCost := cheapest.cost + p.tieTolerance()*float64(req.PromptTokens)/cheapest.upstream.PrefillRate()
	cachedBlocks := 0
	for i := range s.candidates {
		if c := &s.candidates[i]; c.cost <= maxCost {
			cachedBlocks = max(cachedBlocks, c.cachedBlocks)
		}
	}
	chosen := r.breakTie(s.candidates, maxCost, cachedBlocks, req)
	return chosen, reasonOf(&s.candidates[chosen], mostCached)
}

// breakTie chooses among the candidates with a cost of at most maxCost and the given number of cached blocks, by rendezvous
// hashing on the first missed block. If more than twoChoicesMaxMissedBlocks are missed, engines of this daemon's subset
// go first, because it knows the work that it sends there before any load report does. Otherwise the shorter queue of
// the two engines that rank highest wins.
func (r *Router) breakTie(candidates []candidate, maxCost float64, cachedBlocks int, req *Request) int {
	key, ok := placementKey(req.Chain, cachedBlocks)
	if !ok {
		key = ident.BlockHash(r.randomInt(math.MaxInt))
	}
	tied := func(c *candidate) bool { return c.cost <= maxCost && c.cachedBlocks == cachedBlocks }
	first, second := -1, -1
	if len(req.Chain)-cachedBlocks > twoChoicesMaxMissedBlocks {
		first, second = topTwoByHash(candidates, uint64(key), func(c *candidate) bool { return tied(c) && c.inSubset })
	}
	if first < 0 {
		first, second = topTwoByHash(candidates, uint64(key), func(c *candidate) bool { return tied(c) && !c.randomlyDrawn })
	}
	if first < 0 {
		first, second = topTwoByHash(candidates, uint64(key), tied)
	}
	if second >= 0 && len(req.Chain)-cachedBlocks <= twoChoicesMaxMissedBlocks && candidates[second].queueSeconds < candidates[first].queueSeconds {
		return second
	}
	return first
}

// topTwoByHash returns the indexes of the two accepted candidates with the highest rendezvous scores for a key; -1 for
// none.
func topTwoByHash(candidates []candidate, key uint64, accepts func(*candidate) bool) (first, second int) {
	first, second = -1, -1
	var firstScore, secondScore uint64
	for i := range candidates {
		c := &candidates[i]
		if !accepts(c) {
			continue
		}
		score := rendezvousScore(key, c.upstream.Hash)
		switch {
		case first < 0 || score > firstScore:
			second, secondScore = first, firstScore
			first, firstScore = i, score
		case second < 0 || score > secondScore:
			second, secondScore = i, score
		}
	}
	return first, second
}

// reasonOf returns the reason for choosing a candidate; mostCached is the largest number of blocks cached at any candidate.
func reasonOf(c *candidate, mostCached int) Reason {
	switch {
	case c.importBlocks > 0:
		return ReasonImported
	case mostCached == 0:
		return ReasonNoPrefix
	case c.cachedBlocks < mostCached:
		return ReasonReplicated
	default:
		return ReasonPrefixHit
	}
}

// rendezvousScore mixes the hash of a key and the hash of an engine into the engine's score for that key.
func rendezvousScore(key, engine uint64) uint64 {
	const multiplier, shift = 0x9e3779b97f4a7c15, 32
	z := (key ^ engine) * multiplier
	z = (z ^ z>>shift) * multiplier
	return z ^ z>>shift
}
