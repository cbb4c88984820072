package plain

const (
	defaultMaxBodyBytes   = 16 << 20
	defaultMaxReplayBytes = 1 << 20
	defaultMaxAttempts    = 3

	headerRequestID    = "X-Request-Id"
	headerRoute        = "X-Route-Id"
	headerOrganisation = "X-Organisation-Id"
	// headerNotRun is set to "true" by a service whose answer says that the call had no effect.
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
