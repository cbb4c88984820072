package daemon

import "time"

const (
	bytesPerMB = 1e6
	// minRetryAfter is the minimum Retry-After of a request that has not run.
	minRetryAfter = 500 * time.Millisecond
	// watchRetryDelay is the mean delay before reconnecting to the event stream of an engine.
	watchRetryDelay = 250 * time.Millisecond
	// promptHeadBytes is the length of the start of a prompt. Moves split traffic by the hash of this start, so that prompts
	// with a common prefix mostly go to the same version.
	promptHeadBytes = 1024
	// listenerStopTimeout bounds the graceful close of the listeners.
	listenerStopTimeout = 5 * time.Second
	// leaveTimeout bounds each step of leaving that others take part in: writing a record and releasing slices.
	leaveTimeout = 5 * time.Second
	// drainPollInterval is how often a draining daemon checks whether its open requests have ended.
	drainPollInterval = 20 * time.Millisecond
	// maxDigestBytes is the maximum size of the blocks in the digest of one heartbeat.
	maxDigestBytes = 512
	// minDigestBytes is the minimum size of the blocks in a digest: enough for several blocks of one engine. A smaller digest
	// is not worth its overhead.
	minDigestBytes = 128
	// digestBytesPerSecond is the rate limit on the blocks that a daemon sends to all peers together. It is a sixth of the
	// daemon's budget for control traffic.
	digestBytesPerSecond = 512
	// maxNoticePeers is the maximum number of peers that a notice of a sent request goes to.
	maxNoticePeers = 16
	// vmListTimeout bounds the read of the VM list at startup.
	vmListTimeout = 2 * time.Second
)
