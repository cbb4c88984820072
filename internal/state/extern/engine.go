package extern

import (
	"context"
	"fmt"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// EngineRequest is one completion to run on an engine.
type EngineRequest struct {
	Request ident.RequestID
	// Route is passed on so that the engine can account for it; empty if there is none.
	Route ident.RouteID
	// Organisation salts the engine's prefix cache; blocks of one organisation are never used for another.
	Organisation ident.OrganisationID
	Model        ident.ModelID
	Version      ident.VersionID
	Adapter      string
	// Prompt is the canonical prompt; its blocks are hashed by prefix.Chain.
	Prompt []byte
	// Blocks are the prompt's hashes, kept from one attempt to the next.
	Blocks    PrefixChain
	MaxTokens ident.Tokens
	// Seed makes the sampling repeatable, so that another engine of the version can resume.
	Seed uint64
	// ResumeFrom is the number of output tokens that the caller already has.
	ResumeFrom ident.Tokens
	// Sampling is a JSON object of sampling parameters that is passed on unchanged; nil if there are none.
	Sampling []byte
	// Priority orders waiting requests; lower runs first.
	Priority int
	// ImportBlocks asks the engine to import the first n blocks from the KV cache store before prefill.
	ImportBlocks int
}

// PrefixChain are the hashes of a prompt's whole blocks, for a version and a length of the blocks. The zero value says
// that the prompt has not been hashed yet.
type PrefixChain struct {
	Version     ident.VersionID
	BlockTokens ident.Tokens
	Hashes      []ident.BlockHash
}

// EngineEvent is what an engine's stream yields: an *EngineChunk or, last, an *EngineDone.
type EngineEvent interface {
	isEngineEvent()
}

// EngineChunk is one or more output tokens.
type EngineChunk struct {
	// Request is the id that the engine answers; a chunk of another request is crossed.
	Request ident.RequestID
	// Index is the position of the first token in the whole answer, from 0.
	Index ident.Tokens
	// Count is the number of tokens in Text.
	Count ident.Tokens
	Text  string
}

// EngineDone ends a complete answer.
type EngineDone struct {
	// Request is the id that the engine answers; an answer to another request is crossed.
	Request      ident.RequestID
	FinishReason string
	PromptTokens ident.Tokens
	// CachedTokens is the part of the prompt that the engine's prefix cache held.
	CachedTokens ident.Tokens
	// OutputTokens is the length of the whole answer, the tokens before ResumeFrom included.
	OutputTokens ident.Tokens
}

func (*EngineChunk) isEngineEvent() {}
func (*EngineDone) isEngineEvent()  {}

// EngineStream is a running answer.
type EngineStream interface {
	// Next blocks for the next event, which is valid until the call after. The error is an *UpstreamError;
	// after *EngineDone there is no more event.
	Next() (EngineEvent, error)
	// Close cancels the answer at the engine if it is still running and waits until its resources are free.
	Close() error
}

// Engine runs completions and takes orders.
type Engine interface {
	// Complete starts a completion. The error is an *UpstreamError whose NotRun tells whether it can have run.
	Complete(ctx context.Context, upstream ident.UpstreamID, baseURL string, req EngineRequest) (EngineStream, error)
	// Watch reads cache events and load reports of an engine from the given position until ctx ends or the
	// connection breaks.
	Watch(ctx context.Context, baseURL string, from EnginePosition, sink EngineSink) error
	// Order gives the engine an order and waits until it has been carried out or refused.
	Order(ctx context.Context, baseURL string, order EngineOrder) error
}

// EnginePosition is a place in an engine's stream of cache events.
type EnginePosition struct {
	Incarnation ident.Incarnation
	Sequence    ident.Sequence
}

// EngineSink receives what an engine publishes. Its methods must not block.
type EngineSink interface {
	CacheEvent(CacheEvent)
	LoadReport(LoadReport)
}

// CacheEvent tells which blocks an engine holds. Events come late and with gaps in their sequence.
type CacheEvent struct {
	Position EnginePosition
	// Resync means that Added is everything the engine holds and what was known before is void.
	Resync  bool
	Added   []ident.BlockHash
	Removed []ident.BlockHash
}

// LoadReport tells how busy an engine is, as of some time ago.
type LoadReport struct {
	Incarnation ident.Incarnation
	// Lag is the age of the figures when they arrived.
	Lag             time.Duration
	WaitingRequests int
	RunningRequests int
	// QueuedTokens are prompt tokens that wait for prefill.
	QueuedTokens ident.Tokens
	// Versions are the versions that the engine has loaded.
	Versions []ident.VersionID
}

// OrderKind tells what an engine shall do.
type OrderKind string

// Kinds of orders.
const (
	OrderLoadVersion   OrderKind = "loadVersion"
	OrderUnloadVersion OrderKind = "unloadVersion"
	OrderLoadAdapter   OrderKind = "loadAdapter"
	OrderSetRole       OrderKind = "setRole"
)

// EngineOrder is an order with its fencing number. Some engines refuse an order whose number is lower
// than one they have seen, others ignore the number.
type EngineOrder struct {
	Kind         OrderKind
	Model        ident.ModelID
	Version      ident.VersionID
	Adapter      string
	Role         string
	FencingToken ident.Offset
}

// UpstreamErrorKind classifies failures of upstreams.
type UpstreamErrorKind string

// Kinds of failures.
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
	// NotRun is true only if no byte of the request can have reached the upstream, or the upstream said so.
	NotRun bool
	// RetryAfter is how long the upstream asks to wait; 0 if it doesn't say.
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
