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
	// Model is empty for plain services.
	Model ident.ModelID
	Parts []Part
	Input ident.Tokens
	// CacheScope separates cached prompts of isolated organisations; empty for those who share.
	CacheScope string
	// Tried are upstreams that the request was sent to.
	Tried []ident.UpstreamID
}

// FetchFrom tells where an engine gets cached parts that it lacks.
type FetchFrom uint8

// Sources of cached parts.
const (
	FetchNone FetchFrom = iota
	FetchStore
	FetchEngine
)

// SharedPrefix returns the id of the deepest part that other requests may share; empty for none.
func (w *Request) SharedPrefix() string { return lastShared(w) }

// Choice is where a request shall run.
type Choice struct {
	Upstream *view.Upstream
	// WeightVersion is the version that the engine is known to have; 0 for plain services.
	WeightVersion int64
	// Fetch tells where cached parts shall be fetched from; Source is the address of an engine.
	Fetch         FetchFrom
	SourceAddress string
	// Store is the KV cache store of the request's chain, nil for none; Save says that the parts shall be saved to it.
	Store       *kvdir.Store
	SaveToStore bool
	// PrefillTokens are the prompt tokens that the engine is expected to read.
	PrefillTokens ident.Tokens
	// Wait is what the request is expected to wait for; zero while nothing is known of the upstreams' speed.
	Wait WaitEstimate
	// Late is set before Begin for a request that runs behind those that can be in time.
	Late bool
	// Cost, Rank, Missed and Candidates are the inputs of the decision, for logs.
	Cost         float64
	HashRank     int
	MissedTokens ident.Tokens
	Candidates   int
	// Locality tells what is known of the shared parts.
	Locality CacheLocality
}

// CacheLocality tells where the shared parts of a prompt are taken to be.
type CacheLocality string

// What is known of shared parts.
const (
	// CachedNoPrefix: the request has none.
	CachedNoPrefix CacheLocality = "none"
	// CachedLocal: the engine holds them.
	CachedLocal CacheLocality = "here"
	// CachedOtherEngine: another engine holds them.
	CachedOtherEngine CacheLocality = "engine"
	// CachedStore: the KV cache store holds them.
	CachedStore CacheLocality = "store"
	// CachedStoreBusy: the KV cache store holds them, and too much waits for its link.
	CachedStoreBusy CacheLocality = "busy"
	// CachedMiss: nobody is known to hold them, and the engine reads them.
	CachedMiss CacheLocality = "nowhere"
	// CachedPreferred: nobody is known to hold them, but their home has had time to read them.
	CachedPreferred CacheLocality = "home"
	// CachedDuplicate: another engine reads them at the moment, and this one would do so as well.
	CachedDuplicate CacheLocality = "stray"
)

// BlockedReason says why no upstream can be chosen.
type BlockedReason string

// Reasons.
const (
	// BlockedNoUpstream: the service has no upstream that takes work.
	BlockedNoUpstream BlockedReason = "noUpstream"
	// BlockedLoading: all upstreams load weights or still have replaced ones.
	BlockedLoading BlockedReason = "loading"
	// BlockedUnreachable: no upstream can be reached.
	BlockedUnreachable BlockedReason = "unreachable"
)

// BlockedError says that no upstream can be chosen now.
type BlockedError struct {
	Reason BlockedReason
	// RetryAfter is when an upstream may take work again.
	RetryAfter time.Duration
}

func (e *BlockedError) Error() string { return "no upstream takes the request: " + string(e.Reason) }

// blockedRetry is when callers may come back if nothing better is known.
const blockedRetry = 100 * time.Millisecond

// note keeps the reason that ends first.
func (e *BlockedError) note(reason BlockedReason, wait time.Duration) {
	if e.Reason == BlockedNoUpstream || wait < e.RetryAfter {
		e.Reason, e.RetryAfter = reason, max(wait, blockedRetry/4)
	}
}

// lastShared returns the deepest part that other requests may share: all but the last belong to many.
func lastShared(w *Request) string {
	if len(w.Parts) < 2 {
		return ""
	}
	return w.Parts[len(w.Parts)-2].ID
}

// sharedPart names the chain of shared parts within its scope.
func sharedPart(w *Request) string {
	if id := lastShared(w); id != "" {
		return w.CacheScope + "\x00" + id
	}
	return ""
}

func sharedTokens(w *Request) ident.Tokens {
	var sum ident.Tokens
	for i := 0; i+1 < len(w.Parts); i++ {
		sum += w.Parts[i].Tokens
	}
	return sum
}

// CacheSalt is the text under which cached parts of a version and scope are kept apart.
func CacheSalt(weights int64, scope string) string {
	return "v" + formatInt(weights) + "." + scope
}
