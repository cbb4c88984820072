package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/rhash"
)

// View is what this daemon knows of the fleet. It is immutable.
type View struct {
	Self        ident.DaemonID
	Incarnation ident.Incarnation
	// State is this daemon's own state in the applied state, "" while it has not joined.
	State config.MemberState
	// Recovering is true until a restarted daemon knows all records that it may have acknowledged before.
	Recovering bool
	// Superseded is true once a newer incarnation of this daemon is known.
	Superseded bool
	// Members are the active daemons of the applied state, sorted by id.
	Members []Peer
	// HeartbeatAcks holds, for each daemon that supports a lease at the applied state, its newest acknowledgement
	// that does.
	HeartbeatAcks []HeartbeatAck
	// Applied is the state after the last record; InForce is the newest state that every lease holder has reached.
	Applied, InForce *config.State
}

// Peer is one daemon of the fleet.
type Peer struct {
	config.Member
	// Live is false until a message of the daemon has arrived and after liveMissLimit missed heartbeats. This daemon
	// itself is always live.
	Live bool
	// Applied is the offset that the daemon is known to have applied.
	Applied ident.Offset
	// LastSeen is when a message of the daemon last arrived, directly or by relay; the zero time if none did.
	LastSeen time.Time
}

// Live returns the joined daemons that are live.
func (v *View) Live() []rhash.Node {
	var nodes []rhash.Node
	for _, p := range v.Members {
		if p.Live && p.State == config.MemberJoined {
			nodes = append(nodes, rhash.Node{ID: p.ID, FailureDomain: p.FailureDomain})
		}
	}
	return nodes
}

// Joined returns the joined daemons of a state, live or not, sorted by id. All daemons at the same state agree on it.
func Joined(state *config.State) []rhash.Node {
	var nodes []rhash.Node
	for _, m := range state.Members() {
		if m.State == config.MemberJoined {
			nodes = append(nodes, rhash.Node{ID: m.ID, FailureDomain: m.FailureDomain})
		}
	}
	slices.SortFunc(nodes, func(a, b rhash.Node) int { return cmp.Compare(a.ID, b.ID) })
	return nodes
}

// Peer returns the active daemon with the id.
func (v *View) Peer(id ident.DaemonID) (Peer, bool) {
	i, ok := slices.BinarySearchFunc(v.Members, id, func(p Peer, id ident.DaemonID) int { return cmp.Compare(p.ID, id) })
	if !ok {
		return Peer{}, false
	}
	return v.Members[i], true
}

// buildView is called with mu held.
func (f *Membership) buildView(applied, inForce *config.State) *View {
	v := &View{
		Self:        f.Self.ID,
		Incarnation: f.incarnation,
		Recovering:  f.recovering,
		Superseded:  f.superseded,
		Applied:     applied,
		InForce:     inForce,
	}
	v.State = f.ownState(applied)
	ids := f.witnessSets.forState(applied)
	v.Members, v.HeartbeatAcks = make([]Peer, 0, len(ids)), make([]HeartbeatAck, 0, len(ids))
	for _, id := range ids {
		m, _ := applied.Member(id)
		v.Members = append(v.Members, f.peerView(m, applied))
		if p := f.peers[id]; p != nil {
			if a, ok := p.supportingAck(applied.Offset()); ok {
				v.HeartbeatAcks = append(v.HeartbeatAcks, a)
			}
		}
	}
	return v
}

// ownState returns this daemon's state in the applied state. An inactive record of an earlier incarnation does not
// count.
func (f *Membership) ownState(applied *config.State) config.MemberState {
	own, ok := applied.Member(f.Self.ID)
	if !ok || (own.Incarnation < f.incarnation && !own.State.Active()) {
		return ""
	}
	return own.State
}

func (f *Membership) peerView(m *config.Member, applied *config.State) Peer {
	if m.ID == f.Self.ID {
		return Peer{Member: *m, Live: true, Applied: applied.Offset(), LastSeen: time.Now()}
	}
	p := f.peers[m.ID]
	if p == nil {
		return Peer{Member: *m}
	}
	live := !p.lastSeen.IsZero() && p.misses < liveMissLimit
	return Peer{Member: *m, Live: live, Applied: p.applied, LastSeen: p.lastSeen}
}
