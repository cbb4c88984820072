package replay

import (
	"context"
	"sync"
	"time"
)

// pacer spaces appends, with a small burst.
type pacer struct {
	mu sync.Mutex
	// next is when the bucket of the burst would be full again.
	next time.Time
}

// wait returns when an append may be made, or with ctx's error.
func (p *pacer) wait(ctx context.Context, interval time.Duration) error {
	if interval == 0 {
		interval = defaultAppendsInterval
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

func (p *pacer) reserve(now time.Time, interval time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.next.Before(now) {
		p.next = now
	}
	p.next = p.next.Add(interval)
	return p.next.Sub(now) - defaultAppendsAtOnce*interval
}
