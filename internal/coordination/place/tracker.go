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

// Outcome is the result of an attempt to run a request at an upstream.
type Outcome uint8

// Outcomes of an attempt.
const (
	// OutcomeSucceeded: the response is complete.
	OutcomeSucceeded Outcome = iota
	// OutcomeFailed: the upstream responded with an error of its own.
	OutcomeFailed
	// OutcomeBroken: the connection broke after the request was sent.
	OutcomeBroken
	// OutcomeRejected: the upstream refused to run the request.
	OutcomeRejected
	// OutcomeMisdirected: the upstream is another one than expected or has other weights.
	OutcomeMisdirected
	// OutcomeUnreachable: no connection could be made.
	OutcomeUnreachable
	// OutcomeTimeout: the upstream did not respond in time.
	OutcomeTimeout
	// OutcomeCancelled: the caller left.
	OutcomeCancelled
)

// failureScore returns how much an outcome counts in the failure rate of the upstream, from 0 to 1.
func failureScore(o Outcome) float64 {
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
	placer                           *Placer
	upstreamState                    *upstreamState
	prefillTokens, latePrefillTokens ident.Tokens
	// fetchTokens are the tokens that the engine is fetching from the KV cache store.
	fetchTokens ident.Tokens
	// startedAt is when the attempt began. measuresPrefill says that the time to its first event is a sample of the
	// engine's prefill time: no other prompt had to be processed before it, and nothing is fetched.
	// foundSlot says that the engine had a free slot.
	startedAt time.Time
	// slotAt is when the request is estimated to have got its slot: by its first event, less the time that its own prompt takes. It is zero
	// before the first event.
	slotAt                     time.Time
	measuresPrefill, foundSlot bool
	// estimatedTTFT is the estimated time to the first event; 0 if there is no estimate.
	estimatedTTFT time.Duration
	// unanswered says that the request is beyond this daemon's places at the upstream and has no response yet.
	unanswered bool
}

// Begin accounts for an attempt that is about to be sent.
func (p *Placer) Begin(c *Choice, r *Request) *Tracker {
	p.beginCold(c)
	p.mu.Lock()
	defer p.mu.Unlock()
	state, now := p.upstreamState(c.Upstream), time.Now()
	if state.own.Requests == 0 {
		state.lastActiveAt, state.lastBytesAt = now, now
	}
	work := state.totalWork(now, p.peerReportTTL())
	idle := work.PrefillTokens == 0
	state.own.Requests++
	if c.reserved {
		state.chosen--
	}
	state.own.PrefillTokens += c.PrefillTokens
	var latePrefillTokens ident.Tokens
	if c.Late {
		latePrefillTokens = c.PrefillTokens
		state.own.LatePrefillTokens += latePrefillTokens
	}
	state.estimates.urgency.observe(now, r.Priority, c.Late, c.PrefillTokens)
	if chain := sharedChain(r); chain != "" {
		salt := CacheSalt(c.WeightVersion, r.CacheScope)
		for _, part := range r.Parts[:len(r.Parts)-1] {
			p.recordSentChain(state, newChainKey(salt, part.ID))
		}
		c.SaveToStore = c.SaveToStore && c.Store.MarkSaveRequested(salt, lastSharedPart(r))
	}
	if r.Model != "" {
		state.estimates.fillRate.Add(uncachedTokens(c, r))
	}
	t := &Tracker{
		placer: p, upstreamState: state, prefillTokens: c.PrefillTokens, latePrefillTokens: latePrefillTokens, startedAt: now,
		estimatedTTFT: c.Wait.Total, unanswered: c.risky,
		measuresPrefill: idle && r.Model != "" && (c.MissedTokens == 0 || c.Locality == CachedMiss),
		foundSlot:       r.Model != "" && (c.Upstream.Slots <= 0 || work.Requests < c.Upstream.Slots),
	}
	if r.Model != "" {
		state.unbegun[t] = now
	}
	if c.Fetch == FetchFromStore {
		t.fetchTokens = c.MissedTokens
		p.ownFetchTokens += t.fetchTokens
	}
	return t
}

// uncachedTokens returns the number of prompt tokens that the engine is not assumed to have cached yet.
func uncachedTokens(c *Choice, r *Request) ident.Tokens {
	return max(0, r.Input-sharedTokens(r)) + c.MissedTokens
}

