package load

import "time"

const (
	modelID        = "girth"
	initialVersion = "girth-1"

	// nextVersion is the version that a move shifts the traffic to.
	nextVersion = "girth-2"
	// team owns all organisations and routes; auditRoute is its second route for the model.
	team       = "forest"
	auditRoute = "audit"
	auditPath  = "/audit"
	// auditShare is the share of the requests that use the second route.
	auditShare = 0.3

	codeRateLimited = "rateLimited"

	// maxHistogramMicros and histogramSignificantDigits are the range, in µs, and the precision of the TTFT histograms.
	maxHistogramMicros         = 600_000_000
	histogramSignificantDigits = 3

	// prefillOverhead and prefillPerToken are the stand-in engine's prefill time for a request and for each token that is
	// not cached, in engine time.
	prefillOverhead = 20 * time.Millisecond
	prefillPerToken = 20 * time.Microsecond

	// maxRetries is how often a caller resends a request that did not run.
	maxRetries = 4
	// maxRateLimitWait is the wait for the rate limit, retries included and in wall time, beyond which idealBucket does not
	// admit a request.
	maxRateLimitWait = 10 * time.Second
	// drainTimeout bounds the wait for the last responses, in wall time.
	drainTimeout = 60 * time.Second
	// bucketFillTime is how long the token buckets of a new fleet fill before the trace starts, in wall time.
	bucketFillTime = 10 * time.Second
	// warmupTime is the time at the start of a run for which hit rates and times to first token are not counted, in engine
	// time.
	warmupTime = 8 * time.Second
	// hitRateWindow is the time before and after the faults over which hit rates are compared, in engine time.
	hitRateWindow = 10 * time.Second
)
