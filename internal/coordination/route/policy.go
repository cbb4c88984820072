package route

import (
	"sync/atomic"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Policy is a way of choosing an engine. Only the types of this package implement it.
type Policy interface {
	isPolicy()
}

// Random chooses a random engine.
type Random struct{}

// RoundRobin chooses the candidate engines in turn.
type RoundRobin struct {
	next atomic.Uint64
}

// LeastLoad chooses the engine with the fewest queued tokens.
type LeastLoad struct{}

// PrefixAware chooses the engine of least cost, which is the estimated time to first token given the engine's queue and
// cached prefix, with a penalty for computing missed tokens.
type PrefixAware struct {
	// RecomputeWeight is the extra cost factor of computing missed tokens against queueing for the same time, because
	// computing them takes cache space and delays later requests. The mean number of waiting requests is added to it.
	// 0 is DefaultRecomputeWeight.
	RecomputeWeight float64
	// TieTolerance is the fraction of the prompt's full prefill time by which costs may differ and still count as equal;
	// 0 is DefaultTieTolerance.
	TieTolerance float64
}

func (Random) isPolicy()      {}
func (*RoundRobin) isPolicy() {}
func (LeastLoad) isPolicy()   {}
func (PrefixAware) isPolicy() {}

// PolicyName names a policy in settings.
type PolicyName string

// Names of the policies.
const (
	PolicyRandom     PolicyName = "random"
	PolicyRoundRobin PolicyName = "roundRobin"
	PolicyLeastLoad  PolicyName = "leastLoad"
	PolicyPrefix     PolicyName = "prefix"
)

// PolicyError is the error for an unknown policy name.
type PolicyError struct {
	Name PolicyName
}

func (e *PolicyError) Error() string { return "unknown policy " + string(e.Name) }

// PolicyOf returns the policy with the given name; the empty name is PolicyPrefix. The error is a *PolicyError.
func PolicyOf(name PolicyName) (Policy, error) {
	switch name {
	case PolicyRandom:
		return Random{}, nil
	case PolicyRoundRobin:
		return &RoundRobin{}, nil
	case PolicyLeastLoad:
		return LeastLoad{}, nil
	case PolicyPrefix, "":
		return PrefixAware{}, nil
	default:
		return nil, &PolicyError{Name: name}
	}
}

// choose returns the index of the candidate that the policy chooses, with the reason.
func (r *Router) choose(p Policy, s *scratch, req *Request) (int, Reason) {
	switch p := p.(type) {
	case Random:
		return r.randomInt(len(s.candidates)), ReasonBaseline
	case *RoundRobin:
		return int((p.next.Add(1) - 1) % uint64(len(s.candidates))), ReasonBaseline
	case LeastLoad:
		return r.leastLoad(s.candidates), ReasonBaseline
	case PrefixAware:
		return r.choosePrefixAware(p, s, req)
	default:
		return 0, ReasonBaseline
	}
}

// leastLoad returns the index of the candidate with the fewest queued tokens; ties are broken by fewer requests, then at
// random.
func (r *Router) leastLoad(candidates []candidate) int {
	best, ties := 0, 1
	for i := 1; i < len(candidates); i++ {
		a, b := &candidates[i], &candidates[best]
		switch {
		case lessLoaded(a, b):
			best, ties = i, 1
		case !lessLoaded(b, a):
			ties++
			if r.randomInt(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// lessLoaded compares queued tokens, then the number of requests.
func lessLoaded(a, b *candidate) bool {
	if a.load.QueuedTokens != b.load.QueuedTokens {
		return a.load.QueuedTokens < b.load.QueuedTokens
	}
	return a.load.Requests < b.load.Requests
}

// placementKey returns the hash of the first missed block after the given number of cached blocks, and false if none is
// missed. It is the key for rendezvous hashing, so that all daemons choose the same engine for an uncached prefix and
// prompts with a common prefix go to different engines only from where they differ.
func placementKey(chain []ident.BlockHash, cachedBlocks int) (ident.BlockHash, bool) {
	if cachedBlocks >= len(chain) {
		return 0, false
	}
	return chain[cachedBlocks], true
}
