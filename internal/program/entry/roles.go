package entry

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/coordination/fleet"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
)

const (
	// operatorReaders is the number of active daemons that read what operators publish, upstreamReaders that of those who
	// read the list of upstreams: calls of the store are limited and paid for. One may be cut off and one stopped.
	operatorReaders = 4
	upstreamReaders = 3
	// maxCacheReaders is the number of daemons that follow the KV cache stores, each of which holds 12 reads at once.
	maxCacheReaders = 10
	// readerAge is how long ago the store must have answered a daemon that others rely on: a read without news takes 2.5 s.
	readerAge = 3500 * time.Millisecond
	// settleFor is how long after its start a daemon gets to know the others, before it acts as if it were among the first.
	settleFor = time.Second
)

// reads reports whether this daemon is among those that read a topic of the store all the time: the first active ones
// whom the store answers, and all others when it answers none of these.
func (d *Daemon) reads(topic extern.Topic) bool {
	v := d.fleet.Load()
	if v == nil || !d.settled() {
		return false
	}
	readers := upstreamReaders
	if topic == extern.TopicOperators {
		readers = operatorReaders
	}
	if !v.isActive() {
		readers = 1
	}
	for _, p := range v.active[:v.rank] {
		if p.StoreAge < readerAge {
			readers--
		}
	}
	return readers > 0
}

// hears returns the longest time between two beats from a daemon that reads the store.
func (d *Daemon) hears() time.Duration {
	if !d.isActive() {
		return restHears
	}
	return 2 * fleet.HeartbeatPeriod(d.meshSize())
}

// restHears is the same for a daemon without traffic, which may know less.
const restHears = time.Minute

// settled reports whether the daemon has had time to hear of the others.
func (d *Daemon) settled() bool { return time.Since(d.startedAt) > settleFor }

// followsCache reports whether this daemon reads the events of the KV cache store.
func (d *Daemon) followsCache() bool {
	v := d.fleet.Load()
	return v != nil && d.settled() && v.rank < min(len(v.active), maxCacheReaders)
}

// rank returns this daemon's place among the active ones, 0 for the first.
func (d *Daemon) rank() int {
	if v := d.fleet.Load(); v != nil {
		return v.rank
	}
	return 0
}

// isActive reports whether callers are sent to this daemon.
func (d *Daemon) isActive() bool {
	v := d.fleet.Load()
	return v != nil && v.isActive()
}
