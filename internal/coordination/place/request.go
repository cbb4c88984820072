package place

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/kvdir"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// Part is one part of a prompt.
type Part struct {
	ID     string
	Tokens ident.Tokens
}

// Request is a request to be placed.
type Request struct {
	Service view.ServiceID
	// Model is empty for services that run no models.
	Model ident.ModelID
	Parts []Part
	Input ident.Tokens
	// CacheScope tells whose cached parts the request may use.
	CacheScope view.CacheScope
	// Homes are the regions that may serve the request.
	Homes view.Homes
	// Tried are the upstreams that the request has already been sent to.
	Tried []ident.UpstreamID
	// Releases restricts the upstreams by the release of their software; nil for no restriction.
	Releases *ReleaseFilter
	// Priority orders the request at the engines while it can be on time; 0 is the most urgent.
	Priority int
	// Speculative says that the caller isn't told when to retry if there is no upstream.
	Speculative bool
}

// ReleaseFilter selects the upstreams of one release or, if Except is set, those of all others.
type ReleaseFilter struct {
	Release string
	Except  bool
}

// allows reports whether the filter selects the upstream. A nil filter selects all.
func (f *ReleaseFilter) allows(u *view.Upstream) bool {
	return f == nil || (u.Release == f.Release) != f.Except
}

// FetchFrom says where an engine gets shared parts of the prompt that are not in its cache.
type FetchFrom uint8

// Sources of cached parts.
const (
	FetchNone FetchFrom = iota
	FetchFromStore
	FetchFromEngine
)

// SharedPrefix returns the id of the deepest part that other requests may share; empty if there is none.
func (r *Request) SharedPrefix() string { return lastSharedPart(r) }

// Choice is the upstream chosen for a request, with instructions on cached parts and the inputs of the decision.
type Choice struct {
	Upstream *view.Upstream
	// WeightVersion is the version that the engine is known to have; 0 for services that run no models.
	WeightVersion int64
	// Named is the version that operators have named for the model, and ReplacedFor how long ago it or an earlier one replaced WeightVersion;
	// both are zero for services that run no models.
	Named       view.Weights
	ReplacedFor time.Duration
	// Fetch says where cached parts shall be fetched from; SourceAddress is set if that is another engine.
	Fetch         FetchFrom
	SourceAddress string
	// Store is the KV cache store responsible for the request's prefix chain; nil for none. SaveToStore says that the
	// engine shall save the shared parts there.
	Store       *kvdir.Store
	SaveToStore bool
	// PrefillTokens is the number of prompt tokens that the engine is expected to compute, as they are not cached.
	PrefillTokens ident.Tokens
	// QueuedTokens is the number of prompt tokens that the engine has to compute for other requests.
	QueuedTokens ident.Tokens
	// Wait is the estimated time to the first byte; zero while the speed of the service's upstreams is unknown.
	Wait WaitEstimate
	// LongestWait is how long the first token is expected to take at most; it is set for services that run models.
	LongestWait time.Duration
	// RequestsThere is the number of requests that all daemons have at the upstream, for logs.
	RequestsThere int
	// Late is set by the caller of Begin for a request that will miss its target and runs after those that can still
	// meet it.
	Late bool
	// Cost, HashRank, MissedTokens and Candidates are inputs of the decision, for logs. HashRank is the upstream's
	// place in the rendezvous hash order, MissedTokens the number of shared tokens that are not in the engine's
	// cache.
	Cost         float64
	HashRank     int
	MissedTokens ident.Tokens
	Candidates   int
	// chargedToLimit says that the request was taken out of the upstream's limit.
	chargedToLimit bool
	// chargedToCold says that the request holds a slot of its cold upstream.
	chargedToCold bool
	// reserved says that the request is counted at its upstream until Begin, as one beyond this daemon's places there if
	// risky is set.
	reserved, risky bool
	// Locality says where the shared parts of the prompt are cached.
	Locality CacheLocality
}

// CacheLocality says where the shared parts of a prompt are assumed to be cached.
type CacheLocality string

