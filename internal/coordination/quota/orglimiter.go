package quota

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// orgLimiter is one daemon's state for one organisation. Its mutex is never held across I/O.
type orgLimiter struct {
	limiter *Limiter
	org     ident.OrganisationID

	mu sync.Mutex
	// inputs are what the share and the limit were derived from; nil before the first view.
	inputs []limitInputs
	exists bool
	limit  Limit
	// homes are the other homes of the organisation.
	homes []ident.DaemonID
	// bucket is this daemon's share; nil when it is not a home.
	bucket *bucket
	// heldGrants are the unspent grants of other homes, oldest first.
	heldGrants   []heldGrant
	homeStates   map[ident.DaemonID]*homeState
	queue        []*waiter
	queuedTokens ident.Tokens
	demand       demand
	// nextHome is the round-robin position among the homes that can be asked.
	nextHome int
	// queueRunning is true while a goroutine serves the queue; wake makes it look at the queue again.
	queueRunning bool
	wake         chan struct{}
}

// heldGrant is the unspent part of a grant at the daemon that it was issued to.
type heldGrant struct {
	home      ident.DaemonID
	grantID   uint64
	tokens    ident.Tokens
	expiresAt time.Time
	// keepUntil is the time from which the tokens are returned or renewed.
	keepUntil time.Time
	// renewing is true while a renewal is in flight.
	renewing bool
}

// homeState is what this daemon knows of another home of the organisation.
type homeState struct {
	// askInFlight is true while an ask for askedTokens, made at askedAt, is unanswered.
	askInFlight bool
	askedTokens ident.Tokens
	askedAt     time.Time
	// answeredAt is the time of the home's latest answer to an ask for tokens. If it could not grant all of them, it
	// expects to refill expectedRate tokens a second for this daemon and to have the rest at retryAt.
	answeredAt, retryAt time.Time
	expectedRate        float64
	// transferInFlight is true while a transfer is unanswered; none is asked for before nextTransferAt.
	transferInFlight bool
	nextTransferAt   time.Time
	// unreachableUntil is set when the home did not answer; before it the home is not asked.
	unreachableUntil time.Time
	// unsentSettlements holds, by grant ID, the settlements that no request contains yet.
	unsentSettlements map[uint64]*wire.GrantSettlement
	// unreportedTokens counts the spent and unused tokens in unsentSettlements.
	unreportedTokens ident.Tokens
}

// readyAt returns when the home is expected to have the given number of tokens.
func (h *homeState) readyAt(part float64) time.Time {
	if h.expectedRate <= 0 {
		return h.retryAt
	}
	pause := max(minHomeRetryPause, time.Duration(part/h.expectedRate*float64(time.Second)))
	return earlier(h.retryAt, h.answeredAt.Add(pause))
}

// demand estimates the tokens a second that requests ask for, with exponential decay (demandTimeConstant).
type demand struct {
	tokensPerSecond float64
	updatedAt       time.Time
}

func (d *demand) add(n ident.Tokens, now time.Time) {
	d.tokensPerSecond = d.rate(now) + float64(n)/demandTimeConstant.Seconds()
	d.updatedAt = now
}

func (d *demand) rate(now time.Time) float64 {
	if d.updatedAt.IsZero() {
		return 0
	}
	return d.tokensPerSecond * math.Exp(-now.Sub(d.updatedAt).Seconds()/demandTimeConstant.Seconds())
}

// observe applies a view. A gained share starts empty and refills from memberSince + issuedGrantTTL, because grants
// of a former home of the share may be spent until then. The homes are determined anew only if the view changes
// something for the organisation.
func (o *orgLimiter) observe(v *observedView, memberSince time.Time) {
	next := v.limitInputsOf(o.org)
	if slices.Equal(o.inputs, next) {
		return
	}
	o.inputs = next
	self := o.limiter.Self
	o.limit, o.exists = v.limitOf(o.org)
	o.homes = o.homes[:0:0]
	homes := v.homesOf(o.org)
	for _, home := range homes[len(homes)-1] {
		if home != self {
			o.homes = append(o.homes, home)
		}
	}
	ownShare := v.shareOf(o.org, homes, self)
	switch {
	case ownShare == share{}:
		o.bucket = nil
	case o.bucket == nil:
		o.bucket = newBucket(ownShare, memberSince.Add(issuedGrantTTL))
	default:
		o.bucket.resize(ownShare, time.Now())
	}
	o.wakeQueue()
}