// recordSentChain records that this daemon sends a chain to an engine. The chain is reported to peers unless it was
// already sent there less than half the cache retention ago.
func (p *Placer) recordSentChain(state *upstreamState, chain ChainKey) {
	now := time.Now()
	if !state.sentRecently(chain, now.Add(state.estimates.cacheRetention/2)) && len(p.sentChains) < maxSentChains {
		p.sentChains = append(p.sentChains, SentChain{Chain: chain, Engine: state.id, sentAt: now})
	}
	p.applySentChain(state, chain, now)
}

// applySentChain records that this daemon or a peer sent a chain to an engine.
func (p *Placer) applySentChain(state *upstreamState, chain ChainKey, now time.Time) {
	hadChain := state.sentRecently(chain, now)
	state.recordSent(chain, now)
	if p.prefills == nil {
		p.prefills = map[ChainKey]prefillRecord{}
	}
	if len(p.prefills) > maxPrefillRecords {
		maps.DeleteFunc(p.prefills, func(_ ChainKey, r prefillRecord) bool { return now.Sub(r.sentAt) >= fetchSourceTTL })
	}
	if old, ok := p.prefills[chain]; hadChain && ok && old.engine == state.id && now.Sub(old.sentAt) < state.estimates.cacheRetention/2 {
		return
	}
	ready := max(prefillSlackFactor*state.prefillTime(meanChainTokens), state.prefillTime(state.totalWork(now, p.peerReportTTL()).PrefillTokens))
	p.prefills[chain] = prefillRecord{engine: state.id, incarnation: state.incarnation, sentAt: now, ready: now.Add(ready)}
}

// SentChains returns the chains that this daemon was recently the first to send to an engine. Each is returned for
// minSentChainTTL or longer, so that it is in several heartbeats in a row.
func (p *Placer) SentChains() []SentChain {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := slices.Clone(p.sentChains)
	now := time.Now()
	ttl := minSentChainTTL
	if p.FleetSize != nil {
		ttl = fleet.ScaledTimeout(minSentChainTTL, sentChainTTLHeartbeats, p.FleetSize())
	}
	p.sentChains = slices.DeleteFunc(p.sentChains, func(s SentChain) bool { return now.Sub(s.sentAt) > ttl })
	return out
}

// ApplySentChains records the chains that a peer has sent to engines.
func (p *Placer) ApplySentChains(sent []SentChain) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for _, s := range sent {
		if state := p.upstreamStates[s.Engine]; state != nil {
			p.applySentChain(state, s.Chain, now)
		}
	}
}

// MarkActive records that the upstream has sent something.
func (t *Tracker) MarkActive() {
	t.placer.mu.Lock()
	defer t.placer.mu.Unlock()
	t.upstreamState.lastActiveAt = time.Now()
	t.upstreamState.lastBytesAt = t.upstreamState.lastActiveAt
	t.upstreamState.heardAt = t.upstreamState.lastActiveAt
	t.endRisk()
}

// endRisk records that the upstream can no longer reject the request. The caller holds the placer's mutex.
func (t *Tracker) endRisk() {
	if t.unanswered {
		t.unanswered = false
		t.upstreamState.unanswered--
	}
}

// ShouldAbort reports whether the attempt is to be aborted, because the upstream can't be reached or hangs.
func (t *Tracker) ShouldAbort() bool {
	t.placer.mu.Lock()
	defer t.placer.mu.Unlock()
	now, maxReportAge := time.Now(), t.placer.peerReportTTL()
	if t.upstreamState.isSilent(now, maxReportAge) {
		t.upstreamState.markDown(now)
	}
	return t.upstreamState.shouldAbort(now, maxReportAge)
}

// Silence describes an upstream that sends nothing.
type Silence struct {
	// For is how long it has sent nothing, Requests the number of this daemon's requests there and PeerRequests that of its peers.
	For                    time.Duration
	Requests, PeerRequests int
	// Down says that it is taken to be unreachable, since DownFor, and Hung that it accepts connections but is taken to hang.
	Down, Hung bool
	DownFor    time.Duration
}

// Silence describes the silence of the attempt's upstream.
func (t *Tracker) Silence() Silence {
	t.placer.mu.Lock()
	defer t.placer.mu.Unlock()
	state, now, maxReportAge := t.upstreamState, time.Now(), t.placer.peerReportTTL()
	s := Silence{
		For: now.Sub(state.lastBytesAt), Requests: state.own.Requests, Down: state.down, Hung: state.isHung(now, maxReportAge),
		PeerRequests: state.totalWork(now, maxReportAge).Requests - state.own.Requests,
	}
	if s.Down {
		s.DownFor = now.Sub(state.downSince)
	}
	return s
}

