package quota

import (
	"context"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// waiter is a request that is queued for tokens.
type waiter struct {
	cost     ident.Tokens
	deadline time.Time
	decided  chan decision
}

// decision ends the wait of a waiter; exactly one of its fields is set.
type decision struct {
	reservation *Reservation
	refusal     *RefusedError
}

// Admit charges the cost to the organisation. If too few tokens are available, the request waits in arrival order,
// but only while they are expected before its deadline: MaxWait from now, or the deadline of the context if that is
// earlier. The error is a *RefusedError.
func (l *Limiter) Admit(ctx context.Context, org ident.OrganisationID, cost ident.Tokens) (*Reservation, error) {
	refusal := &RefusedError{Organisation: org}
	if !l.serving() {
		refusal.Reason, refusal.RetryAfter = ReasonNotServing, unreachableRetryAfter
		return nil, refusal
	}
	o := l.orgLimiter(org)
	if o == nil {
		refusal.Reason = ReasonUnknownOrganisation
		return nil, refusal
	}
	reservation, w, refusal := o.admit(ctx, max(0, cost))
	if refusal != nil {
		return nil, refusal
	}
	if w == nil {
		return reservation, nil
	}
	return o.await(ctx, w)
}

// admit charges the cost at once, refuses the request, or queues a waiter.
func (o *orgLimiter) admit(ctx context.Context, cost ident.Tokens) (*Reservation, *waiter, *RefusedError) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	if !o.exists {
		return nil, nil, o.refusal(ReasonUnknownOrganisation, 0)
	}
	if cost > o.limit.Burst {
		return nil, nil, o.refusal(ReasonAboveBurst, 0)
	}
	target := o.prefetchTarget(cost, now)
	o.demand.add(cost, now)
	if len(o.queue) == 0 {
		if r, ok := o.tryCharge(cost, now); ok {
			o.prefetch(target, now)
			o.rebalance(now)
			return r, nil, nil
		}
	}
	w := &waiter{cost: cost, deadline: o.waitDeadline(ctx, now), decided: make(chan decision, 1)}
	if refusal := o.immediateRefusal(w, now); refusal != nil {
		return nil, nil, refusal
	}
	if !o.enqueue(w) {
		return nil, nil, o.refusal(ReasonNotServing, unreachableRetryAfter)
	}
	return nil, w, nil
}

// waitDeadline returns the time until which a request can wait for tokens.
func (o *orgLimiter) waitDeadline(ctx context.Context, now time.Time) time.Time {
	deadline := now.Add(o.limiter.MaxWait)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		return d
	}
	return deadline
}

func (o *orgLimiter) refusal(reason Reason, retryAfter time.Duration) *RefusedError {
	return &RefusedError{Organisation: o.org, Reason: reason, RetryAfter: retryAfter}
}

// immediateRefusal returns the refusal of a request that need not be queued because, as far as this daemon knows, all
// homes together cannot supply its tokens before its deadline; nil otherwise.
func (o *orgLimiter) immediateRefusal(w *waiter, now time.Time) *RefusedError {
	missing := o.queuedTokens + w.cost - o.ownTokens(now) - o.heldTokens()
	if o.grantPossible(missing, now) {
		return nil
	}
	return o.lateRefusal(w, missing, now)
}

// enqueue appends a waiter and starts the queue goroutine if needed; false when the limiter is closed.
func (o *orgLimiter) enqueue(w *waiter) bool {
	o.queue = append(o.queue, w)
	o.queuedTokens += w.cost
	if o.queueRunning {
		o.wakeQueue()
		return true
	}
	o.queueRunning = o.limiter.scope.Go(o.runQueue)
	if !o.queueRunning {
		o.dequeue(w)
	}
	return o.queueRunning
}

// dequeue removes a waiter from the queue; false when its decision has already been made.
func (o *orgLimiter) dequeue(w *waiter) bool {
	for i := range o.queue {
		if o.queue[i] == w {
			o.queue = append(o.queue[:i], o.queue[i+1:]...)
			o.queuedTokens -= w.cost
			return true
		}
	}
	return false
}

// await returns the decision of a waiter, or a refusal with ReasonCancelled when the context ends first.
func (o *orgLimiter) await(ctx context.Context, w *waiter) (*Reservation, error) {
	select {
	case d := <-w.decided:
		return d.result()
	case <-ctx.Done():
	}
	o.mu.Lock()
	removed := o.dequeue(w)
	o.mu.Unlock()
	if !removed {
		return (<-w.decided).result()
	}
	refusal := o.refusal(ReasonCancelled, 0)
	refusal.Err = context.Cause(ctx)
	return nil, refusal
}

func (d decision) result() (*Reservation, error) {
	if d.refusal != nil {
		return nil, d.refusal
	}
	return d.reservation, nil
}
