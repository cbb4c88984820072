package replay

import "github.com/VictoriaMetrics/metrics"

// Counters for all followers, writers and checkpointers of the process.
var (
	countReadFailures   = metrics.GetOrCreateCounter("gooseberrywayLogReadFailures")
	countAppends        = metrics.GetOrCreateCounter("gooseberrywayLogAppends")
	countAppendFailures = metrics.GetOrCreateCounter("gooseberrywayLogAppendFailures")
	countRecords        = metrics.GetOrCreateCounter("gooseberrywayRecordsApplied")
	countRelays         = metrics.GetOrCreateCounter("gooseberrywayRelays")
	countSnapshots      = metrics.GetOrCreateCounter("gooseberrywaySnapshotsLoaded")
	countCheckpoints    = metrics.GetOrCreateCounter("gooseberrywayCheckpointsWritten")
)
