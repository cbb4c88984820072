// Package route decides which engine runs a request: it weighs the engines' queues against the parts of the prompt
// that their caches hold.
package route

import (
	"fmt"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/prefix"
)

// Request is what the choice of an engine depends on.
type Request struct {
	// Scope is the scope in which Chain was hashed.
	Scope prefix.Scope
	// Chain are the hashes of the prompt's whole blocks, by prefix.Chain.
	Chain []ident.BlockHash
	// BlockTokens is the number of tokens in one block of the chain.
	BlockTokens  ident.Tokens
	PromptTokens ident.Tokens
	MaxTokens    ident.Tokens
	// Rate is the organisation's rate, by which its use is weighed; 0 is no rate.
	Rate ident.TokensPerSecond
	// Burst is the organisation's burst; a request runs later once half of it is used.
	Burst ident.Tokens
	// Tried are the upstreams of earlier attempts, which are avoided.
	Tried []ident.UpstreamID
	// Deadline is when the first token is due; zero is never.
	Deadline time.Time
}

// Decision is the engine chosen for one attempt.
type Decision struct {
	Upstream    ident.UpstreamID
	BaseURL     string
	Incarnation ident.Incarnation
	Version     ident.VersionID
	// Scope is the scope of the request that was decided on.
	Scope prefix.Scope
	// ExpectedCachedTokens is the part of the prompt that the engine is expected to hold.
	ExpectedCachedTokens ident.Tokens
	// ImportBlocks is the number of leading blocks to import from the KV cache store; 0 for none.
	ImportBlocks int
	// Priority for the engine; lower runs first.
	Priority int
	// EstimatedTTFT is the estimated time to the first token.
	EstimatedTTFT time.Duration
	Reason        Reason
}

// Reason tells why an engine was chosen.
type Reason string

// Reasons of decisions.
const (
	// ReasonBaseline: the policy does not look at prefixes.
	ReasonBaseline Reason = "baseline"
	// ReasonHolder: the engine holds the longest known part of the prompt.
	ReasonHolder Reason = "holder"
	// ReasonPlaced: no engine holds a part of the prompt; the hash of its first blocks chose.
	ReasonPlaced Reason = "placed"
	// ReasonReplicated: another engine holds more, but computing it here is quicker than waiting there.
	ReasonReplicated Reason = "replicated"
	// ReasonImported: blocks come from the KV cache store.
	ReasonImported Reason = "imported"
)

// Refusal tells why no engine can take a request.
type Refusal string

// Refusals.
const (
	// RefusedNoEngines: the model has no engine.
	RefusedNoEngines Refusal = "noEngines"
	// RefusedNotLoaded: no engine of the model has loaded the version.
	RefusedNotLoaded Refusal = "notLoaded"
	// RefusedTried: every engine that serves the version was tried.
	RefusedTried Refusal = "tried"
	// RefusedDeadline: the first token can't come before the deadline.
	RefusedDeadline Refusal = "deadline"
	// RefusedStale: the engine changed while the decision was made.
	RefusedStale Refusal = "stale"
)

// NoEngineError says that no engine can take a request now. The request was not run.
type NoEngineError struct {
	Model   ident.ModelID
	Version ident.VersionID
	Reason  Refusal
	// RetryAfter is when asking again makes sense.
	RetryAfter time.Duration
}

func (e *NoEngineError) Error() string {
	return fmt.Sprintf("no engine for version %s of model %s: %s", e.Version, e.Model, e.Reason)
}
