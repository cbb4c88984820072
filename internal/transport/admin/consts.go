package admin

import "time"

// basePath is the root of the administration API.
const basePath = "/admin/v1"

// Names of headers.
const (
	headerAuthorization = "Authorization"
	headerETag          = "ETag"
	headerIfMatch       = "If-Match"
	headerIfNoneMatch   = "If-None-Match"
	headerIdempotency   = "Idempotency-Key"
	headerRetryAfter    = "Retry-After"
)

const (
	// maxBodyBytes bounds the body of a request.
	maxBodyBytes = 1 << 20
	// bodyTimeout bounds the reading of a body.
	bodyTimeout = 10 * time.Second
	// writeTimeout bounds the writing of an answer.
	writeTimeout = 10 * time.Second
	// headerTimeout bounds the reading of a header.
	headerTimeout = 5 * time.Second
	// idleTimeout closes connections that carry nothing.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 64 << 10
	// keySecretBytes is the length of the random part of a key.
	keySecretBytes = 24
	// idBytes is the length of the random part of a generated id.
	idBytes = 8
	// maxAuditEntries bounds one page of the audit trail.
	maxAuditEntries = 500
	// retryUnavailable is when an operator may try again after the log service gave no answer.
	retryUnavailable = 2 * time.Second
)
