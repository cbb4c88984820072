// Package admit holds organisations to their rate and burst over all daemons together. Every daemon keeps the whole
// balance: its own admissions count at once, those of the others when their beats tell of them.
package admit

import (
	"sync"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/coordination/fleet"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

const (
	// rateShare refills faster than the rate by half of the allowed overage of 10 %, so that lag refuses nobody.
	rateShare = 1.05
	// overdraft is how far below zero a balance may go, in tokens: a quarter of the published slack of 110,000.
	overdraft = 27500.0
	// overdraftRequests is the same for limits that count requests.
	overdraftRequests = 2.0
	// silentAfter is how old a peer's count may be in a small fleet before the peer counts as silent, silentBeats the
	// same in beats.
	silentAfter = 400 * time.Millisecond
	silentBeats = 2.5
	// startShare is the part of the burst that is taken as left at the start: callers return together after an outage, and
	// what was left before it is not known.
	startShare = 0.2
	// settledAfter is how long after its start a daemon knows enough of what others admit.
	settledAfter = 2 * time.Second
	// rateWeight is the weight of the time since the last beat in a peer's rate.
	rateWeight = 0.4
	// minRetry and maxRetry bound when a refused caller is told to come back.
	minRetry = 150 * time.Millisecond
	maxRetry = 4 * time.Second
)

// Limiter holds the balances. Its fields are set before the first call.
type Limiter struct {
	// Lookup returns the organisation with its present limit, or nil.
	Lookup func(ident.OrganisationID) *view.Organisation
	// FleetSize returns the number of daemons, by which counts become older; nil for a small fleet.
	FleetSize func() int

	mu sync.Mutex
	// startedAt is when the daemon first heard of anything: what was admitted before is not known.
	startedAt time.Time
	accounts  map[ident.OrganisationID]*account
	peers     map[ident.DaemonID]*peer
}

type account struct {
	balance  float64
	at       time.Time
	admitted float64
	// adopted is true once the balance was taken from a peer that knew more.
	adopted bool
	// rate and burst are those of the last admission.
	rate, burst float64
}

type peer struct {
	incarnation uint64
	at          time.Time
	admitted    map[ident.OrganisationID]float64
	// rate is what the peer admitted a second, of late.
	rate map[ident.OrganisationID]float64
	// assumed is what was taken off for the peer since its last beat.
	assumed map[ident.OrganisationID]float64
	// rests is true for a peer that no requests reach: nothing is taken off for it while it is silent.
	rests bool
}

// Decision is the outcome of an admission with its inputs.
type Decision struct {
	Admitted bool
	// Balance is what was left before.
	Balance float64
	// RetryAfter is when the balance suffices, if nobody else takes of it.
	RetryAfter time.Duration
	// SilentPeers is the number of peers whose use was estimated.
	SilentPeers int
}

// Cost is what a request counts against the limit of its organisation.
func Cost(o *view.Organisation, in, out ident.Tokens, hasTokens bool) float64 {
	switch {
	case o.CountsRequests:
		return 1
	case hasTokens:
		return float64(in + out)
	default:
		return float64(o.PlainRequestTokens)
	}
}

// Admit takes the cost from the balance of the organisation if it suffices.
func (m *Limiter) Admit(o *view.Organisation, cost float64) Decision {
	if o.Rate <= 0 {
		return Decision{Admitted: true}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	a := m.account(o, now)
	a.refill(o, now)
	silent := m.estimate(o, now)
	d := Decision{Balance: a.balance, SilentPeers: silent}
	floor := m.floor(o, silent)
	need := min(cost, o.Burst)
	if a.balance-need < floor {
		wait := time.Duration((need + floor - a.balance) / o.Rate * float64(time.Second))
		d.RetryAfter = min(maxRetry, max(minRetry, wait))
		return d
	}
	a.balance -= cost
	a.admitted += cost
	d.Admitted = true
	return d
}

// floor returns how far below zero a balance may go. The daemons share the overdraft: within a beat they don't see each
// other's admissions.
func (m *Limiter) floor(o *view.Organisation, silent int) float64 {
	switch {
	case silent > 0:
		return 0
	case o.CountsRequests:
		return -overdraftRequests
	default:
		return -overdraft / float64(m.sharers())
	}
}

// Refund gives back the cost of a request that did not run.
func (m *Limiter) Refund(o *view.Organisation, cost float64) {
	if o.Rate <= 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if a := m.accounts[o.ID]; a != nil {
		a.balance = min(a.balance+cost, max(a.burst, 0))
		a.admitted -= cost
	}
}

func (m *Limiter) account(o *view.Organisation, now time.Time) *account {
	if m.accounts == nil {
		m.accounts = map[ident.OrganisationID]*account{}
	}
	a := m.accounts[o.ID]
	if a == nil {
		a = &account{balance: o.Burst * startShare, at: m.start(now)}
		m.accounts[o.ID] = a
	}
	a.rate, a.burst = o.Rate, o.Burst
	return a
}

// start returns when the daemon first heard of anything.
func (m *Limiter) start(now time.Time) time.Time {
	if m.startedAt.IsZero() {
		m.startedAt = now
	}
	return m.startedAt
}

func (a *account) refill(o *view.Organisation, now time.Time) {
	a.balance = min(a.balance+now.Sub(a.at).Seconds()*o.Rate*rateShare, o.Burst)
	a.at = now
}

// estimate takes off what peers will have admitted since their last beats: as much a second as of late, and an even
// share of the rate at least once they are silent. It returns the number of silent peers.
func (m *Limiter) estimate(o *view.Organisation, now time.Time) int {
	a := m.accounts[o.ID]
	silent, patience := 0, silentAfter
	if m.FleetSize != nil {
		patience = fleet.ScaledTimeout(silentAfter, silentBeats, m.FleetSize())
	}
	share := o.Rate / float64(m.sharers())
	for _, p := range m.peers {
		if p.rests {
			continue
		}
		age := now.Sub(p.at)
		due := age.Seconds() * p.rate[o.ID]
		if age > patience {
			silent++
			due = max(due, (age-patience).Seconds()*share)
		}
		if more := due - p.assumed[o.ID]; more > 0 {
			a.balance -= more
			p.assumed[o.ID] = due
		}
	}
	return silent
}

// sharers returns the number of daemons that requests reach, this one included.
func (m *Limiter) sharers() int {
	n := 1
	for _, p := range m.peers {
		if !p.rests {
			n++
		}
	}
	return n
}

// Usage is what a daemon has admitted of an organisation's requests since its start.
type Usage struct {
	Admitted float64
	// Balance is what is left in the daemon's view; it counts only if Settled.
	Balance float64
	// Converged is false for a daemon that has just started and knows little of what was admitted before.
	Converged bool
}

// Usage returns what this daemon has admitted since its start.
func (m *Limiter) Usage() map[ident.OrganisationID]Usage {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	settled := !m.startedAt.IsZero() && now.Sub(m.startedAt) > settledAfter
	out := make(map[ident.OrganisationID]Usage, len(m.accounts))
	for id, a := range m.accounts {
		if o := m.Lookup(id); o != nil && o.Rate > 0 {
			a.refill(o, now)
		}
		out[id] = Usage{Admitted: a.admitted, Balance: a.balance, Converged: settled || a.adopted}
	}
	return out
}

// ApplyPeerUsage takes what a peer has admitted since its start.
func (m *Limiter) ApplyPeerUsage(id ident.DaemonID, incarnation uint64, uses map[ident.OrganisationID]Usage) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.peers == nil {
		m.peers = map[ident.DaemonID]*peer{}
	}
	m.start(time.Now())
	p := m.peers[id]
	if p == nil {
		// What the peer admitted before this daemon heard of it is in the balance that the daemon starts with.
		p = &peer{incarnation: incarnation, admitted: map[ident.OrganisationID]float64{}}
		for org, use := range uses {
			p.admitted[org] = use.Admitted
		}
		m.peers[id] = p
	}
	if p.incarnation != incarnation {
		p.incarnation = incarnation
		p.admitted = map[ident.OrganisationID]float64{}
	}
	p.rests = false
	now := time.Now()
	rates := make(map[ident.OrganisationID]float64, len(uses))
	admitted := make(map[ident.OrganisationID]float64, len(uses))
	for org, use := range uses {
		used := use.Admitted - p.admitted[org]
		m.charge(org, used-p.assumed[org])
		m.adopt(org, use, now)
		admitted[org], rates[org] = use.Admitted, p.rate[org]
		if since := now.Sub(p.at).Seconds(); since > 0 && !p.at.IsZero() {
			rates[org] += rateWeight * (max(0, used)/since - p.rate[org])
		}
	}
	p.admitted, p.rate = admitted, rates
	p.assumed = map[ident.OrganisationID]float64{}
	p.at = now
}

// adopt takes the balance of a peer that knows more, once after the start.
func (m *Limiter) adopt(org ident.OrganisationID, use Usage, now time.Time) {
	a := m.accounts[org]
	if a == nil || a.adopted || !use.Converged || now.Sub(m.startedAt) > settledAfter {
		return
	}
	a.balance, a.adopted = min(use.Balance, a.burst), true
}

// charge takes a peer's admissions off the balance, also of an organisation that this daemon has not served yet.
func (m *Limiter) charge(org ident.OrganisationID, used float64) {
	o := m.Lookup(org)
	if o == nil || o.Rate <= 0 {
		return
	}
	now := time.Now()
	a := m.account(o, now)
	a.refill(o, now)
	a.balance = min(a.balance-used, a.burst)
}

// MarkIdle notes that hardly any requests reach a peer, so that nothing is taken off for it until it is heard again.
func (m *Limiter) MarkIdle(id ident.DaemonID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.peers[id]; p != nil {
		p.rests = true
	}
}

// AdoptBalances takes the balances of a daemon that requests reach, for one that they don't reach.
func (m *Limiter) AdoptBalances(uses map[ident.OrganisationID]Usage) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.start(now)
	for org, use := range uses {
		o := m.Lookup(org)
		if o == nil || o.Rate <= 0 || !use.Converged {
			continue
		}
		a := m.account(o, now)
		a.refill(o, now)
		a.balance = min(use.Balance, a.burst)
	}
}

// RemovePeer forgets a peer that has left the fleet.
func (m *Limiter) RemovePeer(id ident.DaemonID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.peers, id)
}
