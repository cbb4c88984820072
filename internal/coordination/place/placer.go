// Package place decides which upstream runs a request: where the prompt is cached, weighed against the work that
// waits there, the age of the weights and what became of earlier requests. It does no I/O.
package place

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/coordination/estim"
	"github.com/gooseberryway/gooseberryway/internal/coordination/fleet"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/kvdir"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// CacheStores tells what the KV cache stores hold.
type CacheStores interface {
	// For returns the store that keeps a chain, or nil if none answers.
	For(chain string) *kvdir.Store
	// Count returns the number of stores.
	Count() int
}

// Placer places requests. Its fields are set before the first call.
type Placer struct {
	Snapshots     *view.Snapshots
	FailureDomain ident.FailureDomain
	// Stores is nil without KV cache stores.
	Stores CacheStores
	// FleetSize returns the number of daemons, by which digests become older; nil for a small fleet.
	FleetSize func() int
	// OldWeightsGrace is the age of a named version from which no request may start on an older one; 0 for none.
	OldWeightsGrace time.Duration

	mu    sync.Mutex
	nodes map[ident.UpstreamID]*node
	// ownFetching are tokens that are fetched from the KV cache store for this daemon's requests.
	ownFetching  ident.Tokens
	peerFetching map[ident.DaemonID]peerLoad
	// told is what each peer's last digest told of.
	told map[ident.DaemonID]map[ident.UpstreamID]OutstandingWork
	// read holds which engine was last sent a chain that it may not have had.
	read map[ChainKey]reading
	// sent are the chains that this daemon was the first to send somewhere lately.
	sent []SentChain
	// services are what was learned of the upstreams of each service.
	services map[view.ServiceID]*service
}

// engineOf returns what the configuration says of a service's engines, which is nothing if it runs no models.
func (p *Placer) engineOf(id view.ServiceID) *view.Engine {
	if c := p.Snapshots.Config(); c != nil && c.Services[id] != nil && c.Services[id].Engine != nil {
		return c.Services[id].Engine
	}
	return &view.Engine{}
}

func (p *Placer) node(u *view.Upstream) *node {
	if p.nodes == nil {
		p.nodes = map[ident.UpstreamID]*node{}
	}
	n := p.nodes[u.ID]
	if n == nil {
		n = &node{
			id:      u.ID,
			started: u.Incarnation,
			peers:   map[ident.DaemonID]peerLoad{},
			weights: map[ident.ModelID]int64{},
			recent:  map[ChainKey]time.Time{},
			service: p.service(u.Service),

			slow:     estim.DecayingMean{HalfLife: slowHalfLife, Weight: slowWeight},
			failures: estim.DecayingMean{HalfLife: outcomeHalfLife, Weight: outcomeWeight},
		}
		p.nodes[u.ID] = n
	}
	n.learn(u)
	return n
}

