package quota

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// A home whose callers spend more than its share asks the other homes to transfer tokens into its bucket, because
// theirs would overflow in the meantime. A transferred token leaves one bucket before it enters the other; if the
// message is lost, so is the token.

// takeForTransfer takes up to n tokens out of the bucket for another home, but leaves at least half of the capacity.
// It returns the tokens taken.
func (b *bucket) takeForTransfer(n ident.Tokens, to ident.DaemonID, now time.Time) ident.Tokens {
	spare := b.available(to, now) - b.capacity/2
	n = min(n, max(0, spare).tokens())
	b.spend(toMicroTokens(n))
	return n
}

// freeCapacity returns how many tokens the bucket can take.
func (b *bucket) freeCapacity() microTokens { return max(0, b.capacity-b.level-b.outstanding) }

// addTransferred adds tokens of another home. Those above the capacity are lost.
func (b *bucket) addTransferred(n ident.Tokens) {
	b.level += min(toMicroTokens(n), b.freeCapacity())
	b.history.record(b.level + b.outstanding)
	b.checkBound()
}

// rebalance asks the other homes for tokens when at least half of the own capacity is free.
func (o *orgLimiter) rebalance(now time.Time) {
	if o.bucket == nil || len(o.homes) == 0 || o.bucket.freeCapacity() < o.bucket.capacity/2 {
		return
	}
	partTokens := (o.bucket.freeCapacity() - o.bucket.capacity/4).tokens() / ident.Tokens(len(o.homes))
	if partTokens <= 0 {
		return
	}
	for _, home := range o.homes {
		h := o.homeState(home)
		if h.transferInFlight || now.Before(h.nextTransferAt) || now.Before(h.unreachableUntil) {
			continue
		}
		h.transferInFlight = true
		o.limiter.homeClient(home).ask(o, askAmounts{transfer: partTokens})
	}
}

// applyTransfer applies the answer to an ask for a transfer.
func (o *orgLimiter) applyTransfer(h *homeState, ask *wire.GrantAsk, answer *wire.GrantAnswer) {
	now := time.Now()
	h.transferInFlight = false
	if answer.GetTransferredTokens() < ask.GetTransferTokens() {
		h.nextTransferAt = now.Add(transferBackoff)
	}
	if o.bucket == nil {
		return
	}
	o.bucket.advance(now)
	o.bucket.addTransferred(ident.Tokens(answer.GetTransferredTokens()))
	o.wakeQueue()
}
