package serve

import "time"

const (
	// statusOK is the HTTP status of a kept completion.
	statusOK = 200
	// defaultMaxTokens is the output limit of a request that names none.
	defaultMaxTokens = 1024
	// retryNoLease is when a caller may try a daemon again that has no serving lease.
	retryNoLease = time.Second
	// retryNoUpstream is when a caller may try again after no upstream could take the request.
	retryNoUpstream = time.Second
	// retryDraining is when a caller may try again elsewhere: at once, by another address.
	retryDraining = 100 * time.Millisecond
)
