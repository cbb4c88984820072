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
	// FairShare sets the priorities of requests; if nil, all have priority 0.
	FairShare *FairShare
	// KVStore is the id of the KV cache store, whose blocks are in the index like those of an engine; "" uses the store of
	// the configuration given to Update.
	KVStore ident.UpstreamID
	// ImportRate is the speed of an import from the store, ImportLatency the delay before it starts. A rate of 0 disables
	// imports.
	ImportRate    ident.TokensPerSecond
	ImportLatency time.Duration
	// Notify is called for each request with at least MinNoticeTokens to compute, so that other daemons can pass the notice
	// to ApplyNotice before the engine's next load report. It must not block; nil disables notices.
	Notify func(*wire.SentNotice)
	// Random returns a random number in [0, n); nil uses math/rand/v2.
	Random func(n int) int

	// configuredStore is the KV cache store among the configured upstreams.
	configuredStore atomic.Pointer[ident.UpstreamID]
	scratchPool     sync.Pool
	subset          atomic.Pointer[engineSubset]
}

// scratch is the working memory of one Pick.
type scratch struct {
	candidates []candidate
	matches    []prefix.Match
	// meanWaiting is the mean number of waiting requests per candidate.
	meanWaiting float64
	// bestEligibility is the rank of the candidates, refusal the reason if there are none.
	bestEligibility eligibility
	refusal         Refusal
}

// Pick chooses an engine for the next attempt of a request. The error is a *NoEngineError.
func (r *Router) Pick(req *Request) (Decision, error) {
	now := time.Now()
	if !req.Deadline.IsZero() && !now.Before(req.Deadline) {
		return Decision{}, r.refuse(req, RefusedDeadline, 0)
	}
	s, _ := r.scratchPool.Get().(*scratch)
	if s == nil {
		s = &scratch{}
	}
	defer r.scratchPool.Put(s)
	for range maxPickAttempts {
		d, refusal := r.pick(s, req, now)
		if refusal == nil || refusal.Reason != RefusedStale {
			return d, asError(refusal)
		}
	}
	return Decision{}, r.refuse(req, RefusedStale, 0)
}

// asError returns a nil error for a nil *NoEngineError, which would otherwise become a non-nil interface value.
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
	stored := r.matchPrefix(s, req)
	if reason := r.collectCandidates(s, engines, req, now); reason != "" {
		return Decision{}, r.refuse(req, reason, retryAfter(reason))
	}
	if p, ok := r.Policy.(PrefixAware); ok {
		for i := range s.candidates {
			c := &s.candidates[i]
			r.estimateCost(p, s, c, req, stored, c.upstream.Weight(now))
		}
	} else {
		for i := range s.candidates {
			r.estimateCost(PrefixAware{}, s, &s.candidates[i], req, 0, 1)
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

// decide checks the chosen candidate again, since it may have changed meanwhile, and returns the decision.
func (r *Router) decide(c *candidate, reason Reason, req *Request, now time.Time) (Decision, *NoEngineError) {
	u := c.upstream
	if u.Incarnation() != c.incarnation {
		return Decision{}, r.refuse(req, RefusedStale, 0)
	}
	ttft := time.Duration((c.queueSeconds + c.prefillSeconds) * float64(time.Second))
	if !req.Deadline.IsZero() && now.Add(ttft).After(req.Deadline) {
		return Decision{}, r.refuse(req, RefusedDeadline, now.Add(ttft).Sub(req.Deadline))
	}
	left, leaving := u.LeavingFor(now)
	if leaving && left >= health.LeavingGrace {
		guard.Check(false, guard.UpstreamLeft, "new request for upstream %s, which has been leaving for %s", u.ID, left)
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
		ExpectedCachedTokens: ident.Tokens(c.cachedBlocks) * req.BlockTokens,
		ImportBlocks:         c.importBlocks,
		EstimatedTTFT:        ttft,
		Reason:               reason,
	}
	if r.FairShare != nil {
		d.Priority = r.FairShare.Priority(req.Scope.Organisation, req.Rate, req.Burst, now)
	}
	return d, nil
}

// matchPrefix looks up the engines that cache a prefix of the chain. It returns the number of leading blocks in the KV
// cache store.
func (r *Router) matchPrefix(s *scratch, req *Request) (stored int) {
	s.matches = r.Index.Match(s.matches[:0], req.Chain)
	store := r.kvStoreID()
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

func (r *Router) kvStoreID() ident.UpstreamID {
	if r.KVStore != "" {
		return r.KVStore
	}
	if id := r.configuredStore.Load(); id != nil {
		return *id
	}
	return ""
}

func (r *Router) randomInt(n int) int {
	if r.Random != nil {
		return r.Random(n)
	}
	return rand.IntN(n)
}

func wasTried(req *Request, id ident.UpstreamID) bool { return slices.Contains(req.Tried, id) }
