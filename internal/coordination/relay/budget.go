package relay

import (
	"sync"
	"sync/atomic"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// RetryBudget bounds retries to a share of the requests, so that retries can't multiply an overload. Resumed answers
// draw on it, too, but are never refused by it. The zero value allows one retry for ten requests.
type RetryBudget struct {
	// RetryShare is the retries for a thousand requests; 0 is 100.
	RetryShare ident.Permille
	// MaxBalance is the number of retries that can be saved up, and the balance at the start; 0 is 64.
	MaxBalance int64

	once sync.Once
	// balance is in thousandths of a retry. Resumptions can make it negative, at most to minus the reserve.
	balance atomic.Int64
}

func (b *RetryBudget) init() {
	b.once.Do(func() { b.balance.Store(b.reserve()) })
}

func (b *RetryBudget) reserve() int64 {
	if b.MaxBalance > 0 {
		return b.MaxBalance * permille
	}
	return defaultBudgetReserve * permille
}

// Deposit counts a request.
func (b *RetryBudget) Deposit() {
	b.init()
	share := int64(b.RetryShare)
	if share == 0 {
		share = defaultBudgetShare
	}
	b.add(share)
}

// TryWithdraw takes a retry and reports whether there was one.
func (b *RetryBudget) TryWithdraw() bool {
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

// ForceWithdraw takes a retry whether there is one or not.
func (b *RetryBudget) ForceWithdraw() {
	b.init()
	b.add(-permille)
}

func (b *RetryBudget) add(n int64) {
	limit := b.reserve()
	for {
		balance := b.balance.Load()
		next := max(min(balance+n, limit), -limit)
		if next == balance || b.balance.CompareAndSwap(balance, next) {
			return
		}
	}
}
