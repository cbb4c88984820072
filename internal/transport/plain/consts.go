package plain

import "time"

const (
	defaultMaxBodyBytes   = 16 << 20
	defaultMaxReplayBytes = 1 << 20
	defaultMaxAttempts    = 3

	// minHeaderTimeout is the shortest time for which an attempt waits for the response's header.
	minHeaderTimeout = time.Second
	// upstreamTimeoutThreshold decides whether the service failed when the request's deadline passes during an attempt: it
	// did if the attempt has waited at least this long. After a shorter wait the caller is taken to have set too short a
	// deadline.
	upstreamTimeoutThreshold = 5 * time.Second

	headerRequestID    = "X-Request-Id"
	headerRoute        = "X-Route-Id"
	headerOrganisation = "X-Organisation-Id"
	// headerNotRun is set to "true" by a service in a response to a request that had no effect.
	headerNotRun = "X-Not-Run"
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// reservedHeaders are removed from callers' requests: they carry the caller's credentials or are set by this package.
var reservedHeaders = []string{
	"Authorization", "X-Api-Key", "Api-Key", "Expect", "Content-Length",
	headerRequestID, headerRoute, headerOrganisation, headerNotRun,
}