func (o *orgLimiter) wakeQueue() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

func (o *orgLimiter) homeState(home ident.DaemonID) *homeState {
	h, ok := o.homeStates[home]
	if !ok {
		h = &homeState{unsentSettlements: make(map[uint64]*wire.GrantSettlement)}
		o.homeStates[home] = h
	}
	return h
}

// nextSettlement returns the unsent settlement of a grant; if there is none, it creates one and schedules its
// sending.
func (o *orgLimiter) nextSettlement(home ident.DaemonID, grantID uint64) *wire.GrantSettlement {
	h := o.homeState(home)
	s, ok := h.unsentSettlements[grantID]
	if !ok {
		s = &wire.GrantSettlement{GrantId: grantID}
		h.unsentSettlements[grantID] = s
		o.limiter.homeClient(home).settleSoon(o)
	}
	return s
}

// addSpent reports that tokens of a grant were charged to a request.
func (o *orgLimiter) addSpent(home ident.DaemonID, grantID uint64, n ident.Tokens) {
	o.nextSettlement(home, grantID).Spent += int64(n)
	o.countUnreported(home, n)
}

// countUnreported counts tokens of unsent settlements. The home can neither refill in place of spent tokens nor grant
// unused ones before it knows of them, so settlements are sent at once when they exceed burst /
// unreportedBurstDivisor.
func (o *orgLimiter) countUnreported(home ident.DaemonID, n ident.Tokens) {
	h := o.homeState(home)
	h.unreportedTokens += n
	if h.unreportedTokens*unreportedBurstDivisor > o.limit.Burst {
		o.limiter.homeClient(home).flush()
	}
}

// dropExpired drops held grants that have expired and reports their tokens as unused.
func (o *orgLimiter) dropExpired(now time.Time) {
	o.heldGrants = slices.DeleteFunc(o.heldGrants, func(g heldGrant) bool {
		if now.Before(g.expiresAt) {
			return false
		}
		o.nextSettlement(g.home, g.grantID).Unused += int64(g.tokens)
		return true
	})
}

// heldTokens returns the unspent tokens of the held grants.
func (o *orgLimiter) heldTokens() ident.Tokens {
	var n ident.Tokens
	for _, g := range o.heldGrants {
		n += g.tokens
	}
	return n
}

// ownTokens returns the tokens of this daemon's own bucket that can be spent now.
func (o *orgLimiter) ownTokens(now time.Time) ident.Tokens {
	if o.bucket == nil {
		return 0
	}
	o.bucket.advance(now)
	return o.bucket.available(o.limiter.Self, now).tokens()
}

// tryCharge charges the whole cost, first to held grants, then to the own bucket; if the tokens do not suffice, it
// charges nothing and returns false.
func (o *orgLimiter) tryCharge(cost ident.Tokens, now time.Time) (*Reservation, bool) {
	o.dropExpired(now)
	own := o.ownTokens(now)
	if own+o.heldTokens() < cost {
		return nil, false
	}
	r := &Reservation{limiter: o, cost: cost, chargedAt: now}
	rest := cost
	for rest > 0 && len(o.heldGrants) > 0 {
		g := &o.heldGrants[0]
		n := min(rest, g.tokens)
		rest -= n
		g.tokens -= n
		o.addSpent(g.home, g.grantID, n)
		r.parts = append(r.parts, chargePart{home: g.home, grantID: g.grantID, tokens: n})
		if g.tokens == 0 {
			o.heldGrants = slices.Delete(o.heldGrants, 0, 1)
		}
	}
	if rest > 0 {
		chargedAt := o.bucket.spend(toMicroTokens(rest))
		r.parts = append(r.parts, chargePart{bucket: o.bucket, chargedAt: chargedAt, tokens: rest})
	}
	return r, true
}
