package client

import "time"

const (
	// maxEventBytes bounds a line of a server-sent event, and the body of a response that is not streamed.
	maxEventBytes = 4 << 20
	// dialTimeout is the timeout for establishing a connection.
	dialTimeout = time.Second
	// idleTimeout is the time after which idle connections are closed.
	idleTimeout = time.Minute
	// maxIdleConnsPerDaemon bounds the idle connections that are kept open to one daemon.
	maxIdleConnsPerDaemon = 512
	// locateTimeout is the timeout of one locate request.
	locateTimeout = 2 * time.Second
	// minRetryPause is the shortest delay before a retry.
	minRetryPause = 5 * time.Millisecond
)
