// Package route decides which engine runs each attempt of a request. It estimates the cost of every candidate engine from
// its queue depth, its prefill rate and the prefix of the prompt in its cache, as learned from the engines' cache
// events and load reports and from other daemons. It also sets the request's priority from the organisation's usage.
package route

import (
	"fmt"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/prefix"
)

// Request holds the properties of a request that the choice of an engine depends on.
type Request struct {
	// Scope is the cache scope in which Chain was hashed.
	Scope prefix.Scope
	// Chain holds the hashes of the prompt's whole blocks, as returned by prefix.Chain.
	Chain []ident.BlockHash
	// BlockTokens is the number of tokens in one block of the chain.
	BlockTokens  ident.Tokens
	PromptTokens ident.Tokens
	MaxTokens    ident.Tokens
	// Rate is the organisation's rate, against which its usage is measured; 0 means no rate limit.
	Rate ident.TokensPerSecond
	// Burst is the organisation's burst; requests get a lower priority once half of it is used.
	Burst ident.Tokens
	// Tried lists the upstreams of earlier attempts, which are not chosen again.
	Tried []ident.UpstreamID
	// Deadline is when the first token is due; zero for no deadline.
	Deadline time.Time
}

// Decision is the engine chosen for one attempt.
type Decision struct {
	Upstream    ident.UpstreamID
	BaseURL     string
	Incarnation ident.Incarnation
	Version     ident.VersionID
	// Scope is the cache scope of the request.
	Scope prefix.Scope
	// ExpectedCachedTokens is the length of the prompt's prefix that is expected in the engine's cache.
	ExpectedCachedTokens ident.Tokens
	// ImportBlocks is the number of leading blocks to import from the KV cache store; 0 for none.
	ImportBlocks int
	// Priority is the request's priority at the engine; lower runs first.
	Priority int
	// EstimatedTTFT is the estimated time to first token.
	EstimatedTTFT time.Duration
	Reason        Reason
}

// Reason says why an engine was chosen.
type Reason string

// Reasons of decisions.
const (
	// ReasonBaseline means that the policy does not consider prefixes.
	ReasonBaseline Reason = "baseline"
	// ReasonPrefixHit means that the engine caches the longest known prefix of the prompt.
	ReasonPrefixHit Reason = "holder"
	// ReasonNoPrefix means that no candidate caches any prefix of the prompt.
	ReasonNoPrefix Reason = "placed"
	// ReasonReplicated means that another engine caches a longer prefix, but computing it here costs less than queueing
	// there.
	ReasonReplicated Reason = "replicated"
	// ReasonImported means that blocks are imported from the KV cache store.
	ReasonImported Reason = "imported"
)

// Refusal says why no engine can take a request.
type Refusal string

// Refusals.
const (
	// RefusedNoEngines means that the model has no engine.
	RefusedNoEngines Refusal = "noEngines"
	// RefusedNotLoaded means that no engine of the model has loaded the version.
	RefusedNotLoaded Refusal = "notLoaded"
	// RefusedTried means that every engine that serves the version was tried.
	RefusedTried Refusal = "tried"
	// RefusedDeadline means that the first token is not expected before the deadline.
	RefusedDeadline Refusal = "deadline"
	// RefusedStale means that the chosen engine changed while the decision was made.
	RefusedStale Refusal = "stale"
)

// NoEngineError is the error when no engine can take a request now. The request was not run.
type NoEngineError struct {
	Model   ident.ModelID
	Version ident.VersionID
	Reason  Refusal
	// RetryAfter is how long to wait before trying again.
	RetryAfter time.Duration
}

func (e *NoEngineError) Error() string {
	return fmt.Sprintf("no engine for version %s of model %s: %s", e.Version, e.Model, e.Reason)
}
