package extern

import (
	"context"
	"fmt"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// EngineRequest is a completion request to an engine.
type EngineRequest struct {
	Request ident.RequestID
	// Route is passed to the engine for accounting; it may be empty.
	Route ident.RouteID
	// Organisation is the salt of the engine's prefix cache: blocks of one organisation are never used for another.
	Organisation ident.OrganisationID
	Model        ident.ModelID
	Version      ident.VersionID
	Adapter      string
	// Prompt is the prompt in canonical form, whose blocks prefix.Chain hashes.
	Prompt []byte
	// Blocks are the hashes of the prompt's blocks, reused by further attempts.
	Blocks    PrefixChain
	MaxTokens ident.Tokens
	// Seed makes sampling deterministic, so that another engine with the same version can resume the response.
	Seed uint64
	// ResumeFrom is the number of output tokens that the caller has received already.
	ResumeFrom ident.Tokens
	// Sampling is a JSON object of sampling parameters that is forwarded unchanged; nil if there are none.
	Sampling []byte
	// Priority orders the engine's waiting requests; lower values run first.
	Priority int
	// ImportBlocks is the number of leading blocks that the engine shall import from the KV cache store before prefill.
	ImportBlocks int
}

// PrefixChain holds the hashes of a prompt's full blocks for a version and a block length. The zero value means that the
// prompt has not been hashed yet.
type PrefixChain struct {
	Version     ident.VersionID
	BlockTokens ident.Tokens
	Hashes      []ident.BlockHash
}

// EngineEvent is an event of an engine's response stream: an *EngineChunk or, as the last, an *EngineDone.
type EngineEvent interface {
	isEngineEvent()
}

// EngineChunk carries one or more output tokens.
type EngineChunk struct {
	// Request is the id of the request that the engine responds to. If it is another than the one sent, the error kind is
	// UpstreamResponseMismatch.
	Request ident.RequestID
	// Index is the position, from 0, of the first token in the complete response.
	Index ident.Tokens
	// Count is the number of tokens in Text.
	Count ident.Tokens
	Text  string
}

// EngineDone ends a complete response.
type EngineDone struct {
	// Request is the id of the request that the engine responds to, as in EngineChunk.
	Request      ident.RequestID
	FinishReason string
	PromptTokens ident.Tokens
	// CachedTokens is the number of prompt tokens that were in the engine's prefix cache.
	CachedTokens ident.Tokens
	// OutputTokens is the length of the complete response, including the tokens before ResumeFrom.
	OutputTokens ident.Tokens
}

func (*EngineChunk) isEngineEvent() {}
func (*EngineDone) isEngineEvent()  {}

// EngineStream is a response in progress.
type EngineStream interface {
	// Next blocks until the next event, which is valid until the following call. The error is an *UpstreamError. No event
	// follows an *EngineDone.
	Next() (EngineEvent, error)
	// Close cancels the request at the engine if it is still running and waits until its resources are released.
	Close() error
}

// Engine is the interface to engines: completions, published state and orders.
type Engine interface {
	// Complete starts a completion. The error is an *UpstreamError, whose NotRun excludes that the request has run.
	Complete(ctx context.Context, upstream ident.UpstreamID, baseURL string, req EngineRequest) (EngineStream, error)
	// Watch passes an engine's cache events after the given position and its load reports to the sink, until ctx ends or the
	// connection fails.
	Watch(ctx context.Context, baseURL string, from EnginePosition, sink EngineSink) error
	// Order sends an order to the engine and waits until the engine has executed or refused it.
	Order(ctx context.Context, baseURL string, order EngineOrder) error
}

// EnginePosition is a position in an engine's stream of cache events.
type EnginePosition struct {
	Incarnation ident.Incarnation
	Sequence    ident.Sequence
}

// EngineSink receives the events and reports that an engine publishes. Its methods must not block.
type EngineSink interface {
	CacheEvent(CacheEvent)
	LoadReport(LoadReport)
}

// CacheEvent reports blocks that an engine has added to or removed from its cache. Events are delayed, and some are lost,
// which shows as gaps in their sequence.
type CacheEvent struct {
	Position EnginePosition
	// Resync means that Added lists all blocks that the engine holds, and replaces what was known before.
	Resync  bool
	Added   []ident.BlockHash
	Removed []ident.BlockHash
}

// LoadReport is an engine's load as of some time ago.
type LoadReport struct {
	Incarnation ident.Incarnation
	// Lag is the age of the figures at their arrival.
	Lag             time.Duration
	WaitingRequests int
	RunningRequests int
	// QueuedTokens is the number of prompt tokens that wait for prefill.
	QueuedTokens ident.Tokens
	// Versions are the versions that the engine has loaded.
	Versions []ident.VersionID
}

// OrderKind is the operation that an order asks for.
type OrderKind string

// Order kinds.
const (
	OrderLoadVersion   OrderKind = "loadVersion"
	OrderUnloadVersion OrderKind = "unloadVersion"
	OrderLoadAdapter   OrderKind = "loadAdapter"
	OrderSetRole       OrderKind = "setRole"
)

// EngineOrder is an order with its fencing token. Some engines refuse an order whose token is lower than one that they have
// seen, others ignore the token.
type EngineOrder struct {
	Kind         OrderKind
	Model        ident.ModelID
	Version      ident.VersionID
	Adapter      string
	Role         string
	FencingToken ident.Offset
}

// UpstreamErrorKind classifies failed calls to upstreams.
type UpstreamErrorKind string

// Kinds of failed calls to upstreams.
const (
	UpstreamUnreachable      UpstreamErrorKind = "unreachable"
	UpstreamOverloaded       UpstreamErrorKind = "overloaded"
	UpstreamRejected         UpstreamErrorKind = "rejected"
	UpstreamBroken           UpstreamErrorKind = "broken"
	UpstreamResponseMismatch UpstreamErrorKind = "crossed"
	UpstreamFenced           UpstreamErrorKind = "fenced"
	UpstreamTimeout          UpstreamErrorKind = "timeout"
)

// UpstreamError is a failed call to an upstream.
type UpstreamError struct {
	Kind     UpstreamErrorKind
	Upstream ident.UpstreamID
	// NotRun is true only if no byte of the request can have reached the upstream, or if the upstream said that it has not
	// run the request.
	NotRun bool
	// RetryAfter is how long the upstream asks to wait before a retry; 0 if it doesn't ask.
	RetryAfter time.Duration
	Err        error
}

func (e *UpstreamError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("upstream %s: %s", e.Upstream, e.Kind)
	}
	return fmt.Sprintf("upstream %s: %s: %v", e.Upstream, e.Kind, e.Err)
}

func (e *UpstreamError) Unwrap() error { return e.Err }
