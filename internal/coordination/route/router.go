package route

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/guard"
	"github.com/gooseberryway/gooseberryway/internal/state/health"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/prefix"
)

// Router chooses an engine for each attempt of a request. Set the fields before the first use.
// All methods are safe for concurrent use; Pick takes no lock.
type Router struct {
	Policy Policy
	Index  *prefix.Index
	Health *health.Table
	// FairShare sets the priorities of requests; nil gives all the same.
	FairShare *FairShare
	// KVStore is the KV cache store, whose blocks the index holds like those of an engine; "" leaves it to Update.
	KVStore ident.UpstreamID
	// ImportRate is the speed of an import from the store in tokens a second, ImportLatency the time before it
	// starts. Without a rate nothing is imported.
	ImportRate    ident.TokensPerSecond
	ImportLatency time.Duration
	// Notify is told of each request sent with much to compute, so that other daemons may Hear of it at once. It must
	// not block; nil tells nobody.
	Notify func(*wire.SentNotice)
	// Random returns a number in [0, n); nil uses math/rand.
	Random func(n int) int

	// store is the KV cache store among the upstreams.
	store     atomic.Pointer[ident.UpstreamID]
	scratches sync.Pool
	part      atomic.Pointer[part]
}

// scratch is the working memory of one Pick.
type scratch struct {
	candidates []candidate
	matches    []prefix.Match
	// waiting is the mean number of requests that wait at a candidate.
	waiting float64
	// best is the fitness of the candidates, refusal the reason if there are none.
	best    fitness
	refusal Refusal
}

// Pick chooses an engine for the next attempt of a request. The error is a *NoEngineError.
func (r *Router) Pick(req *Request) (Decision, error) {
	now := time.Now()
	if !req.Deadline.IsZero() && !now.Before(req.Deadline) {
		return Decision{}, r.refuse(req, RefusedDeadline, 0)
	}
	s, _ := r.scratches.Get().(*scratch)
	if s == nil {
		s = &scratch{}
	}
	defer r.scratches.Put(s)
	for range maxStale {
		d, refusal := r.pick(s, req, now)
		if refusal == nil || refusal.Reason != RefusedStale {
			return d, asError(refusal)
		}
	}
	return Decision{}, r.refuse(req, RefusedStale, 0)
}

// asError keeps a nil *NoEngineError from becoming an error that is not nil.
func asError(refusal *NoEngineError) error {
	if refusal == nil {
		return nil
	}
	return refusal
}

func (r *Router) refuse(req *Request, reason Refusal, after time.Duration) *NoEngineError {
	return &NoEngineError{Model: req.Scope.Model, Version: req.Scope.Version, Reason: reason, RetryAfter: after}
}

func (r *Router) pick(s *scratch, req *Request, now time.Time) (Decision, *NoEngineError) {
	engines := r.Health.Engines(req.Scope.Model)
	if len(engines) == 0 {
		return Decision{}, r.refuse(req, RefusedNoEngines, RetryAfterNotLoaded)
	}
	stored := r.match(s, req)
	if reason := r.collect(s, engines, req, now); reason != "" {
		return Decision{}, r.refuse(req, reason, retryAfter(reason))
	}
	if p, ok := r.Policy.(PrefixAware); ok {
		for i := range s.candidates {
			c := &s.candidates[i]
			r.estimate(p, s, c, req, stored, c.upstream.Weight(now))
		}
	} else {
		for i := range s.candidates {
			r.estimate(PrefixAware{}, s, &s.candidates[i], req, 0, 1)
		}
	}
	i, reason := r.choose(r.Policy, s, req)
	return r.decide(&s.candidates[i], reason, req, now)
}

func retryAfter(reason Refusal) time.Duration {
	if reason == RefusedNotLoaded {
		return RetryAfterNotLoaded
	}
	return RetryAfterTried
}

// decide checks the chosen candidate once more and describes the decision.
func (r *Router) decide(c *candidate, reason Reason, req *Request, now time.Time) (Decision, *NoEngineError) {
	u := c.upstream
	if u.Incarnation() != c.incarnation {
		return Decision{}, r.refuse(req, RefusedStale, 0)
	}
	ttft := time.Duration((c.wait + c.compute) * float64(time.Second))
	if !req.Deadline.IsZero() && now.Add(ttft).After(req.Deadline) {
		return Decision{}, r.refuse(req, RefusedDeadline, now.Add(ttft).Sub(req.Deadline))
	}
	left, leaving := u.Leaving(now)
	if leaving && left >= health.LeavingGrace {
		guard.Check(false, guard.UpstreamLeft, "new work for upstream %s, leaving for %s", u.ID, left)
		return Decision{}, r.refuse(req, RefusedStale, 0)
	}
	cfg := u.Config()
	if cfg.Model != req.Scope.Model {
		guard.Check(false, guard.CacheFresh, "upstream %s does not serve model %s", u.ID, req.Scope.Model)
		return Decision{}, r.refuse(req, RefusedStale, 0)
	}
	d := Decision{
		Upstream:             u.ID,
		BaseURL:              cfg.BaseURL,
		Incarnation:          c.incarnation,
		Version:              req.Scope.Version,
		Scope:                req.Scope,
		ExpectedCachedTokens: ident.Tokens(c.blocks) * req.BlockTokens,
		ImportBlocks:         c.imports,
		EstimatedTTFT:        ttft,
		Reason:               reason,
	}
	if r.FairShare != nil {
		d.Priority = r.FairShare.Priority(req.Scope.Organisation, req.Rate, req.Burst, now)
	}
	return d, nil
}

// match looks the chain up and returns the number of leading blocks that the KV cache store holds.
func (r *Router) match(s *scratch, req *Request) (stored int) {
	s.matches = r.Index.Match(s.matches[:0], req.Chain)
	store := r.storeID()
	if store == "" {
		return 0
	}
	for i := range s.matches {
		if s.matches[i].Engine == store {
			return s.matches[i].Blocks
		}
	}
	return 0
}

func (r *Router) storeID() ident.UpstreamID {
	if r.KVStore != "" {
		return r.KVStore
	}
	if id := r.store.Load(); id != nil {
		return *id
	}
	return ""
}

func (r *Router) random(n int) int {
	if r.Random != nil {
		return r.Random(n)
	}
	return rand.IntN(n)
}

func tried(req *Request, id ident.UpstreamID) bool { return slices.Contains(req.Tried, id) }
