// Package proxy forwards HTTP requests to upstreams and their responses to callers. Method, path, query and body pass
// unchanged and are not interpreted; everything that the router needs to know is in the headers, which a Dialect
// translates. For each request the package finds the route and the organisation, applies the rate limit and load
// shedding, has an upstream chosen and retries where the route allows it.
package proxy

import (
	"net/http"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/coordination/place"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// Part is one part of a prompt. Prompts can share leading parts; an engine can reuse a cached part only together with
// all parts before it.
type Part = place.Part

// Request is what the headers of a caller's request say.
type Request struct {
	ID ident.RequestID
	// UntilDeadline is how long the caller waits for the response; 0 if the caller doesn't say.
	UntilDeadline time.Duration
	// Key is the caller's API key; empty if there is none.
	Key   string
	Model ident.ModelID
	// Input is the number of tokens of the prompt, MaxOutput the largest number of tokens of the response.
	Input, MaxOutput ident.Tokens
	// HasTokens is false if the request doesn't state token counts.
	HasTokens bool
	Parts     []Part
	// LastEventID is the last event that the caller has got of a stream that it resumes; empty for a new stream.
	LastEventID string
}

// Attempt is what is sent to an upstream in headers in addition to the caller's request.
type Attempt struct {
	Upstream *view.Upstream
	// UntilDeadline is the time that remains for the response; 0 for no limit.
	UntilDeadline time.Duration
	Organisation  ident.OrganisationID
	// WeightVersion is the version of the weights that the engine must have; 0 for upstreams that are no engines.
	WeightVersion int64
	// CacheSalt separates cache entries by weight version and cache scope.
	CacheSalt string
	// Priority orders requests at an engine; 0 is the most urgent.
	Priority int
	// FetchFrom and SaveTo are the addresses of the KV cache store or engine to fetch cached parts from and to save
	// them to; empty for none.
	FetchFrom, SaveTo string
	// LastEventID is the last event that the caller has got; empty if the stream starts at its beginning.
	LastEventID string
}

// Response is what the headers of an upstream's response say.
type Response struct {
	// ID is the request that the response belongs to; empty if the upstream doesn't say.
	ID ident.RequestID
	// NotRun is true if the upstream says that it did not run the request.
	NotRun bool
	// Signed is true if the response bears its upstream's signature, without which it is no success.
	Signed bool
	// WeightVersion is the version of the weights that produced the response; 0 if the upstream doesn't say.
	WeightVersion int64
	// Limit is what the response says about the rate at which the upstream takes requests.
	Limit view.LimitStatement
	// RejectionLimit is what the response says about how many requests the upstream can reject.
	RejectionLimit view.RejectionStatement
	// Leaving is true if the upstream says that it leaves soon.
	Leaving bool
	// RetryAfter is how long the upstream wants no requests from this daemon; 0 if it doesn't say.
	RetryAfter time.Duration
}

// Dialect translates between the platform's HTTP headers and the types of this package.
type Dialect interface {
	// ParseRequest reads the headers of a request.
	ParseRequest(r *http.Request) Request
	// UpstreamHeaders returns the headers to send to an upstream: those of the caller without its key, hop-by-hop
	// headers and headers that only the router may set, and those that describe the attempt.
	UpstreamHeaders(h http.Header, a Attempt) http.Header
	// PeerHeaders returns the headers to send to a peer that runs the request: those of the caller but for those of its connection, with
	// the time until the deadline, and the last event that the caller has got unless that is empty.
	PeerHeaders(h http.Header, untilDeadline time.Duration, lastEventID string) http.Header
	// ParseResponse reads the status and the headers of an upstream's response.
	ParseResponse(status int, h http.Header) Response
	// CallerHeaders returns the headers of an upstream's response that are forwarded to the caller.
	CallerHeaders(h http.Header) http.Header
	// SetRetryAfter sets the header that says after which time the caller may retry.
	SetRetryAfter(h http.Header, after time.Duration)
}
