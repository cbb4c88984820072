package entry

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/coordination/fleet"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
)

const (
	// operatorReaders is the number of active daemons that read the operators topic of the store continuously,
	// upstreamReaders the same for the upstreams topic. There are few because store calls are limited and paid for,
	// but enough for one to be cut off from the store while another one stops.
	operatorReaders = 4
	upstreamReaders = 3
	// maxKVStoreReaders is the number of daemons that follow the KV cache stores, each of which allows 12 reads at a
	// time.
	maxKVStoreReaders = 10
	// maxReaderStoreAge is the age of the store's last response up to which other daemons rely on this one's reads: a
	// read without new records takes 2.5 s.
	maxReaderStoreAge = 3500 * time.Millisecond
	// startupTime is how long a daemon waits for heartbeats after its start before it takes a role that depends on
	// its rank: until then it may wrongly rank itself among the first.
	startupTime = time.Second
)

// readsContinuously reports whether this daemon is among those that read a topic of the store all the time. These are
// the first active daemons that the store responds to. If it responds to none of the active ones, every other daemon
// reads.
func (d *Daemon) readsContinuously(topic extern.Topic) bool {
	v := d.fleet.Load()
	if v == nil || !d.pastStartup() {
		return false
	}
	readers := upstreamReaders
	if topic == extern.TopicOperators {
		readers = operatorReaders
	}
	if !v.isActive() {
		readers = 1
	}
	for _, p := range v.active[:v.activeRank] {
		if p.StoreAge < maxReaderStoreAge {
			readers--
		}
	}
	return readers > 0
}

// maxHeartbeatPeriod returns the longest time between two heartbeats from a daemon that reads the store.
func (d *Daemon) maxHeartbeatPeriod() time.Duration {
	if !d.isActive() {
		return idleMaxHeartbeatPeriod
	}
	return 2 * fleet.HeartbeatPeriod(d.meshSize())
}

// idleMaxHeartbeatPeriod is the maxHeartbeatPeriod of a daemon without traffic, whose knowledge of the store may be
// older.
const idleMaxHeartbeatPeriod = time.Minute

// pastStartup reports whether the daemon has had time to receive heartbeats of the others.
func (d *Daemon) pastStartup() bool { return time.Since(d.startedAt) > startupTime }

// followsKVStores reports whether this daemon reads the events of the KV cache stores.
func (d *Daemon) followsKVStores() bool {
	v := d.fleet.Load()
	return v != nil && d.pastStartup() && v.activeRank < min(len(v.active), maxKVStoreReaders)
}

// activeRank returns this daemon's rank among the active ones; 0 is the first.
func (d *Daemon) activeRank() int {
	if v := d.fleet.Load(); v != nil {
		return v.activeRank
	}
	return 0
}

// isActive reports whether callers are sent to this daemon.
func (d *Daemon) isActive() bool {
	v := d.fleet.Load()
	return v != nil && v.isActive()
}
