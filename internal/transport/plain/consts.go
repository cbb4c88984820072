package plain

import "time"

const (
	defaultMaxBodyBytes   = 16 << 20
	defaultMaxReplayBytes = 1 << 20
	defaultMaxAttempts    = 3

	// minHeaderTimeout is the least time that an attempt may wait for the response header.
	minHeaderTimeout = time.Second
	// serviceFaultSilence is the silence at a call's deadline that counts as a failure of the service.
	serviceFaultSilence = 5 * time.Second

	headerRequestID    = "X-Request-Id"
	headerRoute        = "X-Route-Id"
	headerOrganisation = "X-Organisation-Id"
	// headerNotRun is set to "true" by a service whose response says that the call had no effect.
	headerNotRun = "X-Not-Run"
)

// hopByHop are the headers that belong to one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// callerOnly are the headers that only the system itself may read or set.
var callerOnly = []string{
	"Authorization", "X-Api-Key", "Api-Key", "Expect", "Content-Length",
	headerRequestID, headerRoute, headerOrganisation, headerNotRun,
}
