package local

import "time"

const (
	// loopback lets the system pick a port.
	loopback = "127.0.0.1:0"
	// sharedTokenBytes is the length of the random token between daemons.
	sharedTokenBytes = 16
	// callTimeout bounds a call to a service of the platform.
	callTimeoutMs = 2000
	// appendsPerSecond is the limit of the log service.
	appendsPerSecond = 300
	// readyPoll is how often a start looks whether the daemons serve.
	readyPoll = 10 * time.Millisecond
	// readyTimeout bounds the start.
	readyTimeout = 30 * time.Second
	// defaultBlockTokens is the size of a cache block.
	defaultBlockTokens = 1000
)
