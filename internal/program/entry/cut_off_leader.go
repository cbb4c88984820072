package entry

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/coordination/fleet"
	"github.com/gooseberryway/gooseberryway/internal/state/scope"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// reachesLessThanPeers reports whether this daemon can't connect to engines of which a peer has heard that may lead in its place and
// reaches more. If the engines are down for all, none has.
func (d *Daemon) reachesLessThanPeers() bool {
	unreachable, v, config := d.unreachable(), d.fleet.Load(), d.snapshots.Config()
	if len(unreachable) == 0 || v == nil || config == nil {
		return false
	}
	hasEngines := func(id view.ServiceID) bool { s := config.Services[id]; return s != nil && s.Engine != nil }
	return slices.ContainsFunc(v.active, func(p fleet.Peer) bool {
		return p.StoreAge < maxEligibleStoreAge && len(p.UnreachableServices) < len(unreachable) &&
			slices.ContainsFunc(p.ReachedServices, func(id view.ServiceID) bool { return slices.Contains(unreachable, id) && hasEngines(id) })
	})
}

const (
	// cutOffTick is how often a leader looks whether it is cut off from upstreams, and cutOffConfirmTime how long it must be so before
	// it resigns.
	cutOffTick        = 100 * time.Millisecond
	cutOffConfirmTime = 500 * time.Millisecond
	// resignTimeout bounds the call of the store with which a leader resigns.
	resignTimeout = time.Second
)

// mayLead reports whether this daemon can give orders to upstreams, as far as any can. One that has resigned doesn't lead again within the
// time in which orders of two leaders must not alternate.
func (d *Daemon) mayLead() bool {
	if at := d.resignedAt.Load(); at != nil && time.Since(*at) < time.Duration(d.Settings.Limits.LeaseMs)*time.Millisecond {
		return false
	}
	return !d.reachesLessThanPeers()
}

// resignIfCutOff ends this daemon's term if it can't give orders to upstreams that peers reach.
func (d *Daemon) resignIfCutOff(ctx context.Context) {
	var since time.Time
	for ctx.Err() == nil {
		scope.Sleep(ctx, cutOffTick)
		switch {
		case d.elector.Term() == 0 || !d.reachesLessThanPeers():
			since = time.Time{}
		case since.IsZero():
			since = time.Now()
		case time.Since(since) >= cutOffConfirmTime:
			klog.InfoS("Leader can't connect to upstreams that peers reach", "services", d.unreachable())
			resignCtx, cancel := context.WithTimeout(ctx, resignTimeout)
			d.elector.Resign(resignCtx)
			cancel()
			now := time.Now()
			d.resignedAt.Store(&now)
			since = time.Time{}
		}
	}
}
