package replay

import (
	"context"
	"sync"
	"time"
)

// pacer limits the rate of appends and allows a burst of appendBurst.
type pacer struct {
	mu sync.Mutex
	// fullAt is when the token bucket will be full again.
	fullAt time.Time
}

// wait waits until an append is allowed. It returns ctx.Err() if ctx is done first.
func (p *pacer) wait(ctx context.Context, interval time.Duration) error {
	if interval == 0 {
		interval = defaultAppendInterval
	}
	delay := p.reserve(time.Now(), interval)
	if delay <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// reserve takes a token from the bucket and returns how long to wait until it may be used; at most 0 means at once.
func (p *pacer) reserve(now time.Time, interval time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fullAt.Before(now) {
		p.fullAt = now
	}
	p.fullAt = p.fullAt.Add(interval)
	return p.fullAt.Sub(now) - appendBurst*interval
}
