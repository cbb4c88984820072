package place

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/coordination/fleet"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

func formatInt(n int64) string { return strconv.FormatInt(n, 10) }

// Outcome is what became of a request at an upstream.
type Outcome uint8

// Outcomes.
const (
	// OutcomeSucceeded: the answer is whole.
	OutcomeSucceeded Outcome = iota
	// OutcomeFailed: the upstream answered with a failure of its own.
	OutcomeFailed
	// OutcomeBroken: the connection broke after the request was sent.
	OutcomeBroken
	// OutcomeRejected: the upstream did not run the request.
	OutcomeRejected
	// OutcomeMisdirected: the upstream is another one or has other weights.
	OutcomeMisdirected
	// OutcomeUnreachable: no connection could be made.
	OutcomeUnreachable
	// OutcomeTimeout: the answer did not begin in time.
	OutcomeTimeout
	// OutcomeCancelled: the caller left.
	OutcomeCancelled
)

// weightOf is how much an outcome counts as a failure.
func weightOf(o Outcome) float64 {
	switch o {
	case OutcomeBroken, OutcomeUnreachable, OutcomeTimeout:
		return 1
	case OutcomeFailed:
		return 0.5
	case OutcomeRejected, OutcomeMisdirected:
		return 0.3
	default:
		return 0
	}
}

// Tracker accounts for one attempt from Begin to End.
type Tracker struct {
	placer       *Placer
	node         *node
	unread, late ident.Tokens
	// fetch are the tokens that come from the KV cache store.
	fetch ident.Tokens
	// begun is when the attempt began; timed says that its first event tells how fast the engine reads: nothing had to be
	// read before it, and nothing is fetched.
	begun time.Time
	timed bool
	// estimated is the estimated time to the first event; 0 if there is none.
	estimated time.Duration
}

// Begin counts an attempt that is about to be sent.
func (p *Placer) Begin(c *Choice, w *Request) *Tracker {
	p.mu.Lock()
	defer p.mu.Unlock()
	n, now := p.node(c.Upstream), time.Now()
	if n.own.Requests == 0 {
		n.heardAt, n.bytesAt = now, now
	}
	quiet := n.load(now, p.digestFor()).PrefillTokens == 0
	n.own.Requests++
	n.own.PrefillTokens += c.PrefillTokens
	var late ident.Tokens
	if c.Late {
		late = c.PrefillTokens
		n.own.LatePrefillTokens += late
	}
	if chain := sharedPart(w); chain != "" {
		salt := CacheSalt(c.WeightVersion, w.CacheScope)
		for _, part := range w.Parts[:len(w.Parts)-1] {
			p.remember(n, chainKey(salt, w.CacheScope+part.ID))
		}
		c.SaveToStore = c.SaveToStore && c.Store.MarkSaveRequested(salt, lastShared(w))
	}
	if w.Model != "" {
		n.service.churn.Add(newTokens(c, w))
	}
	t := &Tracker{
		placer: p, node: n, unread: c.PrefillTokens, late: late, begun: now,
		estimated: c.Wait.Total,
		timed:     quiet && w.Model != "" && (c.MissedTokens == 0 || c.Locality == CachedMiss),
	}
	if c.Fetch == FetchStore {
		t.fetch = c.MissedTokens
		p.ownFetching += t.fetch
	}
	return t
}

// newTokens returns the tokens of a request that its engine is taken not to hold yet.
func newTokens(c *Choice, w *Request) ident.Tokens {
	return max(0, w.Input-sharedTokens(w)) + c.MissedTokens
}

// remember notes that this daemon sends a chain to an engine, and keeps the news for the others.
func (p *Placer) remember(n *node, chain ChainKey) {
	now := time.Now()
	if !n.sentRecently(chain, now.Add(n.service.keep/2)) && len(p.sent) < maxSent {
		p.sent = append(p.sent, SentChain{Chain: chain, Engine: n.id, at: now})
	}
	p.note(n, chain, now)
}

// note takes that a chain was sent to an engine.
func (p *Placer) note(n *node, chain ChainKey, now time.Time) {
	had := n.sentRecently(chain, now)
	n.remember(chain, now)
	if p.read == nil {
		p.read = map[ChainKey]reading{}
	}
	if len(p.read) > maxRead {
		maps.DeleteFunc(p.read, func(_ ChainKey, r reading) bool { return now.Sub(r.at) >= sourceFor })
	}
	if old, ok := p.read[chain]; had && ok && old.engine == n.id && now.Sub(old.at) < n.service.keep/2 {
		return
	}
	ready := max(slowRead*n.readIn(usualChain), n.readIn(n.load(now, p.digestFor()).PrefillTokens))
	p.read[chain] = reading{engine: n.id, started: n.started, at: now, ready: now.Add(ready)}
}

// SentChains returns the chains that this daemon was the first to send somewhere lately, each in a few calls in a row.
func (p *Placer) SentChains() []SentChain {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := slices.Clone(p.sent)
	now := time.Now()
	keep := sentFor
	if p.FleetSize != nil {
		keep = fleet.ScaledTimeout(sentFor, sentBeats, p.FleetSize())
	}
	p.sent = slices.DeleteFunc(p.sent, func(s SentChain) bool { return now.Sub(s.at) > keep })
	return out
}

// ApplySentChains takes what a peer has sent.
func (p *Placer) ApplySentChains(sent []SentChain) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for _, s := range sent {
		if n := p.nodes[s.Engine]; n != nil {
			p.note(n, s.Chain, now)
		}
	}
}

// MarkActive notes that the upstream has sent something.
func (t *Tracker) MarkActive() {
	t.placer.mu.Lock()
	defer t.placer.mu.Unlock()
	t.node.heardAt = time.Now()
	t.node.bytesAt = t.node.heardAt
}

