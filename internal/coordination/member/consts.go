package member

import "time"

const (
	// HeartbeatInterval is the time between two heartbeats to the same daemon.
	HeartbeatInterval = time.Second
	heartbeatTimeout  = 900 * time.Millisecond

	// LeaseTTL is how long a serving lease may rely on a heartbeat acknowledgement or on a read of the log's tail,
	// counted from when the heartbeat or read was sent.
	LeaseTTL = 3 * time.Second
	// inForceDelay is the time between the acknowledgement of a record by a quorum and its coming into force. It
	// exceeds LeaseTTL by more than the drift of monotonic clocks, so that no lease granted without the record is
	// still valid.
	inForceDelay = 5 * time.Second
	// confirmationInterval is the minimum time between the starts of two confirmation rounds.
	confirmationInterval = 500 * time.Millisecond
	maxOpenRounds        = 32
	// scanPauseFactor times the duration of the last scan for an offset to confirm is the pause before the next scan.
	scanPauseFactor = 20

	// defaultFullMeshLimit is the number of daemons up to which every daemon sends heartbeats to every other one.
	defaultFullMeshLimit = 16
	// relayMaxAge is the age up to which acknowledgements are relayed. Acknowledgements that are packed together
	// carry the age of the oldest; relayAgeStep bounds how much age the newer ones gain by that.
	relayMaxAge  = 2 * time.Second
	relayAgeStep = 250 * time.Millisecond
	// digestMaxAge is how long a digest is relayed: slightly longer than a heartbeat interval, so that few digests
	// expire before they have been relayed.
	digestMaxAge = HeartbeatInterval + HeartbeatInterval/4
	// avoidAfterMiss is how long a daemon of another group that missed a heartbeat is passed over in favour of
	// another daemon of that group.
	avoidAfterMiss = 30 * time.Second
	// relayDelayIntervals is the number of heartbeat intervals by which information about a daemon of another group
	// may be delayed.
	relayDelayIntervals = 3
	bitsPerByte         = 8

	// maxKeptAcks is the number of acknowledgements kept for each daemon.
	maxKeptAcks = 4

	// liveMissLimit is the number of missed heartbeats from which on a daemon is no longer live.
	liveMissLimit = 3
	// removeAfterMisses is the number of missed heartbeats after which a daemon is removed, removeListedAfterMisses
	// the number while the VM list still names it.
	removeAfterMisses       = 30
	removeListedAfterMisses = 120
	// removeTurnMisses is the number of further missed heartbeats that each next daemon in the removal order waits
	// for.
	removeTurnMisses = 3

	// inactivePeerTTL is how long a silent daemon that is no longer a witness is remembered.
	inactivePeerTTL = 10 * time.Minute

	vmListInterval = 10 * time.Second
	vmListMaxAge   = time.Minute

	maxRecordBackoff          = 5 * time.Second
	recordRetryInterval       = time.Second
	recordTimeout             = 10 * time.Second
	bootstrapPollInterval     = 20 * time.Millisecond
	recordChangeRetryInterval = 100 * time.Millisecond
)
