package quota

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// pump serves the queue until it is empty.
func (e *entry) pump() {
	for {
		next, more := e.step()
		if !more {
			return
		}
		timer := time.NewTimer(max(minRetryAfter, time.Until(next)))
		select {
		case <-e.wake:
		case <-timer.C:
		case <-e.limiter.life.Context().Done():
		}
		timer.Stop()
	}
}

// step admits and refuses waiters and asks homes for what is missing. It returns when to look again.
func (e *entry) step() (next time.Time, more bool) {
	// A daemon that was paused while requests waited may have lost its share to another home.
	serving := e.limiter.serving() && e.limiter.life.Context().Err() == nil
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if !serving {
		e.refuseAll(ReasonNotServing)
	}
	if !e.known {
		e.refuseAll(ReasonUnknownOrganisation)
	}
	e.serve(now)
	if len(e.queue) > 0 {
		e.gather(now)
		next = e.decide(now)
	}
	if len(e.queue) > 0 {
		return next, true
	}
	e.awaitOwn(0, now)
	e.pumping = false
	return now, false
}

func (e *entry) refuseAll(reason Reason) {
	for _, w := range e.queue {
		w.done <- verdict{refusal: e.refusal(reason, 0)}
	}
	e.queue, e.queued = nil, 0
}

// serve admits waiters in the order of their arrival.
func (e *entry) serve(now time.Time) {
	for len(e.queue) > 0 {
		w := e.queue[0]
		r, ok := e.take(w.cost, now)
		if !ok {
			return
		}
		e.remove(w)
		w.done <- verdict{reservation: r}
	}
}

// gather asks the homes in parallel for the tokens that the queue lacks.
func (e *entry) gather(now time.Time) {
	have := e.own(now) + e.pooled()
	missing := min(e.queued, e.limit.Burst) - have
	e.awaitOwn(missing, now)
	e.ask(missing, e.queue[0].cost-have, now)
}

// awaitOwn queues this daemon at its own bucket for its part of the missing tokens.
func (e *entry) awaitOwn(missing ident.Tokens, now time.Time) {
	if e.bucket == nil {
		return
	}
	part := (missing + ident.Tokens(len(e.homes))) / ident.Tokens(len(e.homes)+1)
	if part <= 0 {
		e.bucket.unqueue(e.limiter.Self)
		return
	}
	patience := e.queue[len(e.queue)-1].deadline.Sub(now)
	e.bucket.await(e.limiter.Self, toMicro(part+e.own(now)), patience, now)
}

// ask asks homes that may have tokens for equal parts of n, less what is under way: all of them when n is a notable part
// of the burst, else the next one or few in turn. first is the part of n that the first waiting request needs.
func (e *entry) ask(n, first ident.Tokens, now time.Time) {
	ready := make([]ident.DaemonID, 0, len(e.homes))
	for _, home := range e.homes {
		p := e.peer(home)
		if p.underWay(now) {
			n -= p.asked
		}
		if p.ready(e.part(first), now) {
			ready = append(ready, home)
		}
	}
	if n <= 0 || len(ready) == 0 {
		return
	}
	count := min(len(ready), e.askCount(n))
	part := (n + ident.Tokens(count) - 1) / ident.Tokens(count)
	e.turn++
	for i := range count {
		home := ready[(e.turn+i)%len(ready)]
		p := e.peer(home)
		p.asking, p.asked, p.askedAt = true, part, now
		e.limiter.link(home).ask(e, wanted{grant: part})
	}
}

// askCount returns how many homes to ask for n tokens, such that each is asked for a small part of its share.
func (e *entry) askCount(n ident.Tokens) int {
	small := max(1, e.limit.Burst/ident.Tokens(smallAskParts*len(e.homes)))
	return int((n + small - 1) / small)
}

// underWay tells whether an answer is expected soon.
func (p *peer) underWay(now time.Time) bool {
	return p.asking && now.Sub(p.askedAt) < hedgeDelay
}

// ready tells whether the home can be asked and may have a part of the tokens.
func (p *peer) ready(part float64, now time.Time) bool {
	if p.asking || now.Before(p.failedUntil) {
		return false
	}
	return !now.Before(p.readyAt(part))
}

// part returns one home's part of tokens.
func (e *entry) part(n ident.Tokens) float64 {
	return float64(max(1, n)) / float64(len(e.homes))
}