// ShouldAbort reports whether the answer is to be given up, as the upstream can't be reached or hangs.
func (t *Tracker) ShouldAbort() bool {
	t.placer.mu.Lock()
	defer t.placer.mu.Unlock()
	now, digest := time.Now(), t.placer.digestFor()
	if t.node.silent(now, digest) {
		t.node.setDown(now)
	}
	return t.node.lost(now, digest)
}

// DownAddresses returns the addresses of the upstreams that are taken to be down.
func (p *Placer) DownAddresses() map[ident.UpstreamID]string {
	listed := p.Snapshots.Upstreams().ByID
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[ident.UpstreamID]string{}
	for id, n := range p.nodes {
		if u := listed[id]; u != nil && n.down {
			out[id] = u.Address
		}
	}
	return out
}

// MarkReachable notes that a connection to an upstream succeeded.
func (p *Placer) MarkReachable(id ident.UpstreamID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.nodes[id]
	if n == nil || !n.down {
		return
	}
	now := time.Now()
	n.down, n.heardAt = false, now
	klog.InfoS("Upstream reached again", "upstream", id, "downMs", now.Sub(n.downSince).Milliseconds())
}

// MarkFirstEvent notes the first event: the prompt has been read.
func (t *Tracker) MarkFirstEvent() {
	t.placer.mu.Lock()
	defer t.placer.mu.Unlock()
	t.started()
}

func (t *Tracker) started() {
	now := time.Now()
	took := now.Sub(t.begun)
	if t.timed {
		t.node.service.reading.Observe(t.unread, took)
		t.timed = false
	}
	switch {
	case t.estimated > 0 && t.fetch == 0:
		t.node.observeSpeed(now, took, t.estimated)
	case t.estimated > 0:
		t.node.service.fetchWait.Observe(now, float64(max(0, took-t.estimated)))
	}
	t.estimated = 0
	t.node.own.PrefillTokens -= t.unread
	t.node.own.LatePrefillTokens -= t.late
	t.placer.ownFetching -= t.fetch
	t.unread, t.late, t.fetch = 0, 0, 0
}

// End notes the outcome of the attempt.
func (t *Tracker) End(o Outcome) {
	t.placer.mu.Lock()
	defer t.placer.mu.Unlock()
	t.timed, t.estimated = false, 0
	t.started()
	n, now := t.node, time.Now()
	n.own.Requests--
	if o == OutcomeSucceeded {
		n.service.holding.Observe(now.Sub(t.begun))
	}
	switch o {
	case OutcomeCancelled:
	case OutcomeUnreachable:
		n.setDown(now)
	default:
		n.failures.Observe(now, weightOf(o))
		if o == OutcomeMisdirected {
			// What the engine was taken to have is wrong: only its registration counts until it is seen again.
			n.weights = map[ident.ModelID]int64{}
		}
	}
}

// SetWeightVersion notes the version that an engine was seen to have.
func (p *Placer) SetWeightVersion(u *view.Upstream, model ident.ModelID, version int64) {
	if version <= 0 || model == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.node(u).saw(model, version)
}

// WeightVersion returns the version that an engine is known to have.
func (p *Placer) WeightVersion(u *view.Upstream, model ident.ModelID) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.node(u).weights[model]
}

// SetLoading keeps work off an engine for so long; 0 ends that.
func (p *Placer) SetLoading(id ident.UpstreamID, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u := p.Snapshots.Upstreams().ByID[id]; u != nil {
		p.node(u).loading = time.Now().Add(d)
	}
}

// WorkAt returns the work in progress at an upstream, that of peers included.
func (p *Placer) WorkAt(id ident.UpstreamID) OutstandingWork {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := p.nodes[id]; n != nil {
		return n.load(time.Now(), p.digestFor())
	}
	return OutstandingWork{}
}

// LocalWork returns the daemon's own work at all upstreams that have some, and the tokens that are fetched from the KV cache
// store for it.
func (p *Placer) LocalWork() (loads map[ident.UpstreamID]OutstandingWork, fetching ident.Tokens) {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[ident.UpstreamID]OutstandingWork{}
	for id, n := range p.nodes {
		if n.own != (OutstandingWork{}) {
			out[id] = n.own
		}
	}
	return out, p.ownFetching
}

// SetPeerWork takes a peer's work at all upstreams and what is fetched from the KV cache store for it.
func (p *Placer) SetPeerWork(peer ident.DaemonID, loads map[ident.UpstreamID]OutstandingWork, fetching ident.Tokens) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if p.peerFetching == nil {
		p.peerFetching = map[ident.DaemonID]peerLoad{}
	}
	p.peerFetching[peer] = peerLoad{OutstandingWork: OutstandingWork{PrefillTokens: fetching}, at: now}
	for id, l := range loads {
		if n := p.nodes[id]; n != nil {
			n.peers[peer] = peerLoad{OutstandingWork: l, at: now}
		}
	}
	// What the peer no longer tells of has ended.
	for id := range p.told[peer] {
		if n := p.nodes[id]; n != nil {
			if _, ok := loads[id]; !ok {
				delete(n.peers, peer)
			}
		}
	}
	if p.told == nil {
		p.told = map[ident.DaemonID]map[ident.UpstreamID]OutstandingWork{}
	}
	p.told[peer] = loads
}

// RemoveUnlisted drops what is known of upstreams that are no longer registered and have no work.
func (p *Placer) RemoveUnlisted() {
	listed := p.Snapshots.Upstreams().ByID
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, n := range p.nodes {
		if listed[id] == nil && n.own.Requests == 0 {
			delete(p.nodes, id)
		}
	}
}
