// Package serve authenticates, admits and runs the requests of callers. For each request it finds the caller by its key,
// the route, and the rate limit and the version to use, and makes requests with an idempotency key run at most once.
// It contains no network code: leases, limits, claims, versions and engines are reached through interfaces.
package serve

import (
	"context"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Credentials hold the key that a request presents.
type Credentials struct {
	// HasKey reports whether the request has a bearer key.
	HasKey bool
	// KeyDigest is the digest of the bearer key.
	KeyDigest ident.Digest
}

// CompletionRequest is a caller's request for a completion.
type CompletionRequest struct {
	RequestID   ident.RequestID
	Credentials Credentials
	// PathPrefix is the part of the path before /v1, which selects the route; if empty, the team and the model do.
	PathPrefix string
	Model      ident.ModelID
	Prompt     []byte
	// MaxTokens limits the output; 0 uses the daemon's default.
	MaxTokens ident.Tokens
	// Seed is nil if the caller gave none.
	Seed     *uint64
	Sampling []byte
	// IdempotencyKey makes repeats of the request run at most once; empty if the caller gave none.
	IdempotencyKey string
	// Digest is the digest of the request's content, by which another request under the same idempotency key is noticed.
	Digest ident.Digest
}

// Lease reports whether the daemon holds its serving lease. Valid is called on every admission.
type Lease interface {
	Valid() bool
}

// Reservation is a number of tokens charged to an organisation in advance.
type Reservation interface {
	// Settle charges the tokens used and refunds the rest. Only the first call has an effect.
	Settle(used ident.Tokens)
	// Cost returns the number of tokens that were charged in advance.
	Cost() ident.Tokens
	// ChargedAt returns when they were charged.
	ChargedAt() time.Time
}

// Limiter enforces the rate limits of organisations, which hold across all daemons.
type Limiter interface {
	// Admit reserves tokens. It waits for them until the deadline of ctx at most. The error is an *Error.
	Admit(ctx context.Context, org ident.OrganisationID, cost ident.Tokens) (Reservation, error)
}

// Claim is the outcome of claiming an idempotency key.
type Claim struct {
	// Stored is the response of an earlier run; nil if this request has the claim and must run.
	Stored *StoredResponse
}

// StoredResponse is the response that repeats of a request receive.
type StoredResponse struct {
	Status      int
	ContentType string
	Body        []byte
}

// Claimer grants claims on idempotency keys, so that a request with a key runs at most once.
type Claimer interface {
	// Claim claims the key for a request, or returns the stored response of an earlier one. The error is an *Error.
	Claim(ctx context.Context, org ident.OrganisationID, key string, digest ident.Digest, request ident.RequestID) (Claim, error)
	// Finish stores the response under the claimed key; nil releases the key, because the request did not run.
	Finish(ctx context.Context, org ident.OrganisationID, key string, request ident.RequestID, response *StoredResponse)
}

// Versions chooses the model version that serves a request, according to the moves in progress.
type Versions interface {
	// Version returns false if the model has no version that may serve. The family is a hash of the start of the prompt,
	// by which requests with a shared prefix may be kept on one version.
	Version(model ident.ModelID, route ident.RouteID, org ident.OrganisationID, request ident.RequestID, family uint64) (ident.VersionID, bool)
}

// Runner runs a completion on the engines and emits its tokens in order, without gaps or repeats.
type Runner interface {
	// Run returns when the response is complete or has failed. The error is an *Error or the one returned by emit.
	Run(ctx context.Context, req extern.EngineRequest, emit func(*extern.EngineChunk) error) (*extern.EngineDone, error)
}
