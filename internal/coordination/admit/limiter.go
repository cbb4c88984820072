// Package admit enforces the rate limits (rate and burst) of organisations over all daemons together. Every daemon
// keeps the whole balance of each organisation: its own admissions count at once, those of its peers when their
// heartbeats report them. While a peer is silent, its admissions are estimated.
package admit

import (
	"sync"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/coordination/fleet"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

const (
	// refillFactor refills balances faster than the rate by half of the allowed overage of 10 %, so that the lag of
	// peers' reports doesn't cause rejections.
	refillFactor = 1.05
	// maxOverdraftTokens is how far below zero a balance may go, in tokens: a quarter of the documented slack of
	// 110,000 tokens.
	maxOverdraftTokens = 27500.0
	// maxOverdraftRequests is the same for limits that count requests.
	maxOverdraftRequests = 2.0
	// silenceTimeout is the age of a peer's last report after which the peer counts as silent in a small fleet.
	// silenceHeartbeats is the same as a number of heartbeat periods; the longer of the two applies.
	silenceTimeout    = 400 * time.Millisecond
	silenceHeartbeats = 2.5
	// initialBurstShare is the share of the burst that a balance starts with. Callers return at the same time after an
	// outage, and what was left before it is not known.
	initialBurstShare = 0.2
	// convergenceTime is how long after its start a daemon knows enough of its peers' admissions.
	convergenceTime = 2 * time.Second
	// rateEWMAWeight is the weight of the time since the last report in the moving average of a peer's rate.
	rateEWMAWeight = 0.4
	// minRetryAfter and maxRetryAfter bound the Retry-After of a rejected request.
	minRetryAfter = 150 * time.Millisecond
	maxRetryAfter = 4 * time.Second
)

// Limiter holds the balances of all organisations. Its fields are set before the first call.
type Limiter struct {
	// Lookup returns the organisation with its current limit, or nil.
	Lookup func(ident.OrganisationID) *view.Organisation
	// FleetSize returns the number of daemons, which lengthens the silence timeout; nil for a small fleet.
	FleetSize func() int

	mu sync.Mutex
	// startedAt is the time of the first admission or peer report. What was admitted before is not known.
	startedAt time.Time
	accounts  map[ident.OrganisationID]*account
	peers     map[ident.DaemonID]*peer
}

type account struct {
	balance    float64
	refilledAt time.Time
	admitted   float64
	// adopted is true once the balance was taken from a peer that had converged.
	adopted bool
	// rate and burst are the limit as of the last use of the account.
	rate, burst float64
}

type peer struct {
	incarnation uint64
	lastUsageAt time.Time
	admitted    map[ident.OrganisationID]float64
	// rate is a moving average of the peer's admitted cost per second.
	rate map[ident.OrganisationID]float64
	// estimatedUse is the cost that the peer is estimated to have admitted since its last report, chargedUse the part of it that was
	// charged.
	estimatedUse, chargedUse map[ident.OrganisationID]float64
	// idle is true for a peer that gets hardly any requests: nothing is charged for it while it is silent.
	idle bool
}

// Decision is the result of an admission, with its inputs.
type Decision struct {
	Admitted bool
	// Balance is the balance before the admission.
	Balance float64
	// RetryAfter is the time until the balance suffices if nothing else is admitted, within its bounds.
	RetryAfter time.Duration
	// SilentPeers is the number of peers whose use was estimated.
	SilentPeers int
}

// Cost returns what a request counts against its organisation's limit, in tokens or requests. in and out are the
// numbers of prompt and output tokens; they are ignored unless hasTokens is true.
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

// Admit charges the cost to the organisation's balance if the balance suffices.
func (l *Limiter) Admit(o *view.Organisation, cost float64) Decision {
	if o.Rate <= 0 {
		return Decision{Admitted: true}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	a := l.account(o, now)
	a.refill(o, now)
	silentPeers := l.chargeEstimates(o, now)
	d := Decision{Balance: a.balance, SilentPeers: silentPeers}
	minBalance := l.minBalance(o, silentPeers)
	required := min(cost, o.Burst)
	if a.balance-required < minBalance {
		wait := time.Duration((required + minBalance - a.balance) / o.Rate * float64(time.Second))
		d.RetryAfter = min(maxRetryAfter, max(minRetryAfter, wait))
		return d
	}
	a.balance -= cost
	a.admitted += cost
	d.Admitted = true
	return d
}

// minBalance returns the lowest balance that an admission may leave. Active daemons share the overdraft, because they
// don't see each other's admissions between heartbeats. There is none while a peer is silent.
func (l *Limiter) minBalance(o *view.Organisation, silentPeers int) float64 {
	switch {
	case silentPeers > 0:
		return 0
	case o.CountsRequests:
		return -maxOverdraftRequests
	default:
		return -maxOverdraftTokens / float64(l.activeDaemons())
	}
}

// Refund adds the cost of a request that did not run back to the balance.
func (l *Limiter) Refund(o *view.Organisation, cost float64) {
	if o.Rate <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.accounts[o.ID]; a != nil {
		a.balance = min(a.balance+cost, max(a.burst, 0))
		a.admitted -= cost
	}
}

func (l *Limiter) account(o *view.Organisation, now time.Time) *account {
	if l.accounts == nil {
		l.accounts = map[ident.OrganisationID]*account{}
	}
	a := l.accounts[o.ID]
	if a == nil {
		a = &account{balance: o.Burst * initialBurstShare, refilledAt: l.startTime(now)}
		l.accounts[o.ID] = a
	}
	a.rate, a.burst = o.Rate, o.Burst
	return a
}

// startTime returns startedAt and sets it on the first call.
func (l *Limiter) startTime(now time.Time) time.Time {
	if l.startedAt.IsZero() {
		l.startedAt = now
	}
	return l.startedAt
}

func (a *account) refill(o *view.Organisation, now time.Time) {
	a.balance = min(a.balance+now.Sub(a.refilledAt).Seconds()*o.Rate*refillFactor, o.Burst)
	a.refilledAt = now
}

// chargeEstimates charges what peers are estimated to have admitted since their last reports: at their recent rate, and
// once they are silent at least at an even share of the organisation's rate. All daemons together admit no more than the balance, so that
// what silent peers are presumed to have admitted takes no more than that. It returns the number of silent peers.
func (l *Limiter) chargeEstimates(o *view.Organisation, now time.Time) int {
	a := l.accounts[o.ID]
	silentPeers, timeout := 0, silenceTimeout
	if l.FleetSize != nil {
		timeout = fleet.ScaledTimeout(silenceTimeout, silenceHeartbeats, l.FleetSize())
	}
	evenShare := o.Rate / float64(l.activeDaemons())
	for _, p := range l.peers {
		if p.idle {
			continue
		}
		age := now.Sub(p.lastUsageAt)
		expectedUse := age.Seconds() * p.rate[o.ID]
		if age > timeout {
			silentPeers++
			expectedUse = max(expectedUse, (age-timeout).Seconds()*evenShare)
		}
		if increase := expectedUse - p.estimatedUse[o.ID]; increase > 0 {
			p.estimatedUse[o.ID] = expectedUse
			if age > timeout {
				increase = min(increase, max(a.balance, 0))
			}
			a.balance -= increase
			p.chargedUse[o.ID] += increase
		}
	}
	return silentPeers
}

// activeDaemons returns the number of daemons that requests reach, this one included.
func (l *Limiter) activeDaemons() int {
	n := 1
	for _, p := range l.peers {
		if !p.idle {
			n++
		}
	}
	return n
}

// Usage is what a daemon has admitted of an organisation's requests since its start.
type Usage struct {
	Admitted float64
	// Balance is the organisation's balance as the daemon knows it. It is only meaningful if Converged is true.
	Balance float64
	// Converged is false for a daemon that has just started and knows little of what was admitted before.
	Converged bool
}

// Usage returns what this daemon has admitted since its start, by organisation.
func (l *Limiter) Usage() map[ident.OrganisationID]Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	converged := !l.startedAt.IsZero() && now.Sub(l.startedAt) > convergenceTime
	out := make(map[ident.OrganisationID]Usage, len(l.accounts))
	for id, a := range l.accounts {
		if o := l.Lookup(id); o != nil && o.Rate > 0 {
			a.refill(o, now)
		}
		out[id] = Usage{Admitted: a.admitted, Balance: a.balance, Converged: converged || a.adopted}
	}
	return out
}

// ApplyPeerUsage applies a peer's report of what it has admitted since its start.
func (l *Limiter) ApplyPeerUsage(id ident.DaemonID, incarnation uint64, usages map[ident.OrganisationID]Usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.peers == nil {
		l.peers = map[ident.DaemonID]*peer{}
	}
	l.startTime(time.Now())
	p := l.peers[id]
	if p == nil {
		// The initial balance already accounts for what the peer admitted before its first report.
		p = &peer{incarnation: incarnation, admitted: map[ident.OrganisationID]float64{}}
		for org, usage := range usages {
			p.admitted[org] = usage.Admitted
		}
		l.peers[id] = p
	}
	if p.incarnation != incarnation {
		p.incarnation = incarnation
		p.admitted = map[ident.OrganisationID]float64{}
	}
	p.idle = false
	now := time.Now()
	rates := make(map[ident.OrganisationID]float64, len(usages))
	admitted := make(map[ident.OrganisationID]float64, len(usages))
	for org, usage := range usages {
		newUse := usage.Admitted - p.admitted[org]
		l.charge(org, newUse-p.chargedUse[org])
		l.adopt(org, usage, now)
		admitted[org], rates[org] = usage.Admitted, p.rate[org]
		if elapsed := now.Sub(p.lastUsageAt).Seconds(); elapsed > 0 && !p.lastUsageAt.IsZero() {
			rates[org] += rateEWMAWeight * (max(0, newUse)/elapsed - p.rate[org])
		}
	}
	p.admitted, p.rate = admitted, rates
	p.estimatedUse, p.chargedUse = map[ident.OrganisationID]float64{}, map[ident.OrganisationID]float64{}
	p.lastUsageAt = now
}

// adopt takes over the balance of a converged peer, at most once and only within convergenceTime after the start.
func (l *Limiter) adopt(org ident.OrganisationID, usage Usage, now time.Time) {
	a := l.accounts[org]
	if a == nil || a.adopted || !usage.Converged || now.Sub(l.startedAt) > convergenceTime {
		return
	}
	a.balance, a.adopted = min(usage.Balance, a.burst), true
}

// charge charges a peer's admissions to the balance, also for an organisation that this daemon has not served yet.
func (l *Limiter) charge(org ident.OrganisationID, newUse float64) {
	o := l.Lookup(org)
	if o == nil || o.Rate <= 0 {
		return
	}
	now := time.Now()
	a := l.account(o, now)
	a.refill(o, now)
	a.balance = min(a.balance-newUse, a.burst)
}

// MarkIdle marks a peer as idle: nothing is charged for it until its next usage report.
func (l *Limiter) MarkIdle(id ident.DaemonID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p := l.peers[id]; p != nil {
		p.idle = true
	}
}

// AdoptBalances takes over the balances of a daemon that gets requests. It is for a daemon that gets none itself.
func (l *Limiter) AdoptBalances(usages map[ident.OrganisationID]Usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.startTime(now)
	for org, usage := range usages {
		o := l.Lookup(org)
		if o == nil || o.Rate <= 0 || !usage.Converged {
			continue
		}
		a := l.account(o, now)
		a.refill(o, now)
		a.balance = min(usage.Balance, a.burst)
	}
}

// RemovePeer removes a peer that has left the fleet.
func (l *Limiter) RemovePeer(id ident.DaemonID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.peers, id)
}
