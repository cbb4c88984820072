// Package detour chooses the peer that runs a request for a daemon that can connect to no upstream of the request's service, while
// the peer can. It does no I/O.
package detour

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/coordination/fleet"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// Chooser chooses peers and keeps account of the requests that they run for this daemon. Its fields are set before the first call;
// its methods may be called concurrently.
type Chooser struct {
	Self ident.DaemonID
	// Peers returns the known peers, IsAlive whether one of them was heard lately.
	Peers   func() []fleet.Peer
	IsAlive func(ident.DaemonID) bool
	// IsActive reports whether callers are sent to a peer. The other peers hear less often of the fleet.
	IsActive func(ident.DaemonID) bool
	// ConfigVersion returns the version of this daemon's configuration.
	ConfigVersion func() int64
	// EvacuationOffset returns up to where a peer must have read the operators' topic to know which upstreams are evacuated; nil for
	// anywhere.
	EvacuationOffset func() ident.Offset
	// Regions maps the peers' failure domains to regions.
	Regions view.Regions

	mu       sync.Mutex
	inFlight map[ident.DaemonID]int
	// newestVersion is the newest version of the configuration of the peers that were chosen.
	newestVersion int64
}

// Request is what the choice of a peer depends on.
type Request struct {
	// Service is that to whose upstreams the peer has to connect.
	Service view.ServiceID
	// Homes are the regions whose daemons may get the request.
	Homes view.Homes
	// Tried are the peers that the request was already passed on to.
	Tried []ident.DaemonID
}

// Choose returns a peer that may run the request; false if there is none. The choice ends with Release.
func (c *Chooser) Choose(r *Request) (fleet.Peer, bool) {
	candidates := c.candidates(r)
	c.mu.Lock()
	defer c.mu.Unlock()
	candidates = withVersion(candidates, max(c.ConfigVersion(), c.newestVersion))
	if len(candidates) == 0 {
		return fleet.Peer{}, false
	}
	// Of two peers drawn at random the one with less to do, so that daemons that choose at the same time don't choose the same peer.
	best, other := candidates[rand.N(len(candidates))], candidates[rand.N(len(candidates))]
	if c.inFlight[other.ID] < c.inFlight[best.ID] {
		best = other
	}
	if c.inFlight == nil {
		c.inFlight = map[ident.DaemonID]int{}
	}
	c.inFlight[best.ID]++
	c.newestVersion = max(c.newestVersion, best.ConfigVersion)
	return best, true
}

// HasCandidate reports whether Choose would find a peer.
func (c *Chooser) HasCandidate(r *Request) bool {
	return len(c.candidates(r)) > 0
}

// withVersion returns the peers whose configuration has the given version or a newer one, so that callers of this daemon don't see an
// older one again. If there are none, those with the newest remain.
func withVersion(peers []fleet.Peer, version int64) []fleet.Peer {
	newest := int64(0)
	for _, p := range peers {
		newest = max(newest, p.ConfigVersion)
	}
	return slices.DeleteFunc(peers, func(p fleet.Peer) bool { return p.ConfigVersion < min(version, newest) })
}

// Release ends a choice.
func (c *Chooser) Release(id ident.DaemonID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight[id]--; c.inFlight[id] <= 0 {
		delete(c.inFlight, id)
	}
}

// candidates returns the peers that may run a request: the active ones, or if none of them may the others.
func (c *Chooser) candidates(r *Request) []fleet.Peer {
	now := time.Now()
	var minOffset ident.Offset
	if c.EvacuationOffset != nil {
		minOffset = c.EvacuationOffset()
	}
	var active, idle []fleet.Peer
	for _, p := range c.Peers() {
		if !p.Alive(now) || !p.Ready || p.Leaving || !p.TakesRequests || p.OperatorsOffset < minOffset ||
			slices.Contains(p.UnreachableServices, r.Service) || slices.Contains(r.Tried, p.ID) || !c.Regions.Allows(r.Homes, p.Domain) {
			continue
		}
		if c.IsActive(p.ID) {
			active = append(active, p)
		} else {
			idle = append(idle, p)
		}
	}
	if len(active) > 0 {
		return active
	}
	return idle
}
