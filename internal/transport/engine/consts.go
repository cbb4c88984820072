package engine

import "time"

const (
	defaultOrderTimeout = 2 * time.Minute
	defaultWatchTimeout = 15 * time.Second
	// maxReportLag caps the age that an engine states for a load report.
	maxReportLag      = time.Hour
	maxErrorBodyBytes = 4 << 10
	streamBufferBytes = 8 << 10
	// maxEventBytes limits one event of GET /v1/events. A resync event lists every block in the engine's cache.
	maxEventBytes = 64 << 20

	headerRoute = "X-Route-Id"
	dataPrefix  = "data:"
	doneMarker  = "[DONE]"
)
