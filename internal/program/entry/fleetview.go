package entry

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/coordination/fleet"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/rhash"
)

const (
	// A daemon that callers are not sent to still joins the full mesh of heartbeats if at least servingInFlight requests
	// are in progress or servingRecentRequests arrived within the last two seconds. Fewer don't count, as single
	// requests reach every daemon now and then.
	servingInFlight       = 6
	servingRecentRequests = 12
)

// fleetView is what this daemon knows of the fleet at one moment.
type fleetView struct {
	own fleet.Peer
	// active are the daemons that callers are sent to, those with the highest capacity first.
	active []fleet.Peer
	// activeIDs are the IDs of these.
	activeIDs map[ident.DaemonID]bool
	// activeRank is this daemon's index in active, or len(active) if it is not active.
	activeRank int
	// mesh holds the peer addresses of the other daemons with traffic and of the leader, idle those of all other daemons.
	mesh, idle []string
	// size is the number of daemons with a recent heartbeat, this one included.
	size int
}

// self describes this daemon in the form in which its peers see it.
func (d *Daemon) self() fleet.Peer {
	l := d.Settings.Listen
	return fleet.Peer{
		ID:            d.Settings.DaemonID,
		Incarnation:   d.incarnation,
		CallerAddress: l.Callers,
		PeerAddress:   l.Peers,
		Domain:        d.Settings.FailureDomain,
		Ready:         d.ready(),
		Leaving:       d.leaving.Load(),
		Capacity:      fleet.Capacity(d.Settings.Resources.CPUShare*float64(d.Settings.Resources.Cores), d.Settings.Resources.LinkMbps),
		Demand:        d.demand.PeakRate(),
		Term:          d.elector.Term(),
		Serving:       d.inFlight.Load() >= servingInFlight || d.demand.RecentRequests() >= servingRecentRequests,
	}
}

// refreshView computes the present view of the fleet, publishes it for the other goroutines and returns it.
func (d *Daemon) refreshView() *fleetView {
	d.updateUnreachable()
	v := &fleetView{own: d.self(), size: d.table.RecentCount()}
	v.active = d.table.Active(v.own)
	v.activeRank = len(v.active)
	inActive := map[string]bool{}
	v.activeIDs = make(map[ident.DaemonID]bool, len(v.active))
	for i, p := range v.active {
		inActive[p.PeerAddress], v.activeIDs[p.ID] = true, true
		if p.ID == v.own.ID {
			v.activeRank = i
		}
	}
	now := time.Now()
	for _, p := range d.table.All() {
		switch {
		case inActive[p.PeerAddress] || (p.Serving || p.Term > 0) && p.Alive(now):
			v.mesh = append(v.mesh, p.PeerAddress)
		default:
			v.idle = append(v.idle, p.PeerAddress)
		}
	}
	d.fleet.Store(v)
	members := d.limitMembers(v)
	d.upstreamLimits.SetMembers(members)
	d.rejectionLimits.SetMembers(members)
	d.coldLimits.SetMembers(members, d.hearsMost())
	d.reportCold()
	return v
}

// limitMembers returns the daemons among which the limits of upstreams are divided: the active ones. A daemon that has
// just started may not know the others yet and must not take their shares.
func (d *Daemon) limitMembers(v *fleetView) []rhash.Node {
	if !d.pastStartup() {
		return nil
	}
	out := make([]rhash.Node, 0, len(v.active))
	for _, p := range v.active {
		out = append(out, rhash.Node{ID: p.ID, FailureDomain: p.Domain})
	}
	return out
}

// isActive reports whether callers are sent to this daemon.
func (v *fleetView) isActive() bool { return v.activeRank < len(v.active) }

// inMesh reports whether this daemon exchanges full heartbeats with the other daemons that have traffic. The leader does
// also without traffic, as it decides by what the others report.
func (v *fleetView) inMesh() bool { return v.isActive() || v.own.Serving || v.own.Term > 0 }

// isIsolated reports whether this daemon hears none of the daemons that it has heard lately.
func (d *Daemon) isIsolated() bool { return d.table.AliveCount() == 1 && d.table.RecentCount() > 1 }

// meshSize returns the number of daemons with traffic, this one included.
func (d *Daemon) meshSize() int {
	if v := d.fleet.Load(); v != nil {
		return 1 + len(v.mesh)
	}
	return 1
}
