// Package place decides which upstream runs a request: where the prompt is cached, weighed against the work that
// waits there, the age of the weights and what became of earlier requests. It does no I/O.
package place

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// Part is one part of a prompt.
type Part struct {
	ID     string
	Tokens ident.Tokens
}

// Work is a request to be placed.
type Work struct {
	Service view.ServiceID
	// Model is empty for plain services.
	Model ident.ModelID
	Parts []Part
	Input ident.Tokens
	// Scope separates cached prompts of isolated organisations; empty for those who share.
	Scope string
	// Tried are upstreams that the request was sent to.
	Tried []ident.UpstreamID
}

// Choice is where a request shall run.
type Choice struct {
	Upstream *view.Upstream
	// Weights is the version that the engine is known to have; 0 for plain services.
	Weights int64
	// Fetch says that cached parts shall be fetched from the KV cache store.
	Fetch bool
	// Save says that the parts shall be saved to the KV cache store.
	Save bool
	// Unread are the prompt tokens that the engine is expected to read.
	Unread ident.Tokens
	// Cost, Rank, Missed and Candidates are the inputs of the decision, for logs.
	Cost       float64
	Rank       int
	Missed     ident.Tokens
	Candidates int
}

// Blocked says why no upstream can be chosen.
type Blocked string

// Reasons.
const (
	// BlockedNone: the service has no upstream that takes work.
	BlockedNone Blocked = "noUpstream"
	// BlockedLoading: all upstreams load weights or still have replaced ones.
	BlockedLoading Blocked = "loading"
	// BlockedUnreachable: no upstream can be reached.
	BlockedUnreachable Blocked = "unreachable"
)

// BlockedError says that no upstream can be chosen now.
type BlockedError struct {
	Reason Blocked
	// RetryAfter is when an upstream may take work again.
	RetryAfter time.Duration
}

func (e *BlockedError) Error() string { return "no upstream takes the request: " + string(e.Reason) }

// StoredParts tells what the KV cache store holds.
type StoredParts interface {
	// Available reports whether the store answers.
	Available() bool
	// Holds reports whether the store holds the part under the salt.
	Holds(salt, part string, tokens ident.Tokens) bool
	// Requested notes that the part is about to be saved, and reports false if that was noted just before.
	Requested(salt, part string) bool
}

// Placer places requests. Its fields are set before the first call.
type Placer struct {
	Board  *view.Board
	Domain ident.FailureDomain
	// Stored is nil without a KV cache store.
	Stored StoredParts
	// OlderLimit is the age of a named version from which no request may start on an older one; 0 for none.
	OlderLimit time.Duration

	mu    sync.Mutex
	nodes map[ident.UpstreamID]*node
}

func (p *Placer) node(u *view.Upstream) *node {
	if p.nodes == nil {
		p.nodes = map[ident.UpstreamID]*node{}
	}
	n := p.nodes[u.ID]
	if n == nil {
		n = &node{
			id:      u.ID,
			started: u.Started,
			peers:   map[ident.DaemonID]peerLoad{},
			weights: map[ident.ModelID]int64{},
			recent:  map[string]time.Time{},
		}
		p.nodes[u.ID] = n
	}
	n.learn(u)
	return n
}

// Choose picks the upstream with the lowest cost. The error is a *BlockedError.
func (p *Placer) Choose(w *Work) (*Choice, error) {
	now := time.Now()
	named, _ := p.Board.Weights(w.Model)
	chain := sharedPart(w)
	p.mu.Lock()
	defer p.mu.Unlock()
	var best *Choice
	blocked := &BlockedError{Reason: BlockedNone, RetryAfter: blockedRetry}
	candidates := p.ranked(w.Service, chain)
	for rank, u := range candidates {
		n := p.node(u)
		if slices.Contains(w.Tried, u.ID) {
			continue
		}
		if reason, wait := p.excluded(n, u, w.Model, named, now); reason != "" {
			blocked.note(reason, wait)
			continue
		}
		if n.silent(now) {
			n.setDown(now)
			klog.InfoS("Upstream silent", "upstream", u.ID, "requests", n.own.Requests, "unread", n.own.Unread,
				"silentMs", now.Sub(n.heardAt).Milliseconds())
			blocked.note(BlockedUnreachable, blockedRetry)
			continue
		}
		c := p.cost(n, u, w, named, chain, rank, now)
		if best == nil || c.Cost < best.Cost {
			best = c
		}
	}
	if best == nil {
		return nil, blocked
	}
	best.Candidates = len(candidates)
	return best, nil
}

// blockedRetry is when callers may come back if nothing better is known.
const blockedRetry = 100 * time.Millisecond

