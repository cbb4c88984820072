package place

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberryway/gooseberryway/internal/coordination/estim"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// ChainKey names a chain of parts under a salt. It is short, as daemons tell each other of many; two chains with one key
// are taken for one, which costs the reading of a prompt.
type ChainKey uint32

func chainKey(salt, chain string) ChainKey { return ChainKey(xxhash.Sum64String(salt + chain)) }

// SentChain says that a chain was sent to an engine.
type SentChain struct {
	Chain  ChainKey
	Engine ident.UpstreamID

	at time.Time
}

// node is what a daemon knows of one upstream beyond its registration.
type node struct {
	id      ident.UpstreamID
	started ident.Incarnation
	// service is what was learned of the upstream's service.
	service *service
	own     OutstandingWork
	peers   map[ident.DaemonID]peerLoad

	weights map[ident.ModelID]int64
	// weightsSince is when the engine was seen to change its weights; zero if that was not seen.
	weightsSince time.Time
	// loading is the time until which the upstream takes no work because it loads weights.
	loading time.Time

	// slow is by how many times the estimated time first events were late, failures the share of requests that failed.
	slow, failures estim.DecayingMean

	// down is true from a failed connection or a silence until a connection succeeds.
	down      bool
	downSince time.Time
	// heardAt is when the upstream last sent anything, or when work was sent to it while it had none.
	heardAt time.Time
	// bytesAt is the same without the connections that succeeded.
	bytesAt time.Time

	// recent holds when any daemon last sent a chain here.
	recent map[ChainKey]time.Time
}

// OutstandingWork is work in progress at an upstream.
type OutstandingWork struct {
	// Requests are sent and not answered in full.
	Requests int
	// PrefillTokens are prompt tokens of requests without a first event, Late those of them that run behind the others.
	PrefillTokens, LatePrefillTokens ident.Tokens
}

type peerLoad struct {
	OutstandingWork
	at time.Time
}

// load adds up own work and that of peers.
func (n *node) load(now time.Time, digest time.Duration) OutstandingWork {
	sum := n.own
	for _, p := range n.peers {
		if now.Sub(p.at) < digest {
			sum.Requests += p.Requests
			sum.PrefillTokens += p.PrefillTokens
			sum.LatePrefillTokens += p.LatePrefillTokens
		}
	}
	return sum
}

// slowness returns how many times as long as estimated the upstream takes, 1 or more.
func (n *node) slowness(now time.Time) float64 { return 1 + n.slow.At(now) }

// observeSpeed takes the time to a first event and what was estimated for it.
func (n *node) observeSpeed(now time.Time, took, estimated time.Duration) {
	ratio := min(max(float64(took)/float64(estimated)/slowUsual, 1), slowMost)
	n.slow.Observe(now, ratio-1)
}

// quietFor returns how long the upstream has been quiet since a time at which it was heard of; 0 if it has no own work or
// loads weights.
func (n *node) quietFor(now, since time.Time) time.Duration {
	if n.own.Requests == 0 || now.Before(n.loading) {
		return 0
	}
	// Runs that were begun before a load go on after it.
	if n.loading.After(since) {
		since = n.loading
	}
	return now.Sub(since)
}

// silent reports whether the upstream has own work and has sent nothing for longer than reading its prompts takes.
func (n *node) silent(now time.Time, digest time.Duration) bool {
	reading := slowRead * n.slowness(now) * float64(n.readIn(n.load(now, digest).PrefillTokens))
	return n.quietFor(now, n.heardAt) > silentAfter+time.Duration(reading)
}

// readIn returns how long the upstream usually takes to read so many prompt tokens.
func (n *node) readIn(tokens ident.Tokens) time.Duration {
	return time.Duration(tokens) * n.service.reading.PerToken()
}

// lost reports whether answers from the upstream are given up: it can't be reached, or it can and has nevertheless sent
// nothing for long. One that is slow and sound is neither.
func (n *node) lost(now time.Time, digest time.Duration) bool {
	if n.down && now.Sub(n.downSince) >= confirmFor {
		return true
	}
	return n.quietFor(now, n.bytesAt) > hangAfter+slowRead*n.readIn(n.load(now, digest).PrefillTokens)
}

// setDown keeps work off until a connection succeeds.
func (n *node) setDown(now time.Time) {
	if !n.down {
		n.down, n.downSince = true, now
	}
}

// learn takes what a registration says.
func (n *node) learn(u *view.Upstream) {
	if n.started != u.Incarnation {
		n.started = u.Incarnation
		n.recent = map[ChainKey]time.Time{}
		n.failures.Reset()
		n.down = false
	}
	for model, version := range u.Weights {
		n.saw(model, version)
	}
}

// saw takes a version that the engine has.
func (n *node) saw(model ident.ModelID, version int64) {
	old, known := n.weights[model]
	if known && version <= old {
		return
	}
	n.weights[model] = version
	if known {
		n.weightsSince = time.Now()
	}
}

// settled reports whether the engine has had its weights for so long that it will have read what is in use.
func (n *node) settled(now time.Time) bool {
	return n.weightsSince.IsZero() || now.Sub(n.weightsSince) > recentFor
}

// sentRecently reports whether the chain that ends with the part was sent here lately.
func (n *node) sentRecently(chain ChainKey, now time.Time) bool {
	at, ok := n.recent[chain]
	return ok && now.Sub(at) < n.service.keep
}

// remember notes that a chain was sent here.
func (n *node) remember(chain ChainKey, now time.Time) {
	if len(n.recent) >= maxRecent {
		for k, at := range n.recent {
			if now.Sub(at) >= n.service.keep {
				delete(n.recent, k)
			}
		}
	}
	if len(n.recent) < maxRecent {
		n.recent[chain] = now
	}
}
