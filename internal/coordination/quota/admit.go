package quota

import (
	"context"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// waiter is a request that waits for tokens.
type waiter struct {
	cost     ident.Tokens
	deadline time.Time
	done     chan verdict
}

// verdict is the answer to a waiter; one of its fields is set.
type verdict struct {
	reservation *Reservation
	refusal     *RefusedError
}

// Admit charges the cost to the organisation. It waits for tokens, in the order of arrival, only when they are
// expected within the patience: MaxWait or the deadline of the context. The error is a *RefusedError.
func (l *Limiter) Admit(ctx context.Context, org ident.OrganisationID, cost ident.Tokens) (*Reservation, error) {
	refusal := &RefusedError{Organisation: org}
	if !l.serving() {
		refusal.Reason, refusal.RetryAfter = ReasonNotServing, unreachableRetryAfter
		return nil, refusal
	}
	e := l.entry(org)
	if e == nil {
		refusal.Reason = ReasonUnknownOrganisation
		return nil, refusal
	}
	reservation, w, refusal := e.admit(ctx, max(0, cost))
	if refusal != nil {
		return nil, refusal
	}
	if w == nil {
		return reservation, nil
	}
	return e.await(ctx, w)
}

// admit charges the cost at once, refuses, or queues a waiter.
func (e *entry) admit(ctx context.Context, cost ident.Tokens) (*Reservation, *waiter, *RefusedError) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if !e.known {
		return nil, nil, e.refusal(ReasonUnknownOrganisation, 0)
	}
	if cost > e.limit.Burst {
		return nil, nil, e.refusal(ReasonAboveBurst, 0)
	}
	expected := e.expected(cost, now)
	e.demand.add(cost, now)
	if len(e.queue) == 0 {
		if r, ok := e.take(cost, now); ok {
			e.prefetch(expected, now)
			e.rebalance(now)
			return r, nil, nil
		}
	}
	w := &waiter{cost: cost, deadline: e.deadline(ctx, now), done: make(chan verdict, 1)}
	if refusal := e.hopeless(w, now); refusal != nil {
		return nil, nil, refusal
	}
	if !e.enqueue(w) {
		return nil, nil, e.refusal(ReasonNotServing, unreachableRetryAfter)
	}
	return nil, w, nil
}

// deadline returns until when a request can wait for tokens.
func (e *entry) deadline(ctx context.Context, now time.Time) time.Time {
	deadline := now.Add(e.limiter.MaxWait)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		return d
	}
	return deadline
}

func (e *entry) refusal(reason Reason, retry time.Duration) *RefusedError {
	return &RefusedError{Organisation: e.org, Reason: reason, RetryAfter: retry}
}

// hopeless returns the refusal of a request that all homes together can't admit within its patience, as far as known.
func (e *entry) hopeless(w *waiter, now time.Time) *RefusedError {
	missing := e.queued + w.cost - e.own(now) - e.pooled()
	if e.undecided(missing, now) {
		return nil
	}
	return e.judge(w, missing, now)
}

func (e *entry) enqueue(w *waiter) bool {
	e.queue = append(e.queue, w)
	e.queued += w.cost
	if e.pumping {
		e.signal()
		return true
	}
	e.pumping = e.limiter.life.Go(e.pump)
	if !e.pumping {
		e.remove(w)
	}
	return e.pumping
}

// remove takes a waiter out of the queue; false when it has its verdict.
func (e *entry) remove(w *waiter) bool {
	for i := range e.queue {
		if e.queue[i] == w {
			e.queue = append(e.queue[:i], e.queue[i+1:]...)
			e.queued -= w.cost
			return true
		}
	}
	return false
}

// await returns the verdict of a waiter.
func (e *entry) await(ctx context.Context, w *waiter) (*Reservation, error) {
	select {
	case v := <-w.done:
		return v.result()
	case <-ctx.Done():
	}
	e.mu.Lock()
	removed := e.remove(w)
	e.mu.Unlock()
	if !removed {
		return (<-w.done).result()
	}
	refusal := e.refusal(ReasonCancelled, 0)
	refusal.Err = context.Cause(ctx)
	return nil, refusal
}

func (v verdict) result() (*Reservation, error) {
	if v.refusal != nil {
		return nil, v.refusal
	}
	return v.reservation, nil
}
