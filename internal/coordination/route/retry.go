package route

import "sync/atomic"

// RetryBudget bounds retries to a part of the traffic, so that failing engines don't multiply the load.
type RetryBudget struct {
	// Share is the part of the traffic that retries may add; 0 is RetryShare.
	Share float64
	// Burst is the number of retries that may come at once; 0 is RetryBurst.
	Burst int

	// spent counts retries in millionths of one, less what the traffic since has earned.
	spent atomic.Int64
}

const retryUnit = 1_000_000

// Sent notes a first attempt.
func (b *RetryBudget) Sent() {
	share := b.Share
	if share == 0 {
		share = RetryShare
	}
	earned := int64(share * retryUnit)
	for {
		old := b.spent.Load()
		if old == 0 || b.spent.CompareAndSwap(old, max(0, old-earned)) {
			return
		}
	}
}

// Retry takes one retry from the budget and reports whether there was one.
func (b *RetryBudget) Retry() bool {
	burst := b.Burst
	if burst == 0 {
		burst = RetryBurst
	}
	limit := int64(burst) * retryUnit
	for {
		old := b.spent.Load()
		if old+retryUnit > limit {
			return false
		}
		if b.spent.CompareAndSwap(old, old+retryUnit) {
			return true
		}
	}
}
