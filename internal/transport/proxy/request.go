// Package proxy passes requests on whose bodies it doesn't read: method, path, query and body reach an upstream
// unchanged, and so does the answer on its way back.
package proxy

import (
	"net/http"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/coordination/place"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// Part is one part of a prompt. Prompts share parts; a part is cached only behind the parts before it.
type Part = place.Part

// Request is what the headers of a request say.
type Request struct {
	ID ident.RequestID
	// UntilDeadline is how long the caller waits for the answer; 0 if it doesn't say.
	UntilDeadline time.Duration
	// Key is the caller's key; empty without one.
	Key   string
	Model ident.ModelID
	// Input and Output are the tokens of the prompt and the largest number of tokens of the answer.
	Input, MaxOutput ident.Tokens
	// HasTokens is false for requests that say nothing of tokens.
	HasTokens bool
	Parts     []Part
	// LastEventID is the last event that a caller has that resumes a stream; empty for a new stream.
	LastEventID string
}

// Attempt is what is said to an upstream beside the request itself.
type Attempt struct {
	Upstream *view.Upstream
	// UntilDeadline is the time that is left for the answer; 0 for no bound.
	UntilDeadline time.Duration
	Organisation  ident.OrganisationID
	// WeightVersion is the version that the engine must have; 0 for plain services.
	WeightVersion int64
	// CacheSalt separates cached parts by version and, for isolated organisations, by organisation.
	CacheSalt string
	// Priority orders requests at an engine; 0 is the most urgent.
	Priority int
	// FetchFrom and SaveTo are addresses of a KV cache store or engine; empty for none.
	FetchFrom, SaveTo string
	// LastEventID is the last event that the caller has; empty from the start.
	LastEventID string
}

// Response is what the headers of an upstream's answer say.
type Response struct {
	// ID is the request that is answered; empty if the upstream doesn't say.
	ID ident.RequestID
	// NotRun is true if the upstream says that it did not run the request.
	NotRun bool
	// WeightVersion is the version of the model that answers; 0 if the upstream doesn't say.
	WeightVersion int64
}

// Dialect translates headers.
type Dialect interface {
	// ParseRequest reads the headers of a request.
	ParseRequest(r *http.Request) Request
	// UpstreamHeaders returns the headers for an upstream: those of the caller without its key, without headers of one
	// connection and without what only the system may set, and with those of the attempt.
	UpstreamHeaders(h http.Header, a Attempt) http.Header
	// ParseResponse reads the headers of an answer with the status.
	ParseResponse(status int, h http.Header) Response
	// CallerHeaders returns the headers of an answer for the caller.
	CallerHeaders(h http.Header) http.Header
	// SetRetryAfter sets when the caller may come back.
	SetRetryAfter(h http.Header, after time.Duration)
}
