// Package serve decides about each request of a caller: who sent it, whether it may run, where, and that it
// runs once. It holds no network code; what it needs from outside comes through the interfaces in its fields.
package serve

import (
	"context"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Credentials are what a request shows of its caller.
type Credentials struct {
	// HasKey is false for a request without a key.
	HasKey bool
	// KeyDigest is the digest of the bearer key.
	KeyDigest ident.Digest
}

// CompletionRequest is a completion that a caller asks for.
type CompletionRequest struct {
	RequestID   ident.RequestID
	Credentials Credentials
	// PathPrefix is the prefix before /v1 by which the caller chose a route; empty for the route of the model.
	PathPrefix string
	Model      ident.ModelID
	Prompt     []byte
	// MaxTokens limits the output; 0 leaves it to the daemon.
	MaxTokens ident.Tokens
	// Seed is nil if the caller fixed none.
	Seed     *uint64
	Sampling []byte
	// IdempotencyKey is the caller's key for repeats; empty if it gave none.
	IdempotencyKey string
	// Digest identifies the content of the request.
	Digest ident.Digest
}

// Lease tells whether the daemon may accept work. Valid is called on every admission.
type Lease interface {
	Valid() bool
}

// Reservation is the right to use tokens of an organisation.
type Reservation interface {
	// Settle charges the tokens used and gives the rest back. Only the first call counts.
	Settle(used ident.Tokens)
	// Cost returns the tokens that were charged.
	Cost() ident.Tokens
	// ChargedAt returns when they were charged.
	ChargedAt() time.Time
}

// Limiter admits requests within the rate and burst of their organisation over all daemons together.
type Limiter interface {
	// Admit reserves tokens, waiting at most until the deadline of ctx. The error is an *Error.
	Admit(ctx context.Context, org ident.OrganisationID, cost ident.Tokens) (Reservation, error)
}

// Claim is a decision on an idempotency key.
type Claim struct {
	// Stored is the answer of an earlier run; nil if this request shall run.
	Stored *StoredResponse
}

// StoredResponse is the answer that repeats of a request get.
type StoredResponse struct {
	Status      int
	ContentType string
	Body        []byte
}

// Claimer gives the right to run a request with an idempotency key at most once.
type Claimer interface {
	// Claim returns the decision on the key. The error is an *Error.
	Claim(ctx context.Context, org ident.OrganisationID, key string, digest ident.Digest, request ident.RequestID) (Claim, error)
	// Finish keeps the answer; nil says that the request did not run and the key is free again.
	Finish(ctx context.Context, org ident.OrganisationID, key string, request ident.RequestID, answer *StoredResponse)
}

// Versions chooses the version that serves a request while moves shift traffic.
type Versions interface {
	// Version returns false if the model has no version that may serve. The family is a hash of the prompt's head.
	Version(model ident.ModelID, route ident.RouteID, org ident.OrganisationID, request ident.RequestID, family uint64) (ident.VersionID, bool)
}

// Runner runs a completion on the engines and passes its tokens on, contiguous and in order.
type Runner interface {
	// Run returns when the answer is complete or has failed; the error is an *Error or that of emit.
	Run(ctx context.Context, req extern.EngineRequest, emit func(*extern.EngineChunk) error) (*extern.EngineDone, error)
}
