package fleet

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// RequestsPerSecond is a number of requests a second.
type RequestsPerSecond float64

const (
	// leastActive is the number of daemons that callers are sent to while the demand is low: the sudden loss of one or two
	// leaves enough.
	leastActive = 8
	// headroom is how many times the present demand the active daemons can carry: published bursts reach 1.7 times.
	headroom = 2
	// ratePerCore is what a whole core passes on with two thirds of its time to spare, at the 0.7 ms that a request
	// takes on the platform's VMs.
	ratePerCore RequestsPerSecond = 400
	// ratePerMbit is what a link carries with two thirds to spare, at prompts of 18 KB that arrive and leave.
	ratePerMbit RequestsPerSecond = 2
)

// Capacity returns how many requests a second a daemon can pass on without queueing, from the processor cores and the
// link that its VM has. What isn't known, 0, doesn't bind.
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

// Active returns the daemons that callers are sent to, the strongest first and spread over failure domains; own describes
// this daemon. Few daemons with much traffic each know more of what the fleet does than many with little, and exchange
// less. All daemons that hear the same come to the same result.
func (t *Table) Active(own Peer) []Peer {
	now := time.Now()
	var able []Peer
	demand := own.Demand
	if own.Ready && !own.Leaving {
		able = append(able, own)
	}
	for _, p := range t.All() {
		if !p.Alive(now) {
			continue
		}
		demand += p.Demand
		if p.Ready && !p.Leaving {
			able = append(able, p)
		}
	}
	rank(able)
	return able[:activeCount(able, demand)]
}

// rank orders daemons by capacity, and those of equal capacity by turns over the failure domains.
func rank(able []Peer) {
	slices.SortFunc(able, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), strings.Compare(string(a.ID), string(b.ID)))
	})
	type seat struct {
		domain   ident.FailureDomain
		capacity RequestsPerSecond
	}
	taken := map[seat]int{}
	turn := make(map[ident.DaemonID]int, len(able))
	for _, p := range able {
		s := seat{p.Domain, p.Capacity}
		turn[p.ID] = taken[s]
		taken[s]++
	}
	slices.SortStableFunc(able, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(turn[a.ID], turn[b.ID]),
			strings.Compare(string(a.Domain), string(b.Domain)))
	})
}

// activeCount returns how many of the ranked daemons are needed. Callers pick one at random, so that the weakest bounds
// what all of them carry together.
func activeCount(ranked []Peer, demand RequestsPerSecond) int {
	carries := func(n int) RequestsPerSecond { return RequestsPerSecond(n) * ranked[n-1].Capacity }
	need := demand * headroom
	few, most := 0, 0
	for n := 1; n <= len(ranked); n++ {
		enough := carries(n) >= need
		if enough && n >= leastActive {
			// Several times as many weak daemons are no better than a few strong ones less.
			if few > 0 && n > 2*leastActive {
				return few
			}
			return n
		}
		if enough && n >= leastActive/2 {
			few = n
		}
		if most == 0 || carries(n) >= carries(most) {
			most = n
		}
	}
	switch {
	case few > 0 && len(ranked) >= leastActive:
		return few
	case len(ranked) <= leastActive:
		return len(ranked)
	default:
		return most
	}
}