// undecided tells whether a home may still grant the missing tokens at once.
func (e *entry) undecided(missing ident.Tokens, now time.Time) bool {
	for _, home := range e.homes {
		p := e.peer(home)
		if p.asking || p.ready(e.part(missing), now) {
			return true
		}
	}
	return false
}

// judge returns the refusal of a request when the missing tokens, its own and those of the requests before it, are
// not minted within its patience.
func (e *entry) judge(w *waiter, missing ident.Tokens, now time.Time) *RefusedError {
	if missing <= 0 {
		return nil
	}
	flow := e.flow(now)
	if flow <= 0 {
		return e.refusal(e.starved(), unreachableRetryAfter)
	}
	wait := max(minRetryAfter, time.Duration(min(float64(missing)/flow, maxRetryAfter.Seconds())*float64(time.Second)))
	if now.Add(wait).After(w.deadline) {
		return e.refusal(ReasonOverRate, wait)
	}
	return nil
}

// starved returns the reason for having no tokens to wait for.
func (e *entry) starved() Reason {
	if e.bucket == nil {
		return ReasonUnreachable
	}
	return ReasonOverRate
}

// flow returns the tokens a second that this daemon can expect from all homes.
func (e *entry) flow(now time.Time) float64 {
	var flow float64
	if e.bucket != nil {
		flow = float64(e.bucket.rate) / microPerToken
	}
	for _, home := range e.homes {
		p := e.peer(home)
		if !now.Before(p.failedUntil) {
			flow += p.flow
		}
	}
	return flow
}

// decide refuses the waiters that can't be admitted within their patience and returns when to look again.
func (e *entry) decide(now time.Time) time.Time {
	have := e.own(now) + e.pooled()
	missing := -have
	next := now.Add(maxRetryAfter)
	kept := e.queue[:0:0]
	e.queued = 0
	for _, w := range e.queue {
		refusal := e.overdue(w, missing+w.cost, now)
		if refusal != nil {
			w.done <- verdict{refusal: refusal}
			continue
		}
		kept = append(kept, w)
		missing += w.cost
		e.queued += w.cost
		next = earlier(next, w.deadline)
	}
	e.queue = kept
	if len(kept) == 0 {
		return now
	}
	return earlier(next, e.nextTokens(kept[0].cost-have, now))
}

// overdue returns the refusal of a waiter whose patience has ended or will end before the tokens are there.
func (e *entry) overdue(w *waiter, missing ident.Tokens, now time.Time) *RefusedError {
	if !e.undecided(missing, now) {
		return e.judge(w, missing, now)
	}
	if now.Before(w.deadline.Add(askTimeout)) {
		return nil
	}
	return e.refusal(ReasonUnreachable, unreachableRetryAfter)
}

// nextTokens returns when tokens for the first waiter may have come.
func (e *entry) nextTokens(missing ident.Tokens, now time.Time) time.Time {
	next := now.Add(maxRetryAfter)
	for _, home := range e.homes {
		p := e.peer(home)
		switch {
		case p.underWay(now):
			next = earlier(next, p.askedAt.Add(hedgeDelay))
		case p.asking:
		case now.Before(p.failedUntil):
			next = earlier(next, p.failedUntil)
		default:
			next = earlier(next, p.readyAt(e.part(missing)))
		}
	}
	if flow := e.flow(now); e.bucket != nil && flow > 0 {
		// A part of the missing tokens comes from the own bucket, at the same time as those of other homes.
		wait := time.Duration(float64(missing) / flow * float64(time.Second))
		next = earlier(next, now.Add(max(minRetryAfter, wait, e.bucket.last.Sub(now))))
	}
	return next
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// expected returns the tokens that recent demand will need within the prefetch horizon, and 0 when that is less than
// another request like this one.
func (e *entry) expected(cost ident.Tokens, now time.Time) ident.Tokens {
	n := e.horizon(now)
	if n < cost {
		return 0
	}
	return n
}

func (e *entry) horizon(now time.Time) ident.Tokens {
	perSecond := min(e.demand.rate(now), float64(e.limit.Rate))
	return ident.Tokens(perSecond * prefetchHorizon.Seconds())
}

// prefetch asks for tokens ahead of need when less than half of the expected tokens is left.
func (e *entry) prefetch(expected ident.Tokens, now time.Time) {
	if expected == 0 {
		return
	}
	have := e.own(now) + e.pooled()
	if have < expected/2 {
		e.ask(expected-have, expected-have, now)
	}
}
