package caller

import "time"

// Names of headers.
const (
	headerAuthorization  = "Authorization"
	headerIdempotencyKey = "Idempotency-Key"
	headerRequestID      = "X-Request-Id"
	headerTimeout        = "X-Request-Timeout-Ms"
	headerVersion        = "X-Served-Version"
	headerRetryAfter     = "Retry-After"
)

// Paths of the OpenAI-compatible interface. Completions may stand behind the path prefix of a route.
const (
	pathChat       = "/v1/chat/completions"
	pathCompletion = "/v1/completions"
	pathModels     = "/v1/models"
	pathLocate     = "/v1/locate"
)

const (
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 64 << 10
	// maxIdempotencyKeyBytes bounds an idempotency key.
	maxIdempotencyKeyBytes = 255
	// maxCallerTimeout bounds the time that a caller can ask for.
	maxCallerTimeout = time.Hour
	// keptBodyBytes bounds an answer of a plain service that is kept for repeats.
	keptBodyBytes = 64 << 10
	// overloadedRetry is when a caller may try again a daemon with too many open requests.
	overloadedRetry = 500 * time.Millisecond
	// requestIDBytes is the length of the random part of a request id.
	requestIDBytes = 12
)
