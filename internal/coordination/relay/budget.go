package relay

import (
	"sync"
	"sync/atomic"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// RetryBudget bounds retries to a share of the requests, so that retries can't multiply an overload. Resumptions of
// interrupted answers draw on it as well but are never refused. The zero value allows one retry for ten requests.
type RetryBudget struct {
	// RetryShare is the number of retries per thousand requests; 100 when 0.
	RetryShare ident.Permille
	// MaxBalance is the number of retries that can be saved up, and the balance at the start; 64 when 0.
	MaxBalance int64

	initOnce sync.Once
	// balance is in thousandths of a retry. Resumptions can make it negative, down to minus maxBalance.
	balance atomic.Int64
}

func (b *RetryBudget) init() {
	b.initOnce.Do(func() { b.balance.Store(b.maxBalance()) })
}

// maxBalance returns the limit of the balance in thousandths of a retry.
func (b *RetryBudget) maxBalance() int64 {
	if b.MaxBalance > 0 {
		return b.MaxBalance * permille
	}
	return defaultMaxBalanceRetries * permille
}

// Deposit adds the retry share of one request.
func (b *RetryBudget) Deposit() {
	b.init()
	share := int64(b.RetryShare)
	if share == 0 {
		share = defaultRetrySharePermille
	}
	b.add(share)
}

// TryWithdraw takes one retry and reports whether the balance had one.
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

// Return gives a retry back that was withdrawn and isn't made.
func (b *RetryBudget) Return() {
	b.init()
	b.add(permille)
}

// Balance returns the number of retries that may be withdrawn; negative after resumptions beyond the budget.
func (b *RetryBudget) Balance() int64 {
	b.init()
	return b.balance.Load() / permille
}

// ForceWithdraw takes one retry even if the balance has none.
func (b *RetryBudget) ForceWithdraw() {
	b.init()
	b.add(-permille)
}

func (b *RetryBudget) add(n int64) {
	limit := b.maxBalance()
	for {
		balance := b.balance.Load()
		next := max(min(balance+n, limit), -limit)
		if next == balance || b.balance.CompareAndSwap(balance, next) {
			return
		}
	}
}
