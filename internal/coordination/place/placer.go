// Package place chooses the upstream that runs a request. It picks the one with the lowest estimated cost, from cache
// locality (which shared parts of the prompt are cached at the engine, at other engines or in a KV cache store), the
// outstanding work of all daemons, the age of the engine's weights, and the failures and slowness of recent requests.
// It does no I/O.
package place

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/coordination/estim"
	"github.com/gooseberryway/gooseberryway/internal/coordination/fleet"
	"github.com/gooseberryway/gooseberryway/internal/coordination/reject"
	"github.com/gooseberryway/gooseberryway/internal/coordination/uprate"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/kvdir"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// CacheStores looks up KV cache stores.
type CacheStores interface {
	// StoreFor returns the store that is responsible for a prefix chain, or nil if it is not available.
	StoreFor(chain string) *kvdir.Store
	// Count returns the number of stores.
	Count() int
}

// Placer chooses upstreams for requests and keeps account of the work there. Its exported fields are set before the
// first call; all methods may be called concurrently.
type Placer struct {
	Snapshots     *view.Snapshots
	FailureDomain ident.FailureDomain
	// Stores is nil if there are no KV cache stores.
	Stores CacheStores
	// FleetSize returns the number of daemons: heartbeats are less frequent in a large fleet, so that what peers
	// reported counts for longer. Nil for a small fleet.
	FleetSize func() int
	// OldWeightsGrace is how long after a version was replaced requests may still begin, with their first token, on engines that
	// have it; 0 for no limit.
	OldWeightsGrace time.Duration
	// UpstreamLimits holds the rates that upstreams limit themselves to; nil for none.
	UpstreamLimits *uprate.Table
	// RejectionLimits holds how many rejections upstreams bear; nil for none.
	RejectionLimits *reject.Table

	mu             sync.Mutex
	upstreamStates map[ident.UpstreamID]*upstreamState
	// firstStateAt is when the first state was created.
	firstStateAt time.Time
	// ownFetchTokens are the tokens that engines are fetching from KV cache stores for this daemon's requests.
	ownFetchTokens  ident.Tokens
	peerFetchTokens map[ident.DaemonID]peerReport
	// reportedWork holds the work at all upstreams from each peer's last report.
	reportedWork map[ident.DaemonID]map[ident.UpstreamID]OutstandingWork
	// prefills says for each chain which engine it was last sent to that may not have had it cached.
	prefills map[ChainKey]prefillRecord
	// sentChains are the chains to report to peers: those that this daemon was recently the first to send to an
	// engine.
	sentChains []SentChain
	// scopeAges tells which cache scopes have just begun.
	scopeAges scopeAges
	// serviceEstimates are what was learned from the requests to the upstreams of each service.
	serviceEstimates map[view.ServiceID]*estimates
}

// engineConfig returns the published properties of a service's engines; they are zero if the service runs no models.
func (p *Placer) engineConfig(id view.ServiceID) *view.Engine {
	if c := p.Snapshots.Config(); c != nil && c.Services[id] != nil && c.Services[id].Engine != nil {
		return c.Services[id].Engine
	}
	return &view.Engine{}
}

// upstreamState returns the state of an upstream, updated from its newest registration, or from u if it has left. The caller holds p.mu.
func (p *Placer) upstreamState(u *view.Upstream) *upstreamState {
	if listed := p.Snapshots.Upstreams().ByID[u.ID]; listed != nil {
		u = listed
	}
	now := time.Now()
	if p.upstreamStates == nil {
		p.upstreamStates = map[ident.UpstreamID]*upstreamState{}
		p.firstStateAt = now
	}
	state := p.upstreamStates[u.ID]
	if state == nil {
		state = &upstreamState{
			id:           u.ID,
			incarnation:  u.Incarnation,
			peerWork:     map[ident.DaemonID]peerReport{},
			weights:      map[ident.ModelID]int64{},
			recentChains: map[ChainKey]time.Time{},
			estimates:    p.estimates(u.Service),

			excessSlowness: estim.DecayingMean{HalfLife: slownessHalfLife, Weight: slownessWeight},
			failureRate:    estim.DecayingMean{HalfLife: failureHalfLife, Weight: failureWeight},
			firstTokenWait: estim.DecayingPeak{HalfLife: slownessHalfLife},
			unbegun:        map[*Tracker]time.Time{},
		}
		p.upstreamStates[u.ID] = state
		if now.Sub(p.firstStateAt) > startupTime {
			state.weightsChangedAt = now
		}
	}
	state.applyRegistration(u)
	return state
}

