package member

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/rhash"
)

// groupCount returns the number of groups into which n daemons are divided. A daemon sends heartbeats to all daemons
// of its own group and to one of each other group, which takes the fewest heartbeats with about sqrt(n) groups. The
// count is a power of two, so that a daemon that joins or leaves seldom changes the groups of the others.
func groupCount(n int) int {
	count := 1
	for 2*count*count < n {
		count *= 2
	}
	return count
}

// target is a daemon to which a heartbeat is due.
type target struct {
	id ident.DaemonID
	// relay asks the daemon to relay the acknowledgements and digests of its group.
	relay bool
}

// chooseTargets returns the daemons to send heartbeats to, out of all other witnesses: all of them in a small fleet
// and while this daemon recovers, otherwise those of its own group and one of each other group. Daemons need not
// agree on the groups. It is called with mu held.
func (f *Membership) chooseTargets(others []ident.DaemonID) []target {
	f.groupCount = 1
	if len(others)+1 > f.fullMeshLimit() && (!f.recovering || f.trustRelayed) {
		f.groupCount = groupCount(len(others) + 1)
	}
	members := make([][]rhash.Node, f.groupCount)
	var chosen []target
	for _, id := range others {
		if f.inOwnGroup(id) {
			chosen = append(chosen, target{id: id})
			continue
		}
		group := rhash.Group(id, f.groupCount)
		members[group] = append(members[group], rhash.Node{ID: id})
	}
	for _, nodes := range members {
		if len(nodes) > 0 {
			chosen = append(chosen, target{id: f.relayPeer(nodes), relay: true})
		}
	}
	return chosen
}

// inOwnGroup reports whether the daemon is in the same group as this one.
func (f *Membership) inOwnGroup(id ident.DaemonID) bool {
	return rhash.Group(id, f.groupCount) == rhash.Group(f.Self.ID, f.groupCount)
}

// idsInGroup returns those of the ids that are in the same group as the daemon, in the order given.
func idsInGroup(ids []ident.DaemonID, daemon ident.DaemonID, groups int) []ident.DaemonID {
	group := rhash.Group(daemon, groups)
	var inGroup []ident.DaemonID
	for _, id := range ids {
		if rhash.Group(id, groups) == group {
			inGroup = append(inGroup, id)
		}
	}
	return inGroup
}

func (f *Membership) fullMeshLimit() int {
	if f.FullMeshLimit == 0 {
		return defaultFullMeshLimit
	}
	return f.FullMeshLimit
}

// relayPeer returns the daemon of another group to send heartbeats to: the first live one by rendezvous hashing that
// has not missed a heartbeat within avoidAfterMiss, otherwise the one whose last miss is the oldest. It is called
// with mu held.
func (f *Membership) relayPeer(nodes []rhash.Node) ident.DaemonID {
	var oldest ident.DaemonID
	var oldestMiss time.Time
	for _, id := range rhash.Pick(string(f.Self.ID), nodes, len(nodes)) {
		p := f.peer(id)
		missed := p.missedAt
		if p.misses < liveMissLimit && (missed.IsZero() || time.Since(missed) >= avoidAfterMiss) {
			return id
		}
		if oldest == "" || missed.Before(oldestMiss) {
			oldest, oldestMiss = id, missed
		}
	}
	return oldest
}

// countRelayedMisses derives the missed heartbeats of a daemon that is known through relayed acknowledgements only
// from the time since it was last seen, less the delay of relaying.
func (p *peer) countRelayedMisses(now time.Time) {
	last := p.lastSeen
	if last.IsZero() {
		last = p.createdAt
	}
	p.misses = max(0, int(now.Sub(last)/HeartbeatInterval)-relayDelayIntervals)
}
