package replay

import "github.com/VictoriaMetrics/metrics"

// Counters of all followers and writers of the process.
var (
	countReadFailures  = metrics.GetOrCreateCounter("gooseberrywayLogReadFailures")
	countAppends       = metrics.GetOrCreateCounter("gooseberrywayLogAppends")
	countAppendsFailed = metrics.GetOrCreateCounter("gooseberrywayLogAppendFailures")
	countRecords       = metrics.GetOrCreateCounter("gooseberrywayRecordsApplied")
	countRelays        = metrics.GetOrCreateCounter("gooseberrywayRelays")
	countSnapshots     = metrics.GetOrCreateCounter("gooseberrywaySnapshotsLoaded")
	countCheckpoints   = metrics.GetOrCreateCounter("gooseberrywayCheckpointsWritten")
)
