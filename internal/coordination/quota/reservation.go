package quota

import (
	"sync/atomic"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/guard"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Reservation is the charge of one admitted request.
type Reservation struct {
	entry   *entry
	cost    ident.Tokens
	charged time.Time
	parts   []part
	settled atomic.Bool
}

// part is the part of a charge that came from one grant, or from the own bucket when bucket is set.
type part struct {
	home    ident.DaemonID
	grant   uint64
	bucket  *bucket
	charged mark
	tokens  ident.Tokens
}

// Cost returns the tokens that were charged at admission.
func (r *Reservation) Cost() ident.Tokens { return r.cost }

// ChargedAt returns when the tokens were charged. The request itself may go on later, on a machine that is busy.
func (r *Reservation) ChargedAt() time.Time { return r.charged }

// Settle tells how many of the charged tokens the request used, and gives the rest back. Calls after the first do
// nothing. A request that did not run used 0.
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
	e := r.entry
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	for i := len(r.parts) - 1; i >= 0 && unused > 0; i-- {
		n := min(unused, r.parts[i].tokens)
		unused -= n
		e.giveBack(r.parts[i], n, now)
	}
	if len(e.queue) > 0 {
		e.signal()
	}
}

// giveBack credits unused tokens to the home that they came from.
func (e *entry) giveBack(p part, n ident.Tokens, now time.Time) {
	if p.bucket == nil {
		e.settlement(p.home, p.grant).Unused += int64(n)
		e.report(p.home, n)
		return
	}
	if p.bucket == e.bucket {
		e.bucket.advance(now)
		e.bucket.credit(p.charged, toMicro(n))
	}
}
