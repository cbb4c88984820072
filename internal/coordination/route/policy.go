package route

import (
	"sync/atomic"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Policy is a way of choosing an engine. The set of policies is closed.
type Policy interface {
	isPolicy()
}

// Random chooses any engine.
type Random struct{}

// RoundRobin chooses the engines in turn.
type RoundRobin struct {
	next atomic.Uint64
}

// LeastLoad chooses the engine with the shortest queue.
type LeastLoad struct{}

// PrefixAware chooses the engine with the least estimated time to the first token, counting what its cache holds.
type PrefixAware struct {
	// RecomputeWeight is how much computing a missed token weighs more than waiting for as long, because it takes
	// room in the cache and the time of later requests; the mean number of waiting requests comes on top.
	// 0 is DefaultRecomputeWeight.
	RecomputeWeight float64
	// TieTolerance is the part of the prompt's computation by which estimates may differ and count as equal;
	// 0 is DefaultSlack.
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

// PolicyError says that a policy is not known.
type PolicyError struct {
	Name PolicyName
}

func (e *PolicyError) Error() string { return "unknown policy " + string(e.Name) }

// PolicyOf returns the policy of a name; the empty name is PolicyPrefix. The error is a *PolicyError.
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

// choose returns the index of the candidate that the policy takes.
func (r *Router) choose(p Policy, s *scratch, req *Request) (int, Reason) {
	switch p := p.(type) {
	case Random:
		return r.random(len(s.candidates)), ReasonBaseline
	case *RoundRobin:
		return int((p.next.Add(1) - 1) % uint64(len(s.candidates))), ReasonBaseline
	case LeastLoad:
		return r.leastLoad(s.candidates), ReasonBaseline
	case PrefixAware:
		return r.bestPrefix(p, s, req)
	default:
		return 0, ReasonBaseline
	}
}

// leastLoad returns a candidate with the shortest queue; ties go to the one with fewer requests, then to chance.
func (r *Router) leastLoad(candidates []candidate) int {
	best, ties := 0, 1
	for i := 1; i < len(candidates); i++ {
		a, b := &candidates[i], &candidates[best]
		switch {
		case lighter(a, b):
			best, ties = i, 1
		case !lighter(b, a):
			ties++
			if r.random(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

func lighter(a, b *candidate) bool {
	if a.load.Queued != b.load.Queued {
		return a.load.Queued < b.load.Queued
	}
	return a.load.Requests < b.load.Requests
}

// placementKey is the block that decides where a prompt lives while no engine holds it: the first one missing at
// the best holder, so that all daemons agree on it and nested prefixes part where they differ.
func placementKey(chain []ident.BlockHash, held int) (ident.BlockHash, bool) {
	if held >= len(chain) {
		return 0, false
	}
	return chain[held], true
}
