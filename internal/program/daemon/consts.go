package daemon

import "time"

const (
	// retryAfter is when a caller may try again after a failure that names no time.
	retryAfter = 500 * time.Millisecond
	// watchPause is the mean pause before an engine's events are read again.
	watchPause = 250 * time.Millisecond
	// familyBytes is the length of the prompt's head by which moves keep prefix families together.
	familyBytes = 1024
	// stopTimeout bounds the end of the listeners for peers and operators.
	stopTimeout = 5 * time.Second
	// leaveTimeout bounds the writing of the record that a daemon leaves.
	leaveTimeout = 5 * time.Second
	// drainPoll is how often a leaving daemon looks whether its requests have ended.
	drainPoll = 20 * time.Millisecond
	// digestBytes bounds the blocks in the digest of one heartbeat.
	digestBytes = 512
	// leastDigestBytes is the least that is worth a digest: some blocks of an engine.
	leastDigestBytes = 128
	// digestRate bounds the bytes of blocks that a daemon sends a second to all others together: a sixth of what it may
	// send for control.
	digestRate = 512
	// noticePeers bounds the daemons that are told of a request at once.
	noticePeers = 16
	// seedTimeout bounds the reading of the VM list at the start.
	seedTimeout = 2 * time.Second
)
