package member

import (
	"slices"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/rhash"
)

// nextRemoval returns the record that removes a daemon which no longer answers, if it is this daemon's turn. A daemon
// that does not see a majority live removes none. Wrong removals cost only capacity.
func (f *Membership) nextRemoval() (config.Member, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.Follower.State()
	ids := f.witnessSets.forState(state)
	live := f.liveNodes(ids, state)
	if len(live) < inForceQuorum(len(ids)) || !slices.Contains(ids, f.Self.ID) {
		return config.Member{}, false
	}
	for _, id := range ids {
		if id == f.Self.ID || !f.shouldRemove(id, live) {
			continue
		}
		m, _ := state.Member(id)
		removed := *m
		removed.State = config.MemberRemoved
		return removed, true
	}
	return config.Member{}, false
}

// shouldRemove reports whether the daemon has missed enough heartbeats for this daemon to remove it. The daemons'
// thresholds are staggered in rendezvous-hash order, so that two seldom write the same record.
func (f *Membership) shouldRemove(id ident.DaemonID, live []rhash.Node) bool {
	p := f.peers[id]
	if p == nil {
		return false
	}
	needed := removeAfterMisses
	if f.listedByVMs(id) {
		needed = removeListedAfterMisses
	}
	turn := slices.Index(rhash.Pick(string(id), live, len(live)), f.Self.ID)
	return p.misses >= needed+removeTurnMisses*turn
}

// listedByVMs reports whether the VM list names the daemon as running. It assumes so while the list is older than
// vmListMaxAge.
func (f *Membership) listedByVMs(id ident.DaemonID) bool {
	if f.VMs == nil {
		return false
	}
	return time.Since(f.vmList.readAt) > vmListMaxAge || f.vmList.active[id]
}

func (f *Membership) liveNodes(ids []ident.DaemonID, state *config.State) []rhash.Node {
	var nodes []rhash.Node
	for _, id := range ids {
		m, _ := state.Member(id)
		p := f.peers[id]
		if id == f.Self.ID || (p != nil && !p.lastSeen.IsZero() && p.misses < liveMissLimit) {
			nodes = append(nodes, rhash.Node{ID: id, FailureDomain: m.FailureDomain})
		}
	}
	return nodes
}
