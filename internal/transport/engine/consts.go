package engine

import "time"

const (
	defaultOrderTimeout = 2 * time.Minute
	defaultWatchTimeout = 15 * time.Second
	// maxReportLag bounds the age that an engine may give its load report.
	maxReportLag      = time.Hour
	maxFailureBytes   = 4 << 10
	streamBufferBytes = 8 << 10
	// maxEventBytes bounds one event of a stream of cache events, which may name every block that an engine holds.
	maxEventBytes = 64 << 20

	headerRoute = "X-Route-Id"
	dataPrefix  = "data:"
	doneMarker  = "[DONE]"
)