// DownAddresses returns the addresses of the upstreams that are taken to be down.
func (p *Placer) DownAddresses() map[ident.UpstreamID]string {
	listed := p.Snapshots.Upstreams().ByID
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[ident.UpstreamID]string{}
	for id, state := range p.upstreamStates {
		if u := listed[id]; u != nil && state.down {
			out[id] = u.Address
		}
	}
	return out
}

// MarkReachable records that a connection to an upstream succeeded, so that it takes requests again.
func (p *Placer) MarkReachable(id ident.UpstreamID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.upstreamStates[id]
	if state == nil || !state.down {
		return
	}
	now := time.Now()
	state.down, state.lastActiveAt = false, now
	klog.InfoS("Upstream reached again", "upstream", id, "downMs", now.Sub(state.downSince).Milliseconds())
}

// MarkConnecting records that a connection to an upstream that is down is tried, until MarkReachable or MarkRefused.
func (p *Placer) MarkConnecting(id ident.UpstreamID) { p.setConnectUnanswered(id, true) }

// MarkRefused records that a connection to an upstream that is down was refused, so that what is open there is lost if the upstream is silent.
func (p *Placer) MarkRefused(id ident.UpstreamID) { p.setConnectUnanswered(id, false) }

func (p *Placer) setConnectUnanswered(id ident.UpstreamID, unanswered bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if state := p.upstreamStates[id]; state != nil {
		state.connectUnanswered = unanswered && state.down
	}
}

// MarkUnreachable records that no connection to an upstream could be made.
func (p *Placer) MarkUnreachable(id ident.UpstreamID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if state := p.upstreamStates[id]; state != nil {
		state.markDown(time.Now())
	}
}

// HasHeardWithin reports whether an upstream has sent anything within the last d.
func (p *Placer) HasHeardWithin(id ident.UpstreamID, d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.upstreamStates[id]
	return state != nil && time.Since(state.heardAt) <= d
}

// MarkFirstEvent records the first event of the response: the prompt has been processed.
func (t *Tracker) MarkFirstEvent() {
	t.placer.mu.Lock()
	defer t.placer.mu.Unlock()
	t.recordFirstEvent()
}

// recordFirstEvent updates the estimates with the time to the first event, and removes the prompt from the
// outstanding work.
func (t *Tracker) recordFirstEvent() {
	now := time.Now()
	took := now.Sub(t.startedAt)
	t.recordWait(now)
	if t.measuresPrefill {
		t.upstreamState.estimates.prefill.Observe(t.prefillTokens, took)
		t.measuresPrefill = false
	}
	if t.foundSlot {
		t.upstreamState.estimates.firstToken.Observe(took)
		t.foundSlot = false
	}
	switch {
	case t.estimatedTTFT > 0 && t.fetchTokens == 0:
		t.upstreamState.observeTTFT(now, took, t.estimatedTTFT)
	case t.estimatedTTFT > 0:
		t.upstreamState.estimates.fetchWait.Observe(now, float64(max(0, took-t.estimatedTTFT)))
	}
	t.estimatedTTFT = 0
	if est := t.upstreamState.estimates; t.slotAt.IsZero() {
		t.slotAt = now.Add(-min(took, est.prefill.Overhead()+t.upstreamState.prefillTime(t.prefillTokens)))
	}
	t.upstreamState.own.PrefillTokens -= t.prefillTokens
	t.upstreamState.own.LatePrefillTokens -= t.latePrefillTokens
	t.placer.ownFetchTokens -= t.fetchTokens
	t.prefillTokens, t.latePrefillTokens, t.fetchTokens = 0, 0, 0
}

// recordWait records that the request no longer waits for its first token. One that ends without it would have waited longer.
func (t *Tracker) recordWait(now time.Time) {
	sentAt, waits := t.upstreamState.unbegun[t]
	if !waits {
		return
	}
	delete(t.upstreamState.unbegun, t)
	t.upstreamState.firstTokenWait.Observe(now, float64(now.Sub(sentAt)))
}

