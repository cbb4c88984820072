package member

import "time"

const (
	// HeartbeatInterval is the time between two heartbeats to the same daemon.
	HeartbeatInterval = time.Second
	heartbeatTimeout  = 900 * time.Millisecond

	// LeaseTTL is how long after a heartbeat or a read of the tail was sent its answer supports a serving lease.
	LeaseTTL = 3 * time.Second
	// removalGrace is how long after its acknowledgement a record comes into force. It exceeds LeaseTTL by more than
	// the drift of monotonic clocks.
	removalGrace = 5 * time.Second
	// roundInterval spaces the rounds of confirmation.
	roundInterval = 500 * time.Millisecond
	maxRounds     = 32
	// lookPause is how many times as long as it took the next look for an offset to confirm waits.
	lookPause = 20

	// defaultDirectLimit is the number of daemons up to which all send heartbeats to all.
	defaultDirectLimit = 16
	// relayMaxAge is the age up to which an answer is passed on, relayAgeStep bounds by how much an answer that is packed
	// with older ones loses.
	relayMaxAge  = 2 * time.Second
	relayAgeStep = 250 * time.Millisecond
	// digestMaxAge is how long a digest is passed on: a little more than an interval, so that few are lost.
	digestMaxAge = HeartbeatInterval + HeartbeatInterval/4
	// avoidAfterMiss is how long another daemon is asked in place of one that missed a heartbeat.
	avoidAfterMiss = 30 * time.Second
	// relayedSlack is the number of intervals that news of a daemon of another group takes.
	relayedSlack = 3
	bitsPerByte  = 8

	// keptAnswers is the number of answers of one daemon that are remembered.
	keptAnswers = 4

	// liveMisses is the number of missed heartbeats after which a daemon is no longer counted as live.
	liveMisses = 3
	// removeMisses and removeListedMisses are the missed heartbeats after which a daemon is removed, the latter
	// while the VM list still names it.
	removeMisses       = 30
	removeListedMisses = 120
	// removeTurn is the number of further misses that each next daemon in the order waits before it removes another.
	removeTurn = 3

	// forgetAfter is how long a daemon that takes no part is remembered.
	forgetAfter = 10 * time.Minute

	vmListInterval = 10 * time.Second
	vmListMaxAge   = time.Minute

	maxRecordBackoff    = 5 * time.Second
	recordRetryInterval = time.Second
	recordTimeout       = 10 * time.Second
	warmPollInterval    = 20 * time.Millisecond
	recordChangePause   = 100 * time.Millisecond
)
