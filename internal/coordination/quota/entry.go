package quota

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// entry is what one daemon keeps of one organisation. Its mutex is never held across I/O.
type entry struct {
	limiter *Limiter
	org     ident.OrganisationID

	mu sync.Mutex
	// basis is what the share and the limit follow from; nil before the first view.
	basis []basis
	known bool
	limit Limit
	// homes are the other daemons that mint the organisation's tokens.
	homes []ident.DaemonID
	// bucket is this daemon's own share; nil when it is no home.
	bucket *bucket
	// pool holds the tokens granted by other homes, oldest first.
	pool   []held
	peers  map[ident.DaemonID]*peer
	queue  []*waiter
	queued ident.Tokens
	demand demand
	// turn moves on which home is asked next.
	turn int
	// pumping says that a goroutine serves the queue; wake makes it look again.
	pumping bool
	wake    chan struct{}
}

// held is the unspent part of a grant at the daemon that asked for it.
type held struct {
	home    ident.DaemonID
	grant   uint64
	tokens  ident.Tokens
	expires time.Time
	// fresh is until when the tokens are neither returned nor renewed.
	fresh time.Time
	// renewing says that a renewal is under way.
	renewing bool
}

// peer is what this daemon knows of another home of the organisation.
type peer struct {
	// asking says that an ask for tokens is under way since askedAt.
	asking  bool
	asked   ident.Tokens
	askedAt time.Time
	// answered is when the home last granted less than was asked; it expects to mint flow tokens a second for this
	// daemon and to have the rest at retryAt.
	answered, retryAt time.Time
	flow              float64
	// moving says that a transfer is under way; the next one is not asked for before moveAt.
	moving bool
	moveAt time.Time
	// failedUntil is set when the home did not answer.
	failedUntil time.Time
	// settlements are not sent yet.
	settlements map[uint64]*wire.GrantSettlement
	// unreported are the tokens in the settlements.
	unreported ident.Tokens
}

// readyAt returns when the home may have a part of the tokens.
func (p *peer) readyAt(part float64) time.Time {
	if p.flow <= 0 {
		return p.retryAt
	}
	pause := max(dryPause, time.Duration(part/p.flow*float64(time.Second)))
	return earlier(p.retryAt, p.answered.Add(pause))
}

// demand estimates the tokens a second that are asked for, by exponential decay.
type demand struct {
	perSecond float64
	at        time.Time
}

func (d *demand) add(n ident.Tokens, now time.Time) {
	d.perSecond = d.rate(now) + float64(n)/demandWindow.Seconds()
	d.at = now
}

func (d *demand) rate(now time.Time) float64 {
	if d.at.IsZero() {
		return 0
	}
	return d.perSecond * math.Exp(-now.Sub(d.at).Seconds()/demandWindow.Seconds())
}

// observe takes over a view. A gained share mints from its time on, plus the time that old grants of it may be spent.
// A view that changes nothing for the organisation costs no choice of homes.
func (e *entry) observe(v *observed, gained time.Time) {
	next := v.basisOf(e.org)
	if slices.Equal(e.basis, next) {
		return
	}
	e.basis = next
	self := e.limiter.Self
	e.limit, e.known = v.limitOf(e.org)
	e.homes = e.homes[:0:0]
	homes := v.homesOf(e.org)
	for _, home := range homes[len(homes)-1] {
		if home != self {
			e.homes = append(e.homes, home)
		}
	}
	own := v.shareOf(e.org, homes, self)
	switch {
	case own == share{}:
		e.bucket = nil
	case e.bucket == nil:
		e.bucket = newBucket(own, gained.Add(holdTTL))
	default:
		e.bucket.resize(own, time.Now())
	}
	e.signal()
}

func (e *entry) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func (e *entry) peer(home ident.DaemonID) *peer {
	p, ok := e.peers[home]
	if !ok {
		p = &peer{settlements: make(map[uint64]*wire.GrantSettlement)}
		e.peers[home] = p
	}
	return p
}

// settlement returns the settlement of a grant that will be sent next.
func (e *entry) settlement(home ident.DaemonID, grant uint64) *wire.GrantSettlement {
	p := e.peer(home)
	s, ok := p.settlements[grant]
	if !ok {
		s = &wire.GrantSettlement{GrantId: grant}
		p.settlements[grant] = s
		e.limiter.link(home).touch(e)
	}
	return s
}

// spent notes that tokens of a grant are charged to a request.
func (e *entry) spent(home ident.DaemonID, grant uint64, n ident.Tokens) {
	e.settlement(home, grant).Spent += int64(n)
	e.report(home, n)
}

// report notes tokens in settlements. The home can't mint in place of spent tokens or grant unused ones before it knows
// of them, so it is told soon when they are a notable part of the burst.
func (e *entry) report(home ident.DaemonID, n ident.Tokens) {
	p := e.peer(home)
	p.unreported += n
	if p.unreported*promptParts > e.limit.Burst {
		e.limiter.link(home).flush()
	}
}

// expire drops grants from the pool that may no longer be spent.
func (e *entry) expire(now time.Time) {
	e.pool = slices.DeleteFunc(e.pool, func(h held) bool {
		if now.Before(h.expires) {
			return false
		}
		e.settlement(h.home, h.grant).Unused += int64(h.tokens)
		return true
	})
}

// pooled returns the granted tokens that can be spent now.
func (e *entry) pooled() ident.Tokens {
	var n ident.Tokens
	for _, h := range e.pool {
		n += h.tokens
	}
	return n
}

// own returns the tokens of the own share that can be spent now.
func (e *entry) own(now time.Time) ident.Tokens {
	if e.bucket == nil {
		return 0
	}
	e.bucket.advance(now)
	return e.bucket.available(e.limiter.Self, now).tokens()
}

// take charges the whole cost, or nothing and returns false.
func (e *entry) take(cost ident.Tokens, now time.Time) (*Reservation, bool) {
	e.expire(now)
	own := e.own(now)
	if own+e.pooled() < cost {
		return nil, false
	}
	r := &Reservation{entry: e, cost: cost}
	rest := cost
	for rest > 0 && len(e.pool) > 0 {
		h := &e.pool[0]
		n := min(rest, h.tokens)
		rest -= n
		h.tokens -= n
		e.spent(h.home, h.grant, n)
		r.parts = append(r.parts, part{home: h.home, grant: h.grant, tokens: n})
		if h.tokens == 0 {
			e.pool = slices.Delete(e.pool, 0, 1)
		}
	}
	if rest > 0 {
		charged := e.bucket.spend(toMicro(rest))
		r.parts = append(r.parts, part{bucket: e.bucket, charged: charged, tokens: rest})
	}
	return r, true
}
