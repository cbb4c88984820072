package fleet

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// RequestsPerSecond is a rate of requests.
type RequestsPerSecond = ident.RequestsPerSecond

const (
	// minActive is the smallest number of active daemons while the demand is low. The sudden loss of one or two leaves
	// enough of them.
	minActive = 8
	// headroom is the ratio of what the active daemons can carry to the current demand. Bursts reach 1.7 times the
	// demand.
	headroom = 2
	// ratePerCore is what one core can forward with two thirds of its time to spare. A request takes 0.7 ms on the
	// platform's VMs.
	ratePerCore RequestsPerSecond = 400
	// ratePerMbit is what one Mbit/s of a link can carry with two thirds to spare. Prompts of 18 KB arrive and leave
	// over the link.
	ratePerMbit RequestsPerSecond = 2
)

// Capacity returns how many requests per second a daemon can forward without queueing, from the number of processor
// cores and the link bandwidth in Mbit/s of its VM. A value of 0 is unknown and doesn't limit the result.
func Capacity(cores, linkMbps float64) RequestsPerSecond {
	byCores, byLink := RequestsPerSecond(cores)*ratePerCore, RequestsPerSecond(linkMbps)*ratePerMbit
	switch {
	case byCores <= 0:
		return byLink
	case byLink <= 0:
		return byCores
	default:
		return min(byCores, byLink)
	}
}

// Active returns the daemons that callers are directed to: those with the highest capacity first, spread over failure
// domains. own describes this daemon. A few daemons with much traffic each know more about the fleet's requests than
// many with little, and exchange fewer messages. All daemons with the same information return the same result.
func (t *Table) Active(own Peer) []Peer {
	now := time.Now()
	var candidates []Peer
	demand := own.Demand
	if own.Ready && !own.Leaving {
		candidates = append(candidates, own)
	}
	for _, p := range t.All() {
		if !p.Alive(now) {
			continue
		}
		demand += p.Demand
		if p.Ready && !p.Leaving {
			candidates = append(candidates, p)
		}
	}
	rankByCapacity(candidates)
	return candidates[:activeCount(candidates, demand)]
}

// rankByCapacity sorts daemons by capacity. Daemons of equal capacity alternate between failure domains.
func rankByCapacity(candidates []Peer) {
	slices.SortFunc(candidates, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), strings.Compare(string(a.ID), string(b.ID)))
	})
	type group struct {
		domain   ident.FailureDomain
		capacity RequestsPerSecond
	}
	groupSizes := map[group]int{}
	position := make(map[ident.DaemonID]int, len(candidates))
	for _, p := range candidates {
		s := group{p.Domain, p.Capacity}
		position[p.ID] = groupSizes[s]
		groupSizes[s]++
	}
	slices.SortStableFunc(candidates, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(position[a.ID], position[b.ID]),
			strings.Compare(string(a.Domain), string(b.Domain)))
	})
}

// activeCount returns how many of the ranked daemons are needed. Callers pick an active daemon at random, so the one
// with the lowest capacity limits what all of them can carry.
func activeCount(ranked []Peer, demand RequestsPerSecond) int {
	jointCapacity := func(n int) RequestsPerSecond { return RequestsPerSecond(n) * ranked[n-1].Capacity }
	required := demand * headroom
	reduced, strongest := 0, 0
	for n := 1; n <= len(ranked); n++ {
		enough := jointCapacity(n) >= required
		if enough && n >= minActive {
			// Fewer daemons than minActive, but at least half of it, are better than more than twice minActive.
			if reduced > 0 && n > 2*minActive {
				return reduced
			}
			return n
		}
		if enough && n >= minActive/2 {
			reduced = n
		}
		if strongest == 0 || jointCapacity(n) >= jointCapacity(strongest) {
			strongest = n
		}
	}
	switch {
	case reduced > 0 && len(ranked) >= minActive:
		return reduced
	case len(ranked) <= minActive:
		return len(ranked)
	default:
		return strongest
	}
}
