package quota

import (
	"sync/atomic"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/guard"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Reservation is the charge of one admitted request.
type Reservation struct {
	limiter   *orgLimiter
	cost      ident.Tokens
	chargedAt time.Time
	parts     []chargePart
	settled   atomic.Bool
}

// chargePart is the part of a charge that was taken from one grant, or from the own bucket if bucket is set.
type chargePart struct {
	home      ident.DaemonID
	grantID   uint64
	bucket    *bucket
	chargedAt historyTime
	tokens    ident.Tokens
}

// Cost returns the tokens that were charged at admission.
func (r *Reservation) Cost() ident.Tokens { return r.cost }

// ChargedAt returns when the tokens were charged. On a busy VM the request itself may continue later.
func (r *Reservation) ChargedAt() time.Time { return r.chargedAt }

// Settle reports how many of the charged tokens the request has used and gives the rest back; a request that did not
// run has used 0. Only the first call has an effect.
func (r *Reservation) Settle(used ident.Tokens) {
	if r.settled.Swap(true) {
		return
	}
	used = max(0, used)
	guard.Check(used <= r.cost, guard.RateBound, "%d tokens used of %d reserved", used, r.cost)
	unused := r.cost - used
	if unused <= 0 {
		return
	}
	o := r.limiter
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	for i := len(r.parts) - 1; i >= 0 && unused > 0; i-- {
		n := min(unused, r.parts[i].tokens)
		unused -= n
		o.refund(r.parts[i], n, now)
	}
	if len(o.queue) > 0 {
		o.wakeQueue()
	}
}

// refund credits unused tokens to the home that they came from.
func (o *orgLimiter) refund(p chargePart, n ident.Tokens, now time.Time) {
	if p.bucket == nil {
		o.nextSettlement(p.home, p.grantID).Unused += int64(n)
		o.countUnreported(p.home, n)
		return
	}
	if p.bucket == o.bucket {
		o.bucket.advance(now)
		o.bucket.credit(p.chargedAt, toMicroTokens(n))
	}
}
