package replay

import "time"

const (
	defaultPollInterval   = 400 * time.Millisecond
	defaultReadsPerSecond = 20
	// urgentPollInterval is the longest interval between reads while the lease depends on them. It renews the lease in
	// time for any fleet size.
	urgentPollInterval = 800 * time.Millisecond
	maxReadBackoff     = 2 * time.Second
	readTimeout        = 10 * time.Second
	maxReadRecords     = 1024
	// maxBackoffDoublings limits how often failed reads double the time between reads.
	maxBackoffDoublings = 5
	// failuresPerLogLine limits the log lines during an outage to one for this many failed reads.
	failuresPerLogLine = 30

	// offsetBeyondTail is above every offset: a read from it returns only the bounds of a stream, without entries.
	offsetBeyondTail = 1 << 62

	relayTimeout     = 2 * time.Second
	maxRelayRecords  = 512
	maxRelayBytes    = 1 << 20
	minWindowRecords = 1024
	snapshotTimeout  = 5 * time.Second
	// maxSnapshotWait is how long a starting daemon waits for a snapshot before it also reads the log.
	maxSnapshotWait = time.Second
	// snapshotHedgeDelay is how long a starting daemon waits for one seed's snapshot before it also asks the next seed.
	snapshotHedgeDelay = 150 * time.Millisecond

	maxOutcomes      = 4096
	maxHistoryStates = 256

	defaultWriteTimeout   = 10 * time.Second
	appendBurst           = 8
	defaultAppendInterval = 25 * time.Millisecond
	appendTimeout         = 3 * time.Second
	minAppendTime         = 500 * time.Millisecond // an append that its write's deadline cuts short leaves the outcome unknown
	minWriteBackoff       = 50 * time.Millisecond
	maxWriteBackoff       = 2 * time.Second

	defaultCheckpointRecords   = 4096
	defaultCheckpointInterval  = time.Hour
	defaultMaxCheckpointJitter = 30 * time.Second
	checkpointCheckInterval    = 10 * time.Second
	chunkAppendInterval        = 100 * time.Millisecond
	chunkAttempts              = 5
)