// End records the outcome of the attempt.
func (t *Tracker) End(o Outcome) {
	t.placer.mu.Lock()
	defer t.placer.mu.Unlock()
	t.measuresPrefill, t.foundSlot, t.estimatedTTFT = false, false, 0
	if t.slotAt.IsZero() {
		// Without events nothing tells when the request got its slot.
		t.slotAt = t.startedAt
	}
	t.recordFirstEvent()
	t.endRisk()
	state, now := t.upstreamState, time.Now()
	state.own.Requests--
	if o == OutcomeSucceeded {
		state.estimates.serviceTime.Observe(now.Sub(t.startedAt))
		state.estimates.slotTime.Observe(now.Sub(t.slotAt))
	}
	switch o {
	case OutcomeCancelled:
	case OutcomeUnreachable:
		state.markDown(now)
	default:
		state.failureRate.Observe(now, failureScore(o))
		if o == OutcomeMisdirected {
			// The recorded weight versions are wrong: only the engine's registration counts until its version is
			// observed again.
			state.weights = map[ident.ModelID]int64{}
		}
	}
}

// SetWeightVersion records the weight version that this incarnation of an engine was observed to have.
func (p *Placer) SetWeightVersion(u *view.Upstream, model ident.ModelID, version int64) {
	if version <= 0 || model == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if state := p.upstreamState(u); state.incarnation == u.Incarnation {
		state.setWeightVersion(model, version)
	}
}

// WeightVersion returns the weight version that an engine is known to have.
func (p *Placer) WeightVersion(u *view.Upstream, model ident.ModelID) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.upstreamState(u).weights[model]
}

// SetLoading keeps requests away from an engine for the given time, in which it loads weights; 0 ends that.
func (p *Placer) SetLoading(id ident.UpstreamID, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u := p.Snapshots.Upstreams().ByID[id]; u != nil {
		p.upstreamState(u).loadingUntil = time.Now().Add(d)
	}
}

// WorkAt returns the outstanding work of all daemons at an upstream.
func (p *Placer) WorkAt(id ident.UpstreamID) OutstandingWork {
	p.mu.Lock()
	defer p.mu.Unlock()
	if state := p.upstreamStates[id]; state != nil {
		return state.totalWork(time.Now(), p.peerReportTTL())
	}
	return OutstandingWork{}
}

// LocalWork returns this daemon's outstanding work at all upstreams that have some, and the tokens that engines are
// fetching from KV cache stores for it.
func (p *Placer) LocalWork() (work map[ident.UpstreamID]OutstandingWork, fetchTokens ident.Tokens) {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[ident.UpstreamID]OutstandingWork{}
	for id, state := range p.upstreamStates {
		if state.own != (OutstandingWork{}) {
			out[id] = state.own
		}
	}
	return out, p.ownFetchTokens
}

// SetPeerWork records a peer's outstanding work at all upstreams, and the tokens that engines are fetching from KV
// cache stores for it.
func (p *Placer) SetPeerWork(peer ident.DaemonID, work map[ident.UpstreamID]OutstandingWork, fetchTokens ident.Tokens) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if p.peerFetchTokens == nil {
		p.peerFetchTokens = map[ident.DaemonID]peerReport{}
	}
	p.peerFetchTokens[peer] = peerReport{OutstandingWork: OutstandingWork{PrefillTokens: fetchTokens}, receivedAt: now}
	for id, w := range work {
		if state := p.upstreamStates[id]; state != nil {
			state.peerWork[peer] = peerReport{OutstandingWork: w, receivedAt: now}
		}
	}
	// Work that the peer no longer reports has ended.
	for id := range p.reportedWork[peer] {
		if state := p.upstreamStates[id]; state != nil {
			if _, ok := work[id]; !ok {
				delete(state.peerWork, peer)
			}
		}
	}
	if p.reportedWork == nil {
		p.reportedWork = map[ident.DaemonID]map[ident.UpstreamID]OutstandingWork{}
	}
	p.reportedWork[peer] = work
}

// RemoveUnlisted removes the state of upstreams that are no longer registered, have no requests of this daemon and gave it no
// notice lately.
func (p *Placer) RemoveUnlisted() {
	listed := p.Snapshots.Upstreams().ByID
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, state := range p.upstreamStates {
		if listed[id] == nil && state.own.Requests == 0 && state.chosen == 0 && time.Since(state.noticedAt) > noticeTTL {
			delete(p.upstreamStates, id)
		}
	}
}
