package member

import "github.com/VictoriaMetrics/metrics"

// Counters of all Memberships of the process.
var (
	countHeartbeats       = metrics.GetOrCreateCounter("gooseberrywayHeartbeats")
	countHeartbeatsMissed = metrics.GetOrCreateCounter("gooseberrywayHeartbeatsMissed")
	countRemovals         = metrics.GetOrCreateCounter("gooseberrywayDaemonsRemoved")
	countInForce          = metrics.GetOrCreateCounter("gooseberrywayRoundsInForce")
)
