package member

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/rhash"
)

// groupCount returns into how many groups n daemons are divided. A daemon sends heartbeats to all of its own group and to
// one of each other group, which are fewest near the square root. It is a power of two, so that a daemon that joins
// or leaves seldom changes the groups of the others.
func groupCount(n int) int {
	count := 1
	for 2*count*count < n {
		count *= 2
	}
	return count
}

// target is a daemon that is due for a heartbeat.
type target struct {
	id ident.DaemonID
	// relay is true if it is to tell of the daemons of its group.
	relay bool
}

// choose returns whom to send heartbeats, out of all other witnesses: all of them in a small fleet and while this daemon
// recovers, else the own group and one daemon of each other group. Daemons need not agree on the groups.
func (f *Membership) choose(others []ident.DaemonID) []target {
	f.groups = 1
	if len(others)+1 > f.directLimit() && (!f.recovering || f.credulous) {
		f.groups = groupCount(len(others) + 1)
	}
	members := make([][]rhash.Node, f.groups)
	var chosen []target
	for _, id := range others {
		if f.inGroup(id) {
			chosen = append(chosen, target{id: id})
			continue
		}
		group := rhash.Group(id, f.groups)
		members[group] = append(members[group], rhash.Node{ID: id})
	}
	for _, nodes := range members {
		if len(nodes) > 0 {
			chosen = append(chosen, target{id: f.speaker(nodes), relay: true})
		}
	}
	return chosen
}

// inGroup reports whether the daemon is of the group of this one.
func (f *Membership) inGroup(id ident.DaemonID) bool {
	return rhash.Group(id, f.groups) == rhash.Group(f.Self.ID, f.groups)
}

// groupIDs returns those of the ids that are in the group of a daemon, in order.
func groupIDs(ids []ident.DaemonID, of ident.DaemonID, groups int) []ident.DaemonID {
	group := rhash.Group(of, groups)
	var in []ident.DaemonID
	for _, id := range ids {
		if rhash.Group(id, groups) == group {
			in = append(in, id)
		}
	}
	return in
}

func (f *Membership) directLimit() int {
	if f.FullMeshLimit == 0 {
		return defaultDirectLimit
	}
	return f.FullMeshLimit
}

// speaker returns the daemon of another group to ask: the first live one by rendezvous hashing that has not missed a
// heartbeat of this daemon lately, else the one whose miss is the oldest.
func (f *Membership) speaker(nodes []rhash.Node) ident.DaemonID {
	var oldest ident.DaemonID
	var at time.Time
	for _, id := range rhash.Pick(string(f.Self.ID), nodes, len(nodes)) {
		p := f.peer(id)
		missed := p.missedAt
		if p.misses < liveMisses && (missed.IsZero() || time.Since(missed) >= avoidAfterMiss) {
			return id
		}
		if oldest == "" || missed.Before(at) {
			oldest, at = id, missed
		}
	}
	return oldest
}

// countSilence counts the heartbeats for which a daemon that is only heard of through others has been silent.
func (p *peer) countSilence(now time.Time) {
	last := p.heard
	if last.IsZero() {
		last = p.created
	}
	p.misses = max(0, int(now.Sub(last)/HeartbeatInterval)-relayedSlack)
}