// Values of CacheLocality.
const (
	// CachedNoPrefix: the request has no shared parts.
	CachedNoPrefix CacheLocality = "none"
	// CachedLocal: the chosen engine has them cached.
	CachedLocal CacheLocality = "here"
	// CachedOtherEngine: another engine was sent them, and they are fetched from there.
	CachedOtherEngine CacheLocality = "engine"
	// CachedStore: the KV cache store has them, and they are fetched from there.
	CachedStore CacheLocality = "store"
	// CachedStoreBusy: the KV cache store has them, but too many fetches wait for its link.
	CachedStoreBusy CacheLocality = "busy"
	// CachedMiss: they are not known to be cached anywhere, and the engine computes them.
	CachedMiss CacheLocality = "nowhere"
	// CachedPreferred: they are not known to be cached anywhere, but the preferred engine has had its weights for
	// long enough to have them, and they are fetched from there.
	CachedPreferred CacheLocality = "home"
	// CachedDuplicate: another engine is computing them at the moment, and the chosen one does so as well.
	CachedDuplicate CacheLocality = "stray"
)

// BlockedReason says why no upstream can be chosen.
type BlockedReason string

// Reasons why no upstream can be chosen.
const (
	// BlockedNoUpstream: no upstream of the service takes requests.
	BlockedNoUpstream BlockedReason = "noUpstream"
	// BlockedLoading: the upstreams load weights, or have weights that were replaced too long ago.
	BlockedLoading BlockedReason = "loading"
	// BlockedUnreachable: the upstreams can't be reached.
	BlockedUnreachable BlockedReason = "unreachable"
	// BlockedLimited: the upstreams limit the rate of requests.
	BlockedLimited BlockedReason = "limited"
	// BlockedFull: the upstreams have no room for the request and fall over when they reject too many.
	BlockedFull BlockedReason = "full"
	// BlockedPaused: the upstreams have asked for a pause.
	BlockedPaused BlockedReason = "paused"
	// BlockedCold: the upstreams are cold, and bear no more requests now.
	BlockedCold BlockedReason = "cold"
	// BlockedEvacuated: operators have the upstreams' failure domains evacuated.
	BlockedEvacuated BlockedReason = "evacuated"
	// BlockedAbroad: the upstreams are in regions that are no home of the request's route or organisation.
	BlockedAbroad BlockedReason = "abroad"
)

// BlockedError says that no upstream can be chosen now.
type BlockedError struct {
	Reason BlockedReason
	// RetryAfter is the time after which an upstream may take requests again.
	RetryAfter time.Duration

	// limits is the sum of the rates that the upstreams take.
	limits ident.RequestsPerSecond
}

func (e *BlockedError) Error() string { return "no upstream takes the request: " + string(e.Reason) }

// blockedRetryAfter is the time after which callers may retry if no better estimate is known.
const blockedRetryAfter = 100 * time.Millisecond

// addReason records why an upstream is excluded. The reason that ends first is kept, one that lasts only without another.
func (e *BlockedError) addReason(reason BlockedReason, wait time.Duration) {
	if reason.lasts() && e.Reason != BlockedNoUpstream && e.Reason != BlockedAbroad {
		return
	}
	if e.Reason == BlockedNoUpstream || e.Reason.lasts() || wait < e.RetryAfter {
		e.Reason, e.RetryAfter = reason, max(wait, blockedRetryAfter/4)
	}
}

// lastSharedPart returns the id of the deepest part that other requests may share, which is the last but one: the
// last part belongs to this request only. Empty if there is none.
func lastSharedPart(r *Request) string {
	if len(r.Parts) < 2 {
		return ""
	}
	return r.Parts[len(r.Parts)-2].ID
}

// sharedChain identifies the chain of shared parts; empty if there is none. Chains keep their place when the shared pool becomes another
// one, so that they are computed again where they were.
func sharedChain(r *Request) string {
	if id := lastSharedPart(r); id != "" {
		return string(r.CacheScope.Owner) + "\x00" + id
	}
	return ""
}

// sharedTokens returns the number of tokens in the shared parts.
func sharedTokens(r *Request) ident.Tokens {
	var sum ident.Tokens
	for i := 0; i+1 < len(r.Parts); i++ {
		sum += r.Parts[i].Tokens
	}
	return sum
}

// CacheSalt returns the salt of cached parts, which keeps weight versions and cache scopes apart.
func CacheSalt(weights int64, scope view.CacheScope) string {
	return "v" + formatInt(weights) + "." + scope.Salt()
}
