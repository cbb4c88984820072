package route

import (
	"math"

	"github.com/gooseberryway/gooseberryway/internal/state/health"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// candidate is an engine that could take the request, with what the choice needs of it.
type candidate struct {
	upstream    *health.Upstream
	incarnation ident.Incarnation
	load        health.Load
	// own marks an engine of this daemon's part.
	own bool
	// chance marks a candidate drawn at random, on which other daemons need not agree.
	chance bool
	// blocks are the leading blocks of the prompt that the engine holds.
	blocks int
	// imports are the leading blocks that it would import.
	imports int
	// wait and compute are the estimated seconds in the queue and of prefill.
	wait, compute float64
	// cost is what the policy minimises, in seconds.
	cost float64
}

// estimate works out the times and the cost of a candidate.
func (r *Router) estimate(p PrefixAware, s *scratch, c *candidate, req *Request, stored int, weight float64) {
	rate := c.upstream.PrefillRate()
	held := float64(c.blocks) * float64(req.BlockTokens) * c.upstream.CacheHitAccuracy()
	c.wait = max(float64(c.load.Queued)/rate, c.load.BatchWait.Seconds())
	c.compute = math.Max(0, float64(req.PromptTokens)-held) / rate
	if seconds, ok := r.importTime(c, req, stored, rate); ok && seconds < c.compute {
		c.imports, c.compute = stored, seconds
	}
	c.cost = (c.wait + c.compute*(1+p.recomputeWeight()+s.waiting)) / weight
	c.cost *= float64(1 + c.upstream.Failures())
}

// importTime returns the seconds that prefill takes when the blocks that the KV cache store holds are imported.
func (r *Router) importTime(c *candidate, req *Request, stored int, rate float64) (float64, bool) {
	if stored <= c.blocks || r.ImportRate <= 0 {
		return 0, false
	}
	imported := float64(stored-c.blocks) * float64(req.BlockTokens)
	rest := math.Max(0, float64(req.PromptTokens)-float64(stored)*float64(req.BlockTokens))
	return r.ImportLatency.Seconds() + imported/float64(r.ImportRate) + rest/rate, true
}

func (p PrefixAware) recomputeWeight() float64 {
	if p.RecomputeWeight == 0 {
		return DefaultRecomputeWeight
	}
	return p.RecomputeWeight
}

func (p PrefixAware) slack() float64 {
	if p.TieTolerance == 0 {
		return DefaultTieTolerance
	}
	return p.TieTolerance
}

// bestPrefix takes the candidate of least cost. Among those that cost about as much, it takes one that holds most;
// among several of these, this daemon's own part goes first if much is missing, as what it sends there it knows before
// any report. The hash of the first missing block decides, or, when hardly a block is missing, the shorter queue of two.
func (r *Router) bestPrefix(p PrefixAware, s *scratch, req *Request) (int, Reason) {
	least, most := &s.candidates[0], 0
	for i := range s.candidates {
		c := &s.candidates[i]
		if c.cost < least.cost {
			least = c
		}
		most = max(most, c.blocks)
	}
	bound := least.cost + p.slack()*float64(req.PromptTokens)/least.upstream.PrefillRate()
	held := 0
	for i := range s.candidates {
		if c := &s.candidates[i]; c.cost <= bound {
			held = max(held, c.blocks)
		}
	}
	chosen := r.place(s.candidates, bound, held, req)
	return chosen, reasonOf(&s.candidates[chosen], most)
}

// place chooses among the candidates within the bound that hold the given number of blocks.
func (r *Router) place(candidates []candidate, bound float64, held int, req *Request) int {
	key, ok := placementKey(req.Chain, held)
	if !ok {
		key = ident.BlockHash(r.random(math.MaxInt))
	}
	suits := func(c *candidate) bool { return c.cost <= bound && c.blocks == held }
	first, second := -1, -1
	if len(req.Chain)-held > spreadBlocks {
		first, second = rank(candidates, uint64(key), func(c *candidate) bool { return suits(c) && c.own })
	}
	if first < 0 {
		first, second = rank(candidates, uint64(key), func(c *candidate) bool { return suits(c) && !c.chance })
	}
	if first < 0 {
		first, second = rank(candidates, uint64(key), suits)
	}
	if second >= 0 && len(req.Chain)-held <= spreadBlocks && candidates[second].wait < candidates[first].wait {
		return second
	}
	return first
}

// rank returns the two candidates of highest score for a key among those that suit; -1 when there is none.
func rank(candidates []candidate, key uint64, suits func(*candidate) bool) (first, second int) {
	first, second = -1, -1
	var firstScore, secondScore uint64
	for i := range candidates {
		c := &candidates[i]
		if !suits(c) {
			continue
		}
		score := rendezvous(key, c.upstream.Hash)
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

func reasonOf(c *candidate, most int) Reason {
	switch {
	case c.imports > 0:
		return ReasonImported
	case most == 0:
		return ReasonPlaced
	case c.blocks < most:
		return ReasonReplicated
	default:
		return ReasonHolder
	}
}

// rendezvous mixes two hashes into the score of an engine for a key.
func rendezvous(key, engine uint64) uint64 {
	const odd, shift = 0x9e3779b97f4a7c15, 32
	z := (key ^ engine) * odd
	z = (z ^ z>>shift) * odd
	return z ^ z>>shift
}
