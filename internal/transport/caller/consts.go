package caller

import "time"

// HTTP headers.
const (
	headerAuthorization  = "Authorization"
	headerIdempotencyKey = "Idempotency-Key"
	headerRequestID      = "X-Request-Id"
	headerTimeout        = "X-Request-Timeout-Ms"
	headerServedVersion  = "X-Served-Version"
	headerRetryAfter     = "Retry-After"
)

// Paths of the OpenAI-compatible interface. The paths of completions may follow the path prefix of a route.
const (
	pathChatCompletions = "/v1/chat/completions"
	pathCompletions     = "/v1/completions"
	pathModels          = "/v1/models"
	pathLocate          = "/v1/locate"
)

const (
	// maxHeaderBytes limits the size of the request headers.
	maxHeaderBytes = 64 << 10
	// maxStreams limits the requests that are open on a connection with HTTP/2, at the smallest number that RFC 9113 recommends.
	maxStreams = 100
	// maxIdempotencyKeyBytes limits the length of an idempotency key.
	maxIdempotencyKeyBytes = 255
	// maxCallerTimeout is the longest timeout that a caller can request.
	maxCallerTimeout = time.Hour
	// copyBufferBytes is the largest part of a response that is copied at once.
	copyBufferBytes = 8 << 10
	// maxStoredBodyBytes limits the response of a plain service that is stored for repeats under the same idempotency key.
	maxStoredBodyBytes = 64 << 10
	// overloadedRetryAfter is the Retry-After when the daemon has too many open requests or a route has no available
	// upstream, and the minimum when an upstream did not run the request.
	overloadedRetryAfter = 500 * time.Millisecond
	// memoryRetryAfter is the Retry-After when there is no memory for a request: clients that have made no progress for as long are closed for others.
	memoryRetryAfter = time.Second
	// requestBytes is the memory of a request in progress beside its body.
	requestBytes = 64 << 10
	// completionCopies is how often the body of a completion is held: as it came, decoded, and encoded for an engine. plainCopies is that of other bodies.
	completionCopies = 3
	plainCopies      = 1
	// requestIDRandomBytes is the length of the random part of a request id, before hex encoding.
	requestIDRandomBytes = 12
)
