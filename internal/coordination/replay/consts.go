package replay

import "time"

const (
	defaultPollInterval   = 400 * time.Millisecond
	defaultReadsPerSecond = 20
	// urgentPollInterval keeps a lease by reads of the tail alive, whatever the size of the fleet.
	urgentPollInterval = 800 * time.Millisecond
	maxReadBackoff     = 2 * time.Second
	readTimeout        = 10 * time.Second
	readLimit          = 1024
	// maxReadShift bounds the doublings of the time between reads, logEvery thins out the log lines of an outage.
	maxReadShift = 5
	logEvery     = 30

	// beyondTail asks for no entries, only for the bounds of a stream.
	beyondTail = 1 << 62

	relayTimeout    = 2 * time.Second
	relayLimit      = 512
	relayBytes      = 1 << 20
	relayKeep       = 1024
	snapshotTimeout = 5 * time.Second
	// snapshotHead is how long a start waits for a snapshot before it reads the log as well.
	snapshotHead = time.Second
	// snapshotHedge is how long a start waits for one daemon before it asks the next as well.
	snapshotHedge = 150 * time.Millisecond

	maxOutcomes = 4096
	maxHistory  = 256

	defaultWriteTimeout    = 10 * time.Second
	defaultAppendsAtOnce   = 8
	defaultAppendsInterval = 25 * time.Millisecond
	appendTimeout          = 3 * time.Second
	minWriteBackoff        = 50 * time.Millisecond
	maxWriteBackoff        = 2 * time.Second

	defaultCheckpointRecords  = 4096
	defaultCheckpointInterval = time.Hour
	defaultCheckpointJitter   = 30 * time.Second
	checkpointCheckInterval   = 10 * time.Second
	chunkAppendInterval       = 100 * time.Millisecond
	chunkAttempts             = 5
)
