package entry

import (
	"net/http"
	"slices"

	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
	"github.com/gooseberryway/gooseberryway/internal/transport/proxy"
)

// maxPassedInFlight bounds the requests of peers that run at a time, each of which takes two connections.
const maxPassedInFlight = 1000

// servePassed runs a caller's request that a peer passes on.
func (d *Daemon) servePassed(w http.ResponseWriter, r *http.Request) {
	defer d.passedInFlight.Add(-1)
	if d.passedInFlight.Add(1) > maxPassedInFlight {
		d.handler.RefusePassed(w, proxy.ReasonPeerBusy)
		return
	}
	d.handler.ServePassed(w, r)
}

// isActivePeer reports whether callers are sent to a peer.
func (d *Daemon) isActivePeer(id ident.DaemonID) bool {
	v := d.fleet.Load()
	return v != nil && v.activeIDs[id]
}

// updateUnreachable finds out to which services' upstreams this daemon can't connect, and logs changes.
func (d *Daemon) updateUnreachable() {
	now, before := d.placer.UnreachableServices(), d.unreachable()
	d.unreachableServices.Store(&now)
	if !slices.Equal(now, before) {
		klog.InfoS("Services without a reachable upstream", "services", now, "before", before,
			"upstreams", len(d.snapshots.Upstreams().ByID), "down", len(d.placer.DownAddresses()))
	}
}

// unreachable returns the services to none of whose upstreams this daemon could connect in the last heartbeat round.
func (d *Daemon) unreachable() []view.ServiceID {
	if services := d.unreachableServices.Load(); services != nil {
		return *services
	}
	return nil
}

// reachedServices returns the services that peers can't reach and of whose upstreams this daemon has heard lately.
func (d *Daemon) reachedServices() []view.ServiceID {
	var out []view.ServiceID
	for _, p := range d.table.All() {
		for _, service := range p.UnreachableServices {
			if !slices.Contains(out, service) && d.placer.HasHeardOf(service) {
				out = append(out, service)
			}
		}
	}
	return out
}
