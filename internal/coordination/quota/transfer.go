package quota

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// A home whose callers spend more than its share asks the other homes to move tokens into its bucket, so that theirs
// do not overflow meanwhile. A moved token leaves one bucket before it enters the other and is lost with a lost message.

// transfer takes tokens out of the bucket for another home; half of the capacity stays.
func (b *bucket) transfer(n ident.Tokens, to ident.DaemonID, now time.Time) ident.Tokens {
	spare := b.available(to, now) - b.cap/2
	n = min(n, max(0, spare).tokens())
	b.spend(toMicro(n))
	return n
}

// room returns the tokens that the bucket could take.
func (b *bucket) room() micro { return max(0, b.cap-b.level-b.outstanding) }

// deposit adds tokens of another home. Those above the capacity are lost.
func (b *bucket) deposit(n ident.Tokens) {
	b.level += min(toMicro(n), b.room())
	b.history.record(b.level + b.outstanding)
	b.check()
}

// rebalance asks the other homes for tokens when the own bucket is less than half full.
func (e *entry) rebalance(now time.Time) {
	if e.bucket == nil || len(e.homes) == 0 || e.bucket.room() < e.bucket.cap/2 {
		return
	}
	part := (e.bucket.room() - e.bucket.cap/4).tokens() / ident.Tokens(len(e.homes))
	if part <= 0 {
		return
	}
	for _, home := range e.homes {
		p := e.peer(home)
		if p.moving || now.Before(p.moveAt) || now.Before(p.failedUntil) {
			continue
		}
		p.moving = true
		e.limiter.link(home).ask(e, wanted{transfer: part})
	}
}

// deposit takes over the answer to an ask for a transfer.
func (e *entry) deposit(p *peer, ask *wire.GrantAsk, answer *wire.GrantAnswer) {
	now := time.Now()
	p.moving = false
	if answer.GetTransferredTokens() < ask.GetTransferTokens() {
		p.moveAt = now.Add(movePause)
	}
	if e.bucket == nil {
		return
	}
	e.bucket.advance(now)
	e.bucket.deposit(ident.Tokens(answer.GetTransferredTokens()))
	e.signal()
}
