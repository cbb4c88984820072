package load

import "time"

const (
	model   = "girth"
	version = "girth-1"

	// nextVersion is the version that a move goes to.
	nextVersion = "girth-2"
	// team owns all organisations and routes; auditRoute is its second route for the model.
	team       = "forest"
	auditRoute = "audit"
	auditPath  = "/audit"
	// auditShare is the part of the requests that come by the second route.
	auditShare = 0.3

	codeRateLimited = "rateLimited"

	// longestMicros and digits are the range and precision of the histograms of times.
	longestMicros = 600_000_000
	digits        = 3

	// prefillStep and prefillPerToken are the stand-in engine's costs, in engine time.
	prefillStep     = 20 * time.Millisecond
	prefillPerToken = 20 * time.Microsecond

	// retries bounds how often a caller sends a request again that did not run.
	retries = 4
	// patience is how long a caller waits for the rate, retries included, in wall time.
	patience = 10 * time.Second
	// drainTimeout bounds the wait for the last answers.
	drainTimeout = 60 * time.Second
	// fillTime is how long a new fleet mints before the trace starts, in wall time.
	fillTime = 10 * time.Second
	// warmup is the time at the start of a run whose hit rates and times are left out, in engine time.
	warmup = 8 * time.Second
	// faultWindow is the time before and after a fault for which hit rates are compared, in engine time.
	faultWindow = 10 * time.Second
)
