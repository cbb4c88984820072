package quota

import (
	"math/bits"
	"math/rand/v2"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/guard"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// micro counts millionths of a token.
type micro int64

func toMicro(n ident.Tokens) micro { return micro(n) * microPerToken }

func (m micro) tokens() ident.Tokens { return ident.Tokens(m / microPerToken) }

// bucket mints one home's share of an organisation. Tokens that are granted and may still be spent count against its
// capacity, so at any moment the unspent tokens of the share, wherever they are, are at most the capacity.
type bucket struct {
	share
	level       micro
	outstanding micro
	// last is the time up to which tokens are minted; ahead of now while an earlier holder of the share may still spend.
	last    time.Time
	history history
	grants  map[uint64]*issued
	// order holds the grants that may still be spent in the order of their expiry, expired the others.
	order     []expiry
	expired   []uint64
	nextGrant uint64
	pending   []pendingAsk
}

// expiry is when a grant may no longer be spent, unless it was renewed.
type expiry struct {
	grant uint64
	at    time.Time
}

// issued is a grant as its home remembers it.
type issued struct {
	at, expires time.Time
	// charged is when its first tokens were known to be spent, or expired.
	charged mark
	// held is the part that may still be spent, open the part that was not settled as returned or unused.
	held, open micro
}

// pendingAsk is an ask that could not be granted whole. Tokens minted later go to the oldest one first.
type pendingAsk struct {
	daemon  ident.DaemonID
	missing micro
	until   time.Time
}

// newBucket returns an empty bucket that mints from the given time on.
func newBucket(s share, from time.Time) *bucket {
	return &bucket{
		share:   s,
		last:    from,
		history: history{grain: s.cap / historyGrains},
		grants:  make(map[uint64]*issued),
		// A restarted home or one that lost and regained the share must not take an old grant for one of its own.
		nextGrant: rand.Uint64(),
	}
}

// advance mints the tokens up to now and releases grants that have expired.
func (b *bucket) advance(now time.Time) {
	if !now.After(b.last) {
		return
	}
	for len(b.order) > 0 && !b.order[0].at.After(now) {
		next := b.order[0]
		b.order = b.order[1:]
		g := b.grants[next.grant]
		if g.expires.After(next.at) {
			continue
		}
		b.mint(next.at)
		b.release(g, g.held)
		b.expired = append(b.expired, next.grant)
	}
	b.mint(now)
	b.forget(now)
	b.check()
}

func (b *bucket) mint(until time.Time) {
	if !until.After(b.last) {
		return
	}
	room := max(0, b.cap-b.outstanding-b.level)
	b.level += min(room, mintedIn(b.rate, until.Sub(b.last)))
	b.last = until
	b.history.record(b.level + b.outstanding)
}

// mintedIn returns the tokens that a rate yields, rounded down.
func mintedIn(rate micro, d time.Duration) micro {
	hi, lo := bits.Mul64(uint64(rate), uint64(d))
	if hi >= uint64(time.Second) {
		return 1 << 62
	}
	n, _ := bits.Div64(hi, lo, uint64(time.Second))
	return micro(min(n, 1<<62))
}

// forget drops grants that are too old to be credited.
func (b *bucket) forget(now time.Time) {
	limit := now.Add(-creditWindow)
	for len(b.expired) > 0 && b.grants[b.expired[0]].at.Before(limit) {
		delete(b.grants, b.expired[0])
		b.expired = b.expired[1:]
	}
}

func (b *bucket) check() {
	unspent := b.level + b.outstanding
	ok := b.level >= 0 && b.outstanding >= 0 && unspent <= max(b.cap, b.outstanding)
	guard.Check(ok, guard.RateBound, "level %d, outstanding %d, capacity %d", b.level, b.outstanding, b.cap)
}

// resize changes the share. Tokens above a lower capacity are lost.
func (b *bucket) resize(s share, now time.Time) {
	b.advance(now)
	b.share = s
	b.history.grain = s.cap / historyGrains
	b.level = min(b.level, max(0, b.cap-b.outstanding))
}

// available returns the tokens that the daemon may take now: those not kept for asks that came before its own.
func (b *bucket) available(daemon ident.DaemonID, now time.Time) micro {
	return max(0, b.level-b.queuedBefore(daemon, now))
}

// queuedBefore returns the tokens that asks of other daemons wait for, as far as they came before that of the daemon.
func (b *bucket) queuedBefore(daemon ident.DaemonID, now time.Time) micro {
	var queued micro
	kept := b.pending[:0]
	own := false
	for _, p := range b.pending {
		if p.until.Before(now) {
			continue
		}
		kept = append(kept, p)
		own = own || p.daemon == daemon
		if !own {
			queued += p.missing
		}
	}
	b.pending = kept
	return queued
}

// await returns when the home expects to have tokens for the daemon, and queues it for them when that is within its
// patience. Otherwise, and when nothing is missing, the daemon leaves the queue.
func (b *bucket) await(daemon ident.DaemonID, missing micro, patience time.Duration, now time.Time) time.Duration {
	if missing <= 0 {
		b.unqueue(daemon)
		return 0
	}
	retry := b.timeFor(b.queuedBefore(daemon, now)+missing-b.level, now)
	if retry > patience {
		b.unqueue(daemon)
		return retry
	}
	p := pendingAsk{daemon: daemon, missing: missing, until: now.Add(retry + pendingSlack)}
	for i := range b.pending {
		if b.pending[i].daemon == daemon {
			b.pending[i] = p
			return retry
		}
	}
	b.pending = append(b.pending, p)
	return retry
}

func (b *bucket) unqueue(daemon ident.DaemonID) {
	for i := range b.pending {
		if b.pending[i].daemon == daemon {
			b.pending = append(b.pending[:i], b.pending[i+1:]...)
			return
		}
	}
}

// timeFor returns how long the minting of the tokens takes.
func (b *bucket) timeFor(n micro, now time.Time) time.Duration {
	delay := max(0, b.last.Sub(now))
	if b.rate <= 0 {
		return maxRetryAfter
	}
	seconds := float64(max(0, n)) / float64(b.rate)
	if seconds > maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	return max(minRetryAfter, delay+time.Duration(seconds*float64(time.Second)))
}

// spend charges tokens to a request at once and returns the moment of the charge.
func (b *bucket) spend(n micro) mark {
	b.level -= n
	b.check()
	return b.history.now
}

// grant hands tokens to another daemon.
func (b *bucket) grant(n micro, now time.Time) uint64 {
	b.nextGrant++
	b.level -= n
	b.outstanding += n
	expires := now.Add(holdTTL)
	b.grants[b.nextGrant] = &issued{at: now, expires: expires, held: n, open: n}
	b.order = append(b.order, expiry{grant: b.nextGrant, at: expires})
	b.check()
	return b.nextGrant
}

// renew lets the rest of a grant be spent for another time to live; false when it has expired.
func (b *bucket) renew(id uint64, now time.Time) bool {
	g, ok := b.grants[id]
	if !ok || !g.expires.After(now) {
		return false
	}
	g.expires = now.Add(holdTTL)
	b.order = append(b.order, expiry{grant: id, at: g.expires})
	return true
}

// settleAll applies settlements; false when a grant could not be renewed.
func (b *bucket) settleAll(settlements []*wire.GrantSettlement, now time.Time) bool {
	renewed := true
	for _, s := range settlements {
		b.settle(s.GetGrantId(), toMicro(ident.Tokens(s.GetSpent())),
			toMicro(ident.Tokens(s.GetReturned())), toMicro(ident.Tokens(s.GetUnused())))
		if s.GetRenew() {
			renewed = b.renew(s.GetGrantId(), now) && renewed
		}
	}
	return renewed
}

// settle applies what a daemon tells about a grant. Tokens are taken back at most once.
func (b *bucket) settle(id uint64, spent, returned, unused micro) {
	g, ok := b.grants[id]
	if !ok {
		return
	}
	returned = min(max(0, returned), g.open)
	back := min(returned, g.held)
	g.open -= returned
	g.held -= back
	b.outstanding -= back
	b.level += min(back, max(0, b.cap-b.outstanding-b.level))

	b.release(g, min(max(0, spent), g.held))
	unused = min(max(0, unused), g.open-g.held)
	g.open -= unused
	b.credit(g.charged, unused+returned-back)
	b.check()
}

// release counts tokens of a grant as spent.
func (b *bucket) release(g *issued, n micro) {
	if n > 0 && g.charged == 0 {
		g.charged = b.history.now
	}
	g.held -= n
	b.outstanding -= n
}

// credit gives back tokens that were charged at the moment and not used. It gives at most what the bucket would hold
// more now, had they never been charged: tokens that it would have been too full to mint since are not given twice.
func (b *bucket) credit(charged mark, n micro) {
	peak := max(b.history.peak(charged), b.level+b.outstanding)
	n = max(0, min(n, b.cap-peak))
	b.history.raise(charged, n)
	b.level += n
}