// Choose picks the upstream with the lowest cost. The error is a *BlockedError.
func (p *Placer) Choose(w *Request) (*Choice, error) {
	now := time.Now()
	q := &query{work: w, chain: sharedPart(w), shared: sharedTokens(w), now: now}
	q.named, _ = p.Snapshots.Weights(w.Model)
	q.digest = p.digestFor()
	q.engine = p.engineOf(w.Service)
	if p.Stores != nil && q.chain != "" {
		q.store = p.Stores.For(q.chain)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	blocked := &BlockedError{Reason: BlockedNoUpstream, RetryAfter: blockedRetry}
	learned := p.service(w.Service)
	q.perToken = learned.reading.PerToken()
	p.refreshKeep(learned, q.engine, w.Service, now)
	if q.store != nil {
		q.fetching, q.fetchWait = p.fetching(now), time.Duration(learned.fetchWait.At(now))
	}
	candidates := p.candidates(q, blocked)
	var best *Choice
	for i := range candidates {
		c := p.cost(q, &candidates[i])
		if best == nil || c.Cost < best.Cost {
			best = c
		}
	}
	if best == nil {
		return nil, blocked
	}
	best.Candidates = len(candidates)
	best.Wait = p.wait(q, best)
	return best, nil
}

// query is a request to be placed, with what is the same for all candidates.
type query struct {
	work   *Request
	chain  string
	shared ident.Tokens
	named  view.Weights
	now    time.Time
	// digest is how long a peer's digest counts.
	digest time.Duration
	// store keeps the chain; nil for none.
	store *kvdir.Store
	// fetching are the tokens that engines fetch from it, and fetchWait is how long such fetches waited lately.
	fetching  ident.Tokens
	fetchWait time.Duration
	// engine is what is published of the service's engines, perToken how long they take to read one token.
	engine   *view.Engine
	perToken time.Duration
	// versions holds what is the same for all candidates with a version of the weights.
	versions map[int64]*versioned
}

// versioned is what is known of a prompt's shared parts under one version of the weights.
type versioned struct {
	// home is the first candidate with the version.
	home   *candidate
	levels []level
}

// candidate is an upstream that takes work.
type candidate struct {
	*node
	upstream *view.Upstream
	rank     int
	version  int64
}

// candidates returns the upstreams that take the request, in the order of the chain's homes.
func (p *Placer) candidates(q *query, blocked *BlockedError) []candidate {
	q.versions = map[int64]*versioned{}
	upstreams := p.ranked(q.work.Service, q.chain)
	out := make([]candidate, 0, len(upstreams))
	for rank, u := range upstreams {
		n := p.node(u)
		if slices.Contains(q.work.Tried, u.ID) {
			continue
		}
		if !n.down && n.silent(q.now, q.digest) {
			n.setDown(q.now)
			klog.InfoS("Upstream silent", "upstream", u.ID, "requests", n.own.Requests, "unread", n.own.PrefillTokens,
				"silentMs", q.now.Sub(n.heardAt).Milliseconds())
		}
		if reason, wait := p.excluded(n, u, q.work.Model, q.named, q.now); reason != "" {
			blocked.note(reason, wait)
			continue
		}
		out = append(out, candidate{node: n, upstream: u, rank: rank, version: n.weights[q.work.Model]})
	}
	for i := range out {
		if c := &out[i]; q.versions[c.version] == nil {
			q.versions[c.version] = &versioned{home: c, levels: p.levels(q, c.version)}
		}
	}
	return out
}

// excluded tells why an upstream takes no work, and until when.
func (p *Placer) excluded(
	n *node, u *view.Upstream, model ident.ModelID, named view.Weights, now time.Time,
) (BlockedReason, time.Duration) {
	switch {
	case u.State != view.UpstreamReady:
		return BlockedNoUpstream, blockedRetry
	case now.Before(n.loading):
		return BlockedLoading, n.loading.Sub(now)
	case n.down:
		return BlockedUnreachable, blockedRetry
	case model != "" && p.OldWeightsGrace > 0 && replacedFor(&named, n.weights[model], now) > p.OldWeightsGrace:
		return BlockedLoading, blockedRetry
	default:
		return "", 0
	}
}

// replacedFor returns how long ago a version was replaced; 0 for the newest.
func replacedFor(named *view.Weights, version int64, now time.Time) time.Duration {
	at, ok := named.ReplacedAt(version)
	if !ok {
		return 0
	}
	return now.Sub(at)
}

// digestFor returns how long a peer's digest counts.
func (p *Placer) digestFor() time.Duration {
	if p.FleetSize == nil {
		return digestFor
	}
	return fleet.ScaledTimeout(digestFor, digestBeats, p.FleetSize())
}

// ranked returns the upstreams of a service, for a chain in the order of their rendezvous hash.
func (p *Placer) ranked(service view.ServiceID, chain string) []*view.Upstream {
	all := p.Snapshots.Upstreams().ByService[service]
	if chain == "" {
		return all
	}
	type scored struct {
		u     *view.Upstream
		score uint64
	}
	list := make([]scored, len(all))
	for i, u := range all {
		list[i] = scored{u, xxhash.Sum64String(chain + "\x00" + string(u.ID))}
	}
	slices.SortFunc(list, func(a, b scored) int {
		if a.score != b.score {
			if a.score > b.score {
				return -1
			}
			return 1
		}
		return 0
	})
	out := make([]*view.Upstream, len(list))
	for i, s := range list {
		out[i] = s.u
	}
	return out
}
