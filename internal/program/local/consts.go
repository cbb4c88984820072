package local

import "time"

const (
	// loopbackAnyPort is a listen address for which the operating system picks a free port.
	loopbackAnyPort = "127.0.0.1:0"
	// sharedTokenBytes is the number of random bytes in the token between daemons and in each key.
	sharedTokenBytes = 16
	// callTimeoutMs is the timeout of a call to a service of the platform.
	callTimeoutMs = 2000
	// appendsPerSecond is the rate limit of the log service.
	appendsPerSecond = 300
	// readyPollInterval is the interval at which WaitReady polls a daemon.
	readyPollInterval = 10 * time.Millisecond
	// readyTimeout bounds how long WaitReady waits for all daemons.
	readyTimeout = 30 * time.Second
	// defaultBlockTokens is the size of a cache block of engines whose settings have none.
	defaultBlockTokens = 1000
)
