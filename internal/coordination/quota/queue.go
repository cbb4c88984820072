package quota

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// runQueue serves the queue until it is empty.
func (o *orgLimiter) runQueue() {
	for {
		next, more := o.processQueue()
		if !more {
			return
		}
		timer := time.NewTimer(max(minRetryAfter, time.Until(next)))
		select {
		case <-o.wake:
		case <-timer.C:
		case <-o.limiter.scope.Context().Done():
		}
		timer.Stop()
	}
}

// processQueue admits and refuses waiters and asks homes for the missing tokens. It returns when to look at the queue
// again; more is false when the queue is empty.
func (o *orgLimiter) processQueue() (next time.Time, more bool) {
	// A daemon that was suspended while requests waited may have lost its lease, and its share to another home.
	serving := o.limiter.serving() && o.limiter.scope.Context().Err() == nil
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	if !serving {
		o.refuseAll(ReasonNotServing)
	}
	if !o.exists {
		o.refuseAll(ReasonUnknownOrganisation)
	}
	o.admitWaiters(now)
	if len(o.queue) > 0 {
		o.askForMissing(now)
		next = o.refuseLate(now)
	}
	if len(o.queue) > 0 {
		return next, true
	}
	o.queueAtOwnBucket(0, now)
	o.queueRunning = false
	return now, false
}

func (o *orgLimiter) refuseAll(reason Reason) {
	for _, w := range o.queue {
		w.decided <- decision{refusal: o.refusal(reason, 0)}
	}
	o.queue, o.queuedTokens = nil, 0
}

// admitWaiters admits waiters in arrival order, as far as the tokens suffice.
func (o *orgLimiter) admitWaiters(now time.Time) {
	for len(o.queue) > 0 {
		w := o.queue[0]
		r, ok := o.tryCharge(w.cost, now)
		if !ok {
			return
		}
		o.dequeue(w)
		w.decided <- decision{reservation: r}
	}
}

// askForMissing asks homes in parallel for the tokens that the queue lacks.
func (o *orgLimiter) askForMissing(now time.Time) {
	have := o.ownTokens(now) + o.heldTokens()
	missing := min(o.queuedTokens, o.limit.Burst) - have
	o.queueAtOwnBucket(missing, now)
	o.askHomes(missing, o.queue[0].cost-have, now)
}

// queueAtOwnBucket queues this daemon at its own bucket for its part of the missing tokens, so that other daemons do
// not take them first. With 0 it leaves that queue.
func (o *orgLimiter) queueAtOwnBucket(missing ident.Tokens, now time.Time) {
	if o.bucket == nil {
		return
	}
	partTokens := (missing + ident.Tokens(len(o.homes))) / ident.Tokens(len(o.homes)+1)
	if partTokens <= 0 {
		o.bucket.dequeueAsk(o.limiter.Self)
		return
	}
	maxWait := o.queue[len(o.queue)-1].deadline.Sub(now)
	o.bucket.queueAsk(o.limiter.Self, toMicroTokens(partTokens+o.ownTokens(now)), maxWait, now)
}

// askHomes asks homes that may have tokens for equal parts of n, less what was just asked for: all of them when n is
// a large part of the burst, else one or a few in round-robin order (askCount). firstMissing is what the first waiter
// lacks; a home is asked only if it may have its part of that.
func (o *orgLimiter) askHomes(n, firstMissing ident.Tokens, now time.Time) {
	ready := make([]ident.DaemonID, 0, len(o.homes))
	for _, home := range o.homes {
		h := o.homeState(home)
		if h.answerExpectedSoon(now) {
			n -= h.askedTokens
		}
		if h.ready(o.partPerHome(firstMissing), now) {
			ready = append(ready, home)
		}
	}
	if n <= 0 || len(ready) == 0 {
		return
	}
	count := min(len(ready), o.askCount(n))
	partTokens := (n + ident.Tokens(count) - 1) / ident.Tokens(count)
	o.nextHome++
	for i := range count {
		home := ready[(o.nextHome+i)%len(ready)]
		h := o.homeState(home)
		h.askInFlight, h.askedTokens, h.askedAt = true, partTokens, now
		o.limiter.homeClient(home).ask(o, askAmounts{grant: partTokens})
	}
}

// askCount returns how many homes to ask for n tokens, so that each is asked for a small part of its share of the
// burst.
func (o *orgLimiter) askCount(n ident.Tokens) int {
	smallAsk := max(1, o.limit.Burst/ident.Tokens(smallAskDivisor*len(o.homes)))
	return int((n + smallAsk - 1) / smallAsk)
}

// answerExpectedSoon reports whether an ask is in flight for less than hedgeDelay. Later its tokens are asked of
// other homes too.
func (h *homeState) answerExpectedSoon(now time.Time) bool {
	return h.askInFlight && now.Sub(h.askedAt) < hedgeDelay
}

// ready reports whether the home can be asked and may have the given number of tokens.
func (h *homeState) ready(part float64, now time.Time) bool {
	if h.askInFlight || now.Before(h.unreachableUntil) {
		return false
	}
	return !now.Before(h.readyAt(part))
}

// partPerHome returns one home's part of n tokens.
func (o *orgLimiter) partPerHome(n ident.Tokens) float64 {
	return float64(max(1, n)) / float64(len(o.homes))
}

