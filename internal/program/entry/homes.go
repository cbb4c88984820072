package entry

import (
	"github.com/gooseberryway/gooseberryway/internal/coordination/fleet"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// callerAddresses returns the addresses to which the directory sends a caller in a region that asks for a host. Where there are homes and
// several regions, a daemon in the caller's region is named, or if there is none one in a home of the host's routes: other daemons may not
// get the bodies of requests with homes.
func (d *Daemon) callerAddresses(host string, region ident.Region) []string {
	hasStore := d.follower.StoreAge() < maxEligibleStoreAge
	regions, c := view.Regions(d.Settings.Regions), d.snapshots.Config()
	if c == nil || region == "" || !regions.Several() || !c.HasHomes() {
		return d.table.CallerAddresses(d.self(), hasStore)
	}
	for _, homes := range []view.Homes{{region}, c.HomesAt(host)} {
		if len(homes) == 0 {
			continue
		}
		among := d.table.CallerAddressesAmong(d.self(), func(p *fleet.Peer) bool { return regions.Allows(homes, p.Domain) })
		if len(among) > 0 {
			return among
		}
	}
	return d.table.CallerAddresses(d.self(), hasStore)
}