// Choose returns the upstream with the lowest cost. If there is none, the error is a *BlockedError. The request is taken
// out of the upstream's limit: a choice that is not followed by Begin has to be given back with Discard.
func (p *Placer) Choose(r *Request) (*Choice, error) {
	now := time.Now()
	q := &query{request: r, chain: sharedChain(r), prefixTokens: sharedTokens(r), now: now}
	q.namedWeights, _ = p.Snapshots.Weights(r.Model)
	q.maxReportAge = p.peerReportTTL()
	q.engine = p.engineConfig(r.Service)
	if p.Stores != nil && q.chain != "" {
		q.store = p.Stores.StoreFor(q.chain)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	blocked := &BlockedError{Reason: BlockedNoUpstream, RetryAfter: blockedRetryAfter}
	est := p.estimates(r.Service)
	q.prefillPerToken = est.prefill.PerToken()
	p.updateCacheRetention(est, q.engine, r.Service, now)
	p.scopeAges.update(p.Snapshots.Config(), now)
	q.scopeIsNew = p.scopeAges.isNew(r.CacheScope, now)
	if q.store != nil {
		q.fetchTokens, q.fetchWait = p.fetchTokens(now), time.Duration(est.fetchWait.At(now))
	}
	candidates := p.candidates(q, blocked)
	best := p.cheapest(q, candidates, blocked)
	if best == nil && !r.Speculative {
		p.spaceRetries(est, blocked, now)
	}
	if best == nil {
		return nil, blocked
	}
	best.Candidates = len(candidates)
	best.Wait = p.waitEstimate(q, best)
	if r.Model != "" {
		best.LongestWait = p.longestWait(q, best)
	}
	return best, nil
}

// cheapest returns the choice with the lowest cost among the candidates at which the request begins in time and whose limits allow it, or nil.
func (p *Placer) cheapest(q *query, candidates []candidate, blocked *BlockedError) *Choice {
	choices := make([]*Choice, 0, len(candidates))
	for i := range candidates {
		c := p.evaluate(q, &candidates[i])
		if p.mayBeginTooLate(q, c) {
			blocked.addReason(BlockedLoading, blockedRetryAfter)
			continue
		}
		choices = append(choices, c)
	}
	for len(choices) > 0 {
		best := 0
		for i, c := range choices {
			if c.Cost < choices[best].Cost {
				best = i
			}
		}
		if p.take(q, choices[best], blocked) {
			return choices[best]
		}
		// A limit was named after the candidates were collected.
		choices = slices.Delete(choices, best, best+1)
	}
	return nil
}

// take takes the request out of the limits of its upstream. It reports false if they don't allow one now.
func (p *Placer) take(q *query, c *Choice, blocked *BlockedError) bool {
	state := p.upstreamStates[c.Upstream.ID]
	admission := p.admission(state, c.Upstream, q)
	if admission.Wait > 0 {
		blocked.addReason(BlockedFull, admission.Wait)
		return false
	}
	if p.UpstreamLimits != nil {
		ok, charged := p.UpstreamLimits.Take(c.Upstream)
		if !ok {
			blocked.addReason(BlockedLimited, blockedRetryAfter)
			return false
		}
		c.chargedToLimit = charged
	}
	if admission.Limited {
		c.reserved, c.risky = true, admission.Risky
		state.reserve(c)
	}
	return true
}

// Discard gives a choice back that is not followed by Begin.
func (p *Placer) Discard(c *Choice) {
	if c.chargedToLimit {
		p.UpstreamLimits.Return(c.Upstream)
	}
	if c.reserved {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.upstreamStates[c.Upstream.ID].cancel(c)
	}
}

// limitedFor returns how long an upstream's limit keeps requests of this daemon away, and adds the limit to blocked.
func (p *Placer) limitedFor(u *view.Upstream, blocked *BlockedError) time.Duration {
	if p.UpstreamLimits == nil {
		return 0
	}
	wait, rate, limited := p.UpstreamLimits.Wait(u)
	if !limited {
		return 0
	}
	blocked.limits += rate
	return wait
}

// spaceRetries sets when the caller may retry of a request that only limits keep from running: after the callers that
// were refused before, at the rate of the limits. All daemons refuse callers, who may return to any of them.
func (p *Placer) spaceRetries(est *estimates, blocked *BlockedError, now time.Time) {
	if blocked.Reason != BlockedLimited && blocked.Reason != BlockedFull || blocked.limits <= 0 {
		return
	}
	daemons := 1
	if p.FleetSize != nil {
		daemons = max(1, p.FleetSize())
	}
	at := now.Add(blocked.RetryAfter)
	if at.Before(est.nextRetryAt) {
		at = est.nextRetryAt
	}
	if latest := now.Add(maxLimitedRetryAfter); at.After(latest) {
		at = latest
	}
	est.nextRetryAt = at.Add(time.Duration(float64(daemons) / float64(blocked.limits) * float64(time.Second)))
	blocked.RetryAfter = at.Sub(now)
}

// query is a request to be placed, with what is the same for all candidates.
type query struct {
	request      *Request
	chain        string
	prefixTokens ident.Tokens
	namedWeights view.Weights
	now          time.Time
	// scopeIsNew says that the request's cache scope has just begun, so that its prefixes aren't cached.
	scopeIsNew bool
	// maxReportAge is how long a peer's report counts.
	maxReportAge time.Duration
	// store is the KV cache store responsible for the chain; nil for none.
	store *kvdir.Store
	// fetchTokens are the tokens that engines are fetching from a store, and fetchWait is how long recent fetches
	// waited.
	fetchTokens ident.Tokens
	fetchWait   time.Duration
	// engine holds the published properties of the service's engines, prefillPerToken their prefill time per token.
	engine          *view.Engine
	prefillPerToken time.Duration
	// byVersion holds what is the same for all candidates with the same weight version.
	byVersion map[int64]*versionState
}

// versionState is what is known of a prompt's shared parts under one weight version.
type versionState struct {
	// preferred is the candidate with the version that comes first in the rendezvous hash order of the chain.
	preferred  *candidate
	partStates []partState
}

// candidate is an upstream that may run the request.
type candidate struct {
	*upstreamState
	upstream      *view.Upstream
	hashRank      int
	weightVersion int64
}

// candidates returns the upstreams that may run the request, in the rendezvous hash order of the chain. It marks
// silent upstreams as down, and adds the reasons of those that are excluded to blocked.
func (p *Placer) candidates(q *query, blocked *BlockedError) []candidate {
	q.byVersion = map[int64]*versionState{}
	upstreams := p.rankedUpstreams(q.request.Service, q.chain)
	out := make([]candidate, 0, len(upstreams))
	for hashRank, u := range upstreams {
		state := p.upstreamState(u)
		if slices.Contains(q.request.Tried, u.ID) || !q.request.Releases.allows(u) {
			continue
		}
		if !state.down && state.isSilent(q.now, q.maxReportAge) {
			state.markDown(q.now)
			klog.InfoS("Upstream silent", "upstream", u.ID, "requests", state.own.Requests, "unread", state.own.PrefillTokens,
				"silentMs", q.now.Sub(state.lastActiveAt).Milliseconds())
		}
		if reason, wait := p.exclusionReason(state, u, q.request.Model, q.namedWeights, q.now); reason != "" {
			blocked.addReason(reason, wait)
			continue
		}
		if wait := p.limitedFor(u, blocked); wait > 0 {
			blocked.addReason(BlockedLimited, wait)
			continue
		}
		if wait := p.fullFor(state, u, q, blocked); wait > 0 {
			blocked.addReason(BlockedFull, wait)
			continue
		}
		out = append(out, candidate{upstreamState: state, upstream: u, hashRank: hashRank, weightVersion: state.weights[q.request.Model]})
	}
	for i := range out {
		if c := &out[i]; q.byVersion[c.weightVersion] == nil {
			q.byVersion[c.weightVersion] = &versionState{preferred: c, partStates: p.partStates(q, c.weightVersion)}
		}
	}
	return out
}

// exclusionReason returns why an upstream takes no work, and after which time it may; an empty reason if it does.
func (p *Placer) exclusionReason(
	state *upstreamState, u *view.Upstream, model ident.ModelID, named view.Weights, now time.Time,
) (BlockedReason, time.Duration) {
	switch {
	case u.State != view.UpstreamReady, state.leaving:
		return BlockedNoUpstream, blockedRetryAfter
	case now.Before(state.pausedUntil):
		return BlockedPaused, state.pausedUntil.Sub(now)
	case now.Before(state.loadingUntil):
		return BlockedLoading, state.loadingUntil.Sub(now)
	case state.down:
		return BlockedUnreachable, blockedRetryAfter
	case model != "" && p.hasExpired(&named, state.weights[model], now):
		return BlockedLoading, blockedRetryAfter
	default:
		return "", 0
	}
}

// HasExpired reports whether no request may begin any more on a version of a model.
func (p *Placer) HasExpired(model ident.ModelID, version int64) bool {
	named, ok := p.Snapshots.Weights(model)
	return ok && p.hasExpired(&named, version, time.Now())
}

func (p *Placer) hasExpired(named *view.Weights, version int64, now time.Time) bool {
	return p.OldWeightsGrace > 0 && sinceReplaced(named, version, now) > p.OldWeightsGrace
}

// sinceReplaced returns how long ago a weight version was replaced by a newer one; 0 for the newest.
func sinceReplaced(named *view.Weights, version int64, now time.Time) time.Duration {
	at, ok := named.ReplacedAt(version)
	if !ok {
		return 0
	}
	return now.Sub(at)
}

// peerReportTTL returns how long a peer's report counts.
func (p *Placer) peerReportTTL() time.Duration {
	if p.FleetSize == nil {
		return peerReportTTL
	}
	return fleet.ScaledTimeout(peerReportTTL, peerReportTTLHeartbeats, p.FleetSize())
}

// rankedUpstreams returns the upstreams of a service, in the rendezvous hash order of the chain if there is one.
func (p *Placer) rankedUpstreams(service view.ServiceID, chain string) []*view.Upstream {
	all := p.Snapshots.Upstreams().ByService[service]
	if chain == "" {
		return all
	}
	type scoredUpstream struct {
		u     *view.Upstream
		score uint64
	}
	list := make([]scoredUpstream, len(all))
	for i, u := range all {
		list[i] = scoredUpstream{u, xxhash.Sum64String(chain + "\x00" + string(u.ID))}
	}
	slices.SortFunc(list, func(a, b scoredUpstream) int {
		if a.score != b.score {
			if a.score > b.score {
				return -1
			}
			return 1
		}
		return 0
	})
	out := make([]*view.Upstream, len(list))
	for i, s := range list {
		out[i] = s.u
	}
	return out
}
