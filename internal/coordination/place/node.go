package place

import (
	"math"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// node is what a daemon knows of one upstream beyond its registration.
type node struct {
	id      ident.UpstreamID
	started ident.Incarnation
	own     Load
	peers   map[ident.DaemonID]peerLoad

	weights map[ident.ModelID]int64
	// loading is the time until which the upstream takes no work because it loads weights.
	loading time.Time

	failures  float64
	failureAt time.Time

	unreachable      int
	unreachableUntil time.Time

	// recent holds when a chain was last sent here, by scope and part.
	recent map[string]time.Time
}

// Load is work in progress at an upstream.
type Load struct {
	// Requests are sent and not answered in full.
	Requests int
	// Unread are prompt tokens of requests without a first event.
	Unread ident.Tokens
}

type peerLoad struct {
	Load
	at time.Time
}

// load adds up own work and that of peers.
func (n *node) load(now time.Time) Load {
	sum := n.own
	for _, p := range n.peers {
		if now.Sub(p.at) < digestFor {
			sum.Requests += p.Requests
			sum.Unread += p.Unread
		}
	}
	return sum
}

// failing returns the share of requests that fail, which fades with time.
func (n *node) failing(now time.Time) float64 {
	if n.failures == 0 {
		return 0
	}
	return n.failures * math.Exp2(-float64(now.Sub(n.failureAt))/float64(outcomeHalfLife))
}

// observe adds an outcome between 0 for good and 1 for failed.
func (n *node) observe(now time.Time, failed float64) {
	n.failures = n.failing(now)*(1-outcomeWeight) + failed*outcomeWeight
	n.failureAt = now
}

// learn takes what a registration says.
func (n *node) learn(u *view.Upstream) {
	if n.started != u.Started {
		n.started = u.Started
		n.recent = map[string]time.Time{}
		n.failures, n.unreachable = 0, 0
		n.unreachableUntil = time.Time{}
	}
	for model, version := range u.Weights {
		n.weights[model] = max(n.weights[model], version)
	}
}

// sentRecently reports whether the chain that ends with the part was sent here lately.
func (n *node) sentRecently(chain string, now time.Time) bool {
	at, ok := n.recent[chain]
	return ok && now.Sub(at) < recentFor
}

// remember notes that a chain was sent here.
func (n *node) remember(chain string, now time.Time) {
	if len(n.recent) >= maxRecent {
		for k, at := range n.recent {
			if now.Sub(at) >= recentFor {
				delete(n.recent, k)
			}
		}
	}
	if len(n.recent) < maxRecent {
		n.recent[chain] = now
	}
}
