package serve

import "time"

const (
	// statusOK is the HTTP status of a stored completion.
	statusOK = 200
	// defaultMaxTokens is the output limit of a request that sets none.
	defaultMaxTokens = 1024
	// retryAfterNoLease is the Retry-After of a daemon without a serving lease.
	retryAfterNoLease = time.Second
	// retryAfterNoUpstream is the Retry-After when no daemon has joined or no version may serve.
	retryAfterNoUpstream = time.Second
	// retryAfterDraining is the Retry-After of a draining daemon; it is short because another daemon can serve at once.
	retryAfterDraining = 100 * time.Millisecond
)
