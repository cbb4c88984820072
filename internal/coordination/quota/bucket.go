package quota

import (
	"math/bits"
	"math/rand/v2"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/guard"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// microTokens counts millionths of a token.
type microTokens int64

func toMicroTokens(n ident.Tokens) microTokens { return microTokens(n) * microTokensPerToken }

func (m microTokens) tokens() ident.Tokens { return ident.Tokens(m / microTokensPerToken) }

// bucket is the token bucket of one home for its share of an organisation's limit. Granted tokens that may still be
// spent count against its capacity, so the unspent tokens of the share, in the bucket and in grants, are never more
// than the capacity.
type bucket struct {
	share
	// level counts the tokens in the bucket, outstanding those of grants that may still be spent.
	level       microTokens
	outstanding microTokens
	// refilledUntil is the time up to which the bucket is refilled. It is in the future while grants of a former home
	// of the share may still be spent.
	refilledUntil time.Time
	history       fillHistory
	grants        map[uint64]*issuedGrant
	// expiryOrder holds the grants that may still be spent in the order of their expiry; expiredGrants holds the
	// IDs of the expired ones in the same order.
	expiryOrder   []grantExpiry
	expiredGrants []uint64
	lastGrantID   uint64
	pendingAsks   []pendingAsk
}

// grantExpiry is when a grant expires, unless it was renewed since.
type grantExpiry struct {
	grantID   uint64
	expiresAt time.Time
}

// issuedGrant is a home's record of a grant.
type issuedGrant struct {
	issuedAt, expiresAt time.Time
	// firstChargedAt is the history time at which the home first counted tokens of the grant as spent, because of a
	// settlement or its expiry; 0 before.
	firstChargedAt historyTime
	// spendable is the part that may still be spent; unsettled the part that was not reported as returned or unused.
	spendable, unsettled microTokens
}

// pendingAsk is an ask that could not be granted in full. New tokens of the bucket go to the oldest one first.
type pendingAsk struct {
	daemon    ident.DaemonID
	missing   microTokens
	keepUntil time.Time
}

// newBucket returns an empty bucket that refills from the given time on.
func newBucket(s share, from time.Time) *bucket {
	return &bucket{
		share:         s,
		refilledUntil: from,
		history:       fillHistory{resolution: s.capacity / historySteps},
		grants:        make(map[uint64]*issuedGrant),
		// Random, so that a home that restarts, or loses and regains the share, does not take a grant of its former
		// bucket for one of this bucket.
		lastGrantID: rand.Uint64(),
	}
}

// advance refills the bucket up to now and counts expired grants as spent.
func (b *bucket) advance(now time.Time) {
	if !now.After(b.refilledUntil) {
		return
	}
	for len(b.expiryOrder) > 0 && !b.expiryOrder[0].expiresAt.After(now) {
		next := b.expiryOrder[0]
		b.expiryOrder = b.expiryOrder[1:]
		g := b.grants[next.grantID]
		if g.expiresAt.After(next.expiresAt) {
			continue
		}
		b.refill(next.expiresAt)
		b.countSpent(g, g.spendable)
		b.expiredGrants = append(b.expiredGrants, next.grantID)
	}
	b.refill(now)
	b.dropOldGrants(now)
	b.checkBound()
}

func (b *bucket) refill(until time.Time) {
	if !until.After(b.refilledUntil) {
		return
	}
	room := max(0, b.capacity-b.outstanding-b.level)
	b.level += min(room, refillAmount(b.rate, until.Sub(b.refilledUntil)))
	b.refilledUntil = until
	b.history.record(b.level + b.outstanding)
}

// refillAmount returns the tokens that the rate, in microTokens a second, yields in a time, rounded down.
func refillAmount(rate microTokens, d time.Duration) microTokens {
	hi, lo := bits.Mul64(uint64(rate), uint64(d))
	if hi >= uint64(time.Second) {
		return 1 << 62
	}
	n, _ := bits.Div64(hi, lo, uint64(time.Second))
	return microTokens(min(n, 1<<62))
}

// dropOldGrants forgets expired grants that were issued more than creditRetention ago.
func (b *bucket) dropOldGrants(now time.Time) {
	oldest := now.Add(-creditRetention)
	for len(b.expiredGrants) > 0 && b.grants[b.expiredGrants[0]].issuedAt.Before(oldest) {
		delete(b.grants, b.expiredGrants[0])
		b.expiredGrants = b.expiredGrants[1:]
	}
}

// checkBound reports a violation of the rate bound when the bucket and its grants hold more than the capacity. Grants
// alone may exceed a capacity that was lowered after they were issued.
func (b *bucket) checkBound() {
	unspent := b.level + b.outstanding
	ok := b.level >= 0 && b.outstanding >= 0 && unspent <= max(b.capacity, b.outstanding)
	guard.Check(ok, guard.RateBound,
		"bucket out of bounds: level %d, outstanding %d, capacity %d (millionths of a token)",
		b.level, b.outstanding, b.capacity)
}

// resize changes the share. Tokens above a lowered capacity are lost.
func (b *bucket) resize(s share, now time.Time) {
	b.advance(now)
	b.share = s
	b.history.resolution = s.capacity / historySteps
	b.level = min(b.level, max(0, b.capacity-b.outstanding))
}

// available returns the tokens that the daemon may take now: those that are not kept for earlier asks of other
// daemons.
func (b *bucket) available(daemon ident.DaemonID, now time.Time) microTokens {
	return max(0, b.level-b.queuedBefore(daemon, now))
}

// queuedBefore returns the missing tokens of the asks that other daemons queued before the daemon's own ask, or of all
// asks if it has queued none. It drops asks that are no longer kept.
func (b *bucket) queuedBefore(daemon ident.DaemonID, now time.Time) microTokens {
	var queued microTokens
	kept := b.pendingAsks[:0]
	ownSeen := false
	for _, p := range b.pendingAsks {
		if p.keepUntil.Before(now) {
			continue
		}
		kept = append(kept, p)
		ownSeen = ownSeen || p.daemon == daemon
		if !ownSeen {
			queued += p.missing
		}
	}
	b.pendingAsks = kept
	return queued
}

// queueAsk returns how long the home expects to need for the missing tokens, and queues the ask if that is within
// maxWait. Otherwise, and when nothing is missing, it removes the ask of the daemon from the queue.
func (b *bucket) queueAsk(daemon ident.DaemonID, missing microTokens, maxWait time.Duration, now time.Time) time.Duration {
	if missing <= 0 {
		b.dequeueAsk(daemon)
		return 0
	}
	retryAfter := b.refillTime(b.queuedBefore(daemon, now)+missing-b.level, now)
	if retryAfter > maxWait {
		b.dequeueAsk(daemon)
		return retryAfter
	}
	p := pendingAsk{daemon: daemon, missing: missing, keepUntil: now.Add(retryAfter + pendingAskGrace)}
	for i := range b.pendingAsks {
		if b.pendingAsks[i].daemon == daemon {
			b.pendingAsks[i] = p
			return retryAfter
		}
	}
	b.pendingAsks = append(b.pendingAsks, p)
	return retryAfter
}

func (b *bucket) dequeueAsk(daemon ident.DaemonID) {
	for i := range b.pendingAsks {
		if b.pendingAsks[i].daemon == daemon {
			b.pendingAsks = append(b.pendingAsks[:i], b.pendingAsks[i+1:]...)
			return
		}
	}
}

// refillTime returns how long it takes to refill n tokens, at most maxRetryAfter.
func (b *bucket) refillTime(n microTokens, now time.Time) time.Duration {
	delay := max(0, b.refilledUntil.Sub(now))
	if b.rate <= 0 {
		return maxRetryAfter
	}
	seconds := float64(max(0, n)) / float64(b.rate)
	if seconds > maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	return max(minRetryAfter, delay+time.Duration(seconds*float64(time.Second)))
}

// spend charges tokens of the bucket to a request and returns the history time of the charge.
func (b *bucket) spend(n microTokens) historyTime {
	b.level -= n
	b.checkBound()
	return b.history.clock
}

// grant issues tokens to another daemon and returns the ID of the grant.
func (b *bucket) grant(n microTokens, now time.Time) uint64 {
	b.lastGrantID++
	b.level -= n
	b.outstanding += n
	expires := now.Add(issuedGrantTTL)
	b.grants[b.lastGrantID] = &issuedGrant{issuedAt: now, expiresAt: expires, spendable: n, unsettled: n}
	b.expiryOrder = append(b.expiryOrder, grantExpiry{grantID: b.lastGrantID, expiresAt: expires})
	b.checkBound()
	return b.lastGrantID
}

// renew extends a grant by another issuedGrantTTL; false when it has expired.
func (b *bucket) renew(id uint64, now time.Time) bool {
	g, ok := b.grants[id]
	if !ok || !g.expiresAt.After(now) {
		return false
	}
	g.expiresAt = now.Add(issuedGrantTTL)
	b.expiryOrder = append(b.expiryOrder, grantExpiry{grantID: id, expiresAt: g.expiresAt})
	return true
}

// settleAll applies the settlements and renewals of one ask; false when a grant could not be renewed.
func (b *bucket) settleAll(settlements []*wire.GrantSettlement, now time.Time) bool {
	renewed := true
	for _, s := range settlements {
		b.settle(s.GetGrantId(), toMicroTokens(ident.Tokens(s.GetSpent())),
			toMicroTokens(ident.Tokens(s.GetReturned())), toMicroTokens(ident.Tokens(s.GetUnused())))
		if s.GetRenew() {
			renewed = b.renew(s.GetGrantId(), now) && renewed
		}
	}
	return renewed
}

// settle applies a daemon's report on a grant. Each token of a grant is returned or credited at most once.
func (b *bucket) settle(id uint64, spent, returned, unused microTokens) {
	g, ok := b.grants[id]
	if !ok {
		return
	}
	returned = min(max(0, returned), g.unsettled)
	returnable := min(returned, g.spendable)
	g.unsettled -= returned
	g.spendable -= returnable
	b.outstanding -= returnable
	b.level += min(returnable, max(0, b.capacity-b.outstanding-b.level))

	b.countSpent(g, min(max(0, spent), g.spendable))
	unused = min(max(0, unused), g.unsettled-g.spendable)
	g.unsettled -= unused
	b.credit(g.firstChargedAt, unused+returned-returnable)
	b.checkBound()
}

// countSpent counts tokens of a grant as spent, so that the bucket may refill in their place.
func (b *bucket) countSpent(g *issuedGrant, n microTokens) {
	if n > 0 && g.firstChargedAt == 0 {
		g.firstChargedAt = b.history.clock
	}
	g.spendable -= n
	b.outstanding -= n
}

// credit gives back tokens that were charged at chargedAt and not used. It adds no more than the bucket would hold in
// addition if they had never been charged: a bucket that has been full since then would have lost refills, and those
// must not be given out as well.
func (b *bucket) credit(chargedAt historyTime, n microTokens) {
	peak := max(b.history.peakSince(chargedAt), b.level+b.outstanding)
	n = max(0, min(n, b.capacity-peak))
	b.history.raise(chargedAt, n)
	b.level += n
}
