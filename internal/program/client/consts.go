package client

import "time"

const (
	// maxEventBytes bounds one server-sent event.
	maxEventBytes = 4 << 20
	// dialTimeout bounds the set-up of a connection.
	dialTimeout = time.Second
	// idleTimeout closes connections that carry nothing.
	idleTimeout = time.Minute
	// maxIdleConns bounds the idle connections to one daemon.
	maxIdleConns = 512
	// locateTimeout bounds one request for addresses.
	locateTimeout = 2 * time.Second
	// minRetryPause is the shortest pause before another try.
	minRetryPause = 5 * time.Millisecond
)
