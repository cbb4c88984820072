package admin

import "time"

// basePath is the root of the administration API.
const basePath = "/admin/v1"

// HTTP headers.
const (
	headerAuthorization  = "Authorization"
	headerETag           = "ETag"
	headerIfMatch        = "If-Match"
	headerIfNoneMatch    = "If-None-Match"
	headerIdempotencyKey = "Idempotency-Key"
	headerRetryAfter     = "Retry-After"
)

const (
	// maxBodyBytes limits the body of a request.
	maxBodyBytes = 1 << 20
	// reportBytes is the memory of a response with the metrics.
	reportBytes = 64 << 10
	// bodyCopies is how often a body is held: as it came, and decoded.
	bodyCopies = 2
	// memoryRetryAfter is the Retry-After when there was no memory for a body.
	memoryRetryAfter = time.Second
	// readBodyTimeout limits the time to read a request body.
	readBodyTimeout = 10 * time.Second
	// writeTimeout limits the time to write a response or one page update.
	writeTimeout = 10 * time.Second
	// readHeaderTimeout limits the time to read the request headers.
	readHeaderTimeout = 5 * time.Second
	// idleTimeout is how long a keep-alive connection may stay idle before it is closed.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes limits the size of the request headers.
	maxHeaderBytes = 64 << 10
	// keyRandomBytes is the length of the random part of a key, before hex encoding.
	keyRandomBytes = 24
	// idRandomBytes is the length of the random part of a generated id, before hex encoding.
	idRandomBytes = 8
	// maxAuditEntries limits the records read for one page of the audit trail.
	maxAuditEntries = 500
	// logUnavailableRetryAfter is the Retry-After when the log service did not respond.
	logUnavailableRetryAfter = 2 * time.Second
)
