package entry

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/coordination/fleet"
)

const (
	// servingActive requests in progress, or servingRecent within two seconds, make a daemon take part in all that those
	// with traffic exchange. Single requests reach every daemon now and then.
	servingActive = 6
	servingRecent = 12
)

// fleetView is what a daemon makes of the fleet at one moment.
type fleetView struct {
	own fleet.Peer
	// active are the daemons that callers are sent to, the strongest first.
	active []fleet.Peer
	// rank is this daemon's place among them, len(active) if it is not active.
	rank int
	// mesh are the addresses of the other daemons with traffic, rest those of all others.
	mesh, rest []string
	// size is the number of daemons that were heard of lately.
	size int
}

// self describes this daemon as its peers see it.
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
		Serving:       d.inFlight.Load() >= servingActive || d.demand.RecentRequests() >= servingRecent,
	}
}

// look takes the present view of the fleet and keeps it for requests.
func (d *Daemon) look() *fleetView {
	v := &fleetView{own: d.self(), size: d.table.RecentCount()}
	v.active = d.table.Active(v.own)
	v.rank = len(v.active)
	member := map[string]bool{}
	for i, p := range v.active {
		member[p.PeerAddress] = true
		if p.ID == v.own.ID {
			v.rank = i
		}
	}
	now := time.Now()
	for _, p := range d.table.All() {
		switch {
		case member[p.PeerAddress] || p.Serving && p.Alive(now):
			v.mesh = append(v.mesh, p.PeerAddress)
		default:
			v.rest = append(v.rest, p.PeerAddress)
		}
	}
	d.fleet.Store(v)
	return v
}

// isActive reports whether callers are sent to this daemon.
func (v *fleetView) isActive() bool { return v.rank < len(v.active) }

// meshed reports whether the daemon exchanges all it knows with the others that have traffic.
func (v *fleetView) meshed() bool { return v.isActive() || v.own.Serving }

// meshSize returns the number of daemons with traffic, this one included.
func (d *Daemon) meshSize() int {
	if v := d.fleet.Load(); v != nil {
		return 1 + len(v.mesh)
	}
	return 1
}
