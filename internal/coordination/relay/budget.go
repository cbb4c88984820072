package relay

import (
	"sync"
	"sync/atomic"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Budget bounds retries to a share of the requests, so that retries can't multiply an overload. Resumed answers
// draw on it, too, but are never refused by it. The zero value allows one retry for ten requests.
type Budget struct {
	// Share is the retries for a thousand requests; 0 is 100.
	Share ident.Permille
	// Reserve is the number of retries that can be saved up, and the balance at the start; 0 is 64.
	Reserve int64

	once sync.Once
	// balance is in thousandths of a retry. Resumptions can make it negative, at most to minus the reserve.
	balance atomic.Int64
}

func (b *Budget) init() {
	b.once.Do(func() { b.balance.Store(b.reserve()) })
}

func (b *Budget) reserve() int64 {
	if b.Reserve > 0 {
		return b.Reserve * permille
	}
	return defaultBudgetReserve * permille
}

// Deposit counts a request.
func (b *Budget) Deposit() {
	b.init()
	share := int64(b.Share)
	if share == 0 {
		share = defaultBudgetShare
	}
	b.add(share)
}

// Withdraw takes a retry and reports whether there was one.
func (b *Budget) Withdraw() bool {
	b.init()
	for {
		balance := b.balance.Load()
		if balance < permille {
			return false
		}
		if b.balance.CompareAndSwap(balance, balance-permille) {
			return true
		}
	}
}

// Draw takes a retry whether there is one or not.
func (b *Budget) Draw() {
	b.init()
	b.add(-permille)
}

func (b *Budget) add(n int64) {
	limit := b.reserve()
	for {
		balance := b.balance.Load()
		next := max(min(balance+n, limit), -limit)
		if next == balance || b.balance.CompareAndSwap(balance, next) {
			return
		}
	}
}