// note keeps the reason that ends first.
func (e *BlockedError) note(reason Blocked, wait time.Duration) {
	if e.Reason == BlockedNone || wait < e.RetryAfter {
		e.Reason, e.RetryAfter = reason, max(wait, blockedRetry/4)
	}
}

// excluded tells why an upstream takes no work, and until when.
func (p *Placer) excluded(
	n *node, u *view.Upstream, model ident.ModelID, named view.Weights, now time.Time,
) (Blocked, time.Duration) {
	switch {
	case u.State != view.UpstreamReady:
		return BlockedNone, blockedRetry
	case now.Before(n.loading):
		return BlockedLoading, n.loading.Sub(now)
	case n.down:
		return BlockedUnreachable, blockedRetry
	case model != "" && p.OlderLimit > 0 && replacedFor(&named, n.weights[model], now) > p.OlderLimit:
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

// cost estimates the tokens that an engine works on before the first token of the request.
func (p *Placer) cost(
	n *node, u *view.Upstream, w *Work, named view.Weights, chain string, rank int, now time.Time,
) *Choice {
	load := n.load(now)
	c := &Choice{Upstream: u, Rank: rank, Unread: w.Input}
	c.Cost = float64(load.Unread) + float64(load.Requests)*runningCost + float64(rank)*rankCost
	c.Cost += n.failing(now) * failureCost
	if u.Slots > 0 && load.Requests >= u.Slots {
		c.Cost += float64(load.Requests-u.Slots+1) * crowdedCost
	}
	if w.Model == "" {
		return p.plainCost(c, n, u, load, now)
	}
	c.Weights = n.weights[w.Model]
	if replacedFor(&named, c.Weights, now) > olderGrace {
		c.Cost += olderCost
	}
	p.cacheCost(c, n, w, chain, now)
	return c
}

// cacheCost adds what it takes to get the shared parts into the engine's cache.
func (p *Placer) cacheCost(c *Choice, n *node, w *Work, chain string, now time.Time) {
	shared := sharedTokens(w)
	if chain == "" || shared == 0 {
		return
	}
	salt := Salt(c.Weights, w.Scope)
	available := p.Stored != nil && p.Stored.Available()
	stored := available && p.Stored.Holds(salt, lastShared(w), w.Parts[len(w.Parts)-2].Tokens)
	// The first home holds what it was sent by any daemon, also before this one started.
	cached := c.Rank == 0 || n.sentRecently(salt+chain, now)
	c.Save = available && !stored
	c.Fetch = available
	switch {
	case cached:
		c.Unread = max(0, w.Input-shared)
	case stored:
		c.Unread = max(0, w.Input-shared)
		c.Cost += float64(shared) * fetchCost
		c.Missed = shared
	default:
		c.Cost += float64(shared)
		c.Missed = shared
	}
	c.Cost += float64(c.Unread)
}

// plainCost weighs services without a cache by their queue and place.
func (p *Placer) plainCost(c *Choice, n *node, u *view.Upstream, load Load, now time.Time) *Choice {
	c.Unread = 0
	c.Cost = float64(load.Requests)*plainQueueCost + n.failing(now)*failureCost
	if u.Slots > 0 && load.Requests >= u.Slots {
		c.Cost += plainCrowdedCost
	}
	if u.FailureDomain != p.Domain {
		c.Cost += plainDomainCost
	}
	return c
}

const (
	// plainQueueCost is what a request that runs at a plain service adds.
	plainQueueCost = 1000.0
	// plainCrowdedCost is added for a plain service without a free slot.
	plainCrowdedCost = 20000.0
	// plainDomainCost is added for a plain service in another failure domain.
	plainDomainCost = 1500.0
)

// ranked returns the upstreams of a service, for a chain in the order of their rendezvous hash.
func (p *Placer) ranked(service view.ServiceID, chain string) []*view.Upstream {
	all := p.Board.Upstreams().ByService[service]
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

// lastShared returns the deepest part that other requests may share: all but the last belong to many.
func lastShared(w *Work) string {
	if len(w.Parts) < 2 {
		return ""
	}
	return w.Parts[len(w.Parts)-2].ID
}

// sharedPart names the chain of shared parts within its scope.
func sharedPart(w *Work) string {
	if id := lastShared(w); id != "" {
		return w.Scope + "\x00" + id
	}
	return ""
}

func sharedTokens(w *Work) ident.Tokens {
	var sum ident.Tokens
	for i := 0; i+1 < len(w.Parts); i++ {
		sum += w.Parts[i].Tokens
	}
	return sum
}

// Salt is the text under which cached parts of a version and scope are kept apart.
func Salt(weights int64, scope string) string {
	return "v" + formatInt(weights) + "." + scope
}