// grantPossible reports whether an ask is in flight at a home, or a home can be asked that may have its part of the
// missing tokens now.
func (o *orgLimiter) grantPossible(missing ident.Tokens, now time.Time) bool {
	for _, home := range o.homes {
		h := o.homeState(home)
		if h.askInFlight || h.ready(o.partPerHome(missing), now) {
			return true
		}
	}
	return false
}

// lateRefusal returns the refusal of a waiter if the missing tokens, its own and those of the waiters before it, are
// not expected before its deadline; nil otherwise.
func (o *orgLimiter) lateRefusal(w *waiter, missing ident.Tokens, now time.Time) *RefusedError {
	if missing <= 0 {
		return nil
	}
	rate := o.expectedRate(now)
	if rate <= 0 {
		return o.refusal(o.noTokensReason(), unreachableRetryAfter)
	}
	wait := max(minRetryAfter, time.Duration(min(float64(missing)/rate, maxRetryAfter.Seconds())*float64(time.Second)))
	if now.Add(wait).After(w.deadline) {
		return o.refusal(ReasonOverRate, wait)
	}
	return nil
}

// noTokensReason returns the reason of a refusal when no home is expected to have tokens.
func (o *orgLimiter) noTokensReason() Reason {
	if o.bucket == nil {
		return ReasonUnreachable
	}
	return ReasonOverRate
}

// expectedRate returns the tokens a second that this daemon can expect from its own bucket and from reachable homes.
func (o *orgLimiter) expectedRate(now time.Time) float64 {
	var rate float64
	if o.bucket != nil {
		rate = float64(o.bucket.rate) / microTokensPerToken
	}
	for _, home := range o.homes {
		h := o.homeState(home)
		if !now.Before(h.unreachableUntil) {
			rate += h.expectedRate
		}
	}
	return rate
}

// refuseLate refuses the waiters that cannot be admitted before their deadlines. It returns when to look at the queue
// again.
func (o *orgLimiter) refuseLate(now time.Time) time.Time {
	have := o.ownTokens(now) + o.heldTokens()
	missing := -have
	next := now.Add(maxRetryAfter)
	kept := o.queue[:0:0]
	o.queuedTokens = 0
	for _, w := range o.queue {
		refusal := o.waiterRefusal(w, missing+w.cost, now)
		if refusal != nil {
			w.decided <- decision{refusal: refusal}
			continue
		}
		kept = append(kept, w)
		missing += w.cost
		o.queuedTokens += w.cost
		next = earlier(next, w.deadline)
	}
	o.queue = kept
	if len(kept) == 0 {
		return now
	}
	return earlier(next, o.nextTokens(kept[0].cost-have, now))
}

// waiterRefusal returns the refusal of a waiter whose tokens are not expected before its deadline; nil while it may
// wait. If a home may still grant the tokens at once, its answer is awaited until askTimeout after the deadline.
func (o *orgLimiter) waiterRefusal(w *waiter, missing ident.Tokens, now time.Time) *RefusedError {
	if !o.grantPossible(missing, now) {
		return o.lateRefusal(w, missing, now)
	}
	if now.Before(w.deadline.Add(askTimeout)) {
		return nil
	}
	return o.refusal(ReasonUnreachable, unreachableRetryAfter)
}

// nextTokens returns the earliest time at which tokens for the first waiter are expected or another home can be
// asked.
func (o *orgLimiter) nextTokens(missing ident.Tokens, now time.Time) time.Time {
	next := now.Add(maxRetryAfter)
	for _, home := range o.homes {
		h := o.homeState(home)
		switch {
		case h.answerExpectedSoon(now):
			next = earlier(next, h.askedAt.Add(hedgeDelay))
		case h.askInFlight:
		case now.Before(h.unreachableUntil):
			next = earlier(next, h.unreachableUntil)
		default:
			next = earlier(next, h.readyAt(o.partPerHome(missing)))
		}
	}
	if rate := o.expectedRate(now); o.bucket != nil && rate > 0 {
		// All homes supply their parts at the same time, so the own bucket has its part when expectedRate has covered
		// all that is missing.
		wait := time.Duration(float64(missing) / rate * float64(time.Second))
		next = earlier(next, now.Add(max(minRetryAfter, wait, o.bucket.refilledUntil.Sub(now))))
	}
	return next
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// prefetchTarget returns the tokens that recent demand will need within prefetchHorizon; 0 when that is less than the
// cost of another request like this one.
func (o *orgLimiter) prefetchTarget(cost ident.Tokens, now time.Time) ident.Tokens {
	n := o.demandInHorizon(now)
	if n < cost {
		return 0
	}
	return n
}

// demandInHorizon returns the tokens that recent demand, capped at the rate of the limit, takes in prefetchHorizon.
func (o *orgLimiter) demandInHorizon(now time.Time) ident.Tokens {
	perSecond := min(o.demand.rate(now), float64(o.limit.Rate))
	return ident.Tokens(perSecond * prefetchHorizon.Seconds())
}

// prefetch asks homes for tokens ahead of need when less than half of the target is available.
func (o *orgLimiter) prefetch(target ident.Tokens, now time.Time) {
	if target == 0 {
		return
	}
	have := o.ownTokens(now) + o.heldTokens()
	if have < target/2 {
		o.askHomes(target-have, target-have, now)
	}
}
