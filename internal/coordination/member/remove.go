package member

import (
	"slices"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/rhash"
)

// removal returns the record that removes a daemon which does not answer, if it is this daemon's turn. A wrong
// removal costs capacity only. A daemon that does not hear a majority removes nobody.
func (f *Membership) removal() (config.Member, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.Follower.State()
	ids := f.sets.of(state)
	live := f.liveNodes(ids, state)
	if len(live) < forceQuorum(len(ids)) || !slices.Contains(ids, f.Self.ID) {
		return config.Member{}, false
	}
	for _, id := range ids {
		if id == f.Self.ID || !f.gone(id, live) {
			continue
		}
		m, _ := state.Member(id)
		removed := *m
		removed.State = config.MemberRemoved
		return removed, true
	}
	return config.Member{}, false
}

// gone reports whether the daemon has missed enough heartbeats for this daemon to remove it. The daemons take
// turns, so that seldom two write the same record.
func (f *Membership) gone(id ident.DaemonID, live []rhash.Node) bool {
	p := f.peers[id]
	if p == nil {
		return false
	}
	needed := removeMisses
	if f.listed(id) {
		needed = removeListedMisses
	}
	turn := slices.Index(rhash.Pick(string(id), live, len(live)), f.Self.ID)
	return p.misses >= needed+removeTurn*turn
}

// listed reports whether a fresh VM list names the daemon as live. Without a fresh list it may be.
func (f *Membership) listed(id ident.DaemonID) bool {
	if f.VMs == nil {
		return false
	}
	return time.Since(f.vms.read) > vmListMaxAge || f.vms.listed[id]
}

func (f *Membership) liveNodes(ids []ident.DaemonID, state *config.State) []rhash.Node {
	var nodes []rhash.Node
	for _, id := range ids {
		m, _ := state.Member(id)
		p := f.peers[id]
		if id == f.Self.ID || (p != nil && !p.heard.IsZero() && p.misses < liveMisses) {
			nodes = append(nodes, rhash.Node{ID: id, Domain: m.FailureDomain})
		}
	}
	return nodes
}
