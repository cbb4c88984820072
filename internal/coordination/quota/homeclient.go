package quota

import (
	"context"
	"sync"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// homeClient sends this daemon's asks to one home, one request at a time. Asks and settlements that come up in the
// meantime go into the next request.
type homeClient struct {
	limiter *Limiter
	home    ident.DaemonID

	mu sync.Mutex
	// asks holds the tokens to ask for; toSettle the organisations that have grants of the home or settlements for
	// it.
	asks     map[*orgLimiter]askAmounts
	toSettle map[*orgLimiter]struct{}
	running  bool
	wake     chan struct{}
	// sequence is accessed only by the goroutine in run.
	sequence uint64
}

// askAmounts is what is asked of a home for one organisation.
type askAmounts struct {
	// grant counts tokens to be granted for grantTTL, transfer tokens to be moved into the own bucket for good.
	grant, transfer ident.Tokens
}

func (l *Limiter) homeClient(home ident.DaemonID) *homeClient {
	if c, ok := l.homeClients.load(home); ok {
		return c
	}
	return l.homeClients.loadOrStore(home, &homeClient{
		limiter:  l,
		home:     home,
		asks:     make(map[*orgLimiter]askAmounts),
		toSettle: make(map[*orgLimiter]struct{}),
		wake:     make(chan struct{}, 1),
	})
}

// ask adds tokens to the next request, which is sent as soon as the one in flight is done.
func (c *homeClient) ask(o *orgLimiter, amounts askAmounts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	total := c.asks[o]
	total.grant += amounts.grant
	total.transfer += amounts.transfer
	c.asks[o] = total
	c.startRunning()
	c.flushLocked()
}

// flush sends the settlements without waiting for settlementDelay.
func (c *homeClient) flush() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.flushLocked()
}

func (c *homeClient) flushLocked() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// settleSoon schedules the settlements of an organisation: they go with the next ask, or after settlementDelay.
func (c *homeClient) settleSoon(o *orgLimiter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.toSettle[o] = struct{}{}
	c.startRunning()
}

// startRunning starts the sending goroutine unless it runs. The mutex is held.
func (c *homeClient) startRunning() {
	if !c.running {
		c.running = c.limiter.scope.Go(c.run)
	}
}

func (c *homeClient) run() {
	for c.waitForWork() {
		asks, toSettle := c.takeWork()
		req := c.buildRequest(asks, toSettle)
		if len(req.GetAsks()) > 0 {
			c.sendUntilAnswered(req, asks)
		}
	}
}

// waitForWork waits until there is something to send; false when the goroutine must end.
func (c *homeClient) waitForWork() bool {
	c.mu.Lock()
	hasAsks := len(c.asks) > 0
	c.running = hasAsks || len(c.toSettle) > 0
	more := c.running
	c.mu.Unlock()
	if hasAsks || !more {
		return more
	}
	timer := time.NewTimer(settlementDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.wake:
	case <-c.limiter.scope.Context().Done():
		return false
	}
	return true
}

func (c *homeClient) takeWork() (asks map[*orgLimiter]askAmounts, toSettle map[*orgLimiter]struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	asks, toSettle = c.asks, c.toSettle
	c.asks = make(map[*orgLimiter]askAmounts)
	c.toSettle = make(map[*orgLimiter]struct{})
	return asks, toSettle
}

// buildRequest builds one request from the asks and all settlements that are due.
func (c *homeClient) buildRequest(asks map[*orgLimiter]askAmounts, toSettle map[*orgLimiter]struct{}) *wire.GrantRequest {
	for o := range asks {
		toSettle[o] = struct{}{}
	}
	c.sequence++
	req := &wire.GrantRequest{
		DaemonId:    string(c.limiter.Self),
		Incarnation: uint64(c.limiter.Incarnation),
		Sequence:    c.sequence,
	}
	now := time.Now()
	for o := range toSettle {
		ask, holdsGrants := o.buildAsk(c.home, asks[o], now)
		if holdsGrants {
			c.settleSoon(o)
		}
		if asks[o] != (askAmounts{}) || len(ask.GetSettlements()) > 0 {
			req.Asks = append(req.Asks, ask)
		}
	}
	return req
}

// buildAsk returns the ask of an organisation with the settlements that are due; holdsGrants reports whether grants
// of the home are left, which will need a settlement later.
func (o *orgLimiter) buildAsk(home ident.DaemonID, amounts askAmounts, now time.Time) (ask *wire.GrantAsk, holdsGrants bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.dropExpired(now)
	holdsGrants = o.returnOrRenew(home, now)
	h := o.homeState(home)
	ask = &wire.GrantAsk{
		OrganisationId: string(o.org),
		Tokens:         int64(amounts.grant),
		TransferTokens: int64(amounts.transfer),
	}
	for grantID, s := range h.unsentSettlements {
		ask.Settlements = append(ask.Settlements, s)
		delete(h.unsentSettlements, grantID)
	}
	h.unreportedTokens = 0
	if len(o.queue) > 0 {
		ask.WaitMs = o.queue[len(o.queue)-1].deadline.Sub(now).Milliseconds()
	}
	return ask, holdsGrants
}

// returnOrRenew handles grants of the home that are past keepUntil: it renews them while requests wait for tokens,
// otherwise it returns them. It reports whether grants of the home are left.
func (o *orgLimiter) returnOrRenew(home ident.DaemonID, now time.Time) bool {
	holdsGrants := false
	kept := o.heldGrants[:0]
	for _, g := range o.heldGrants {
		if g.home != home || now.Before(g.keepUntil) {
			holdsGrants = holdsGrants || g.home == home
			kept = append(kept, g)
			continue
		}
		s := o.nextSettlement(home, g.grantID)
		if len(o.queue) == 0 {
			s.Returned += int64(g.tokens)
			continue
		}
		s.Renew = true
		g.renewing = true
		holdsGrants = true
		kept = append(kept, g)
	}
	o.heldGrants = kept
	return holdsGrants
}

// sendUntilAnswered repeats a request until it is answered, for up to grantReturnAge: grants of a later answer would
// be due for return or renewal at once.
func (c *homeClient) sendUntilAnswered(req *wire.GrantRequest, asks map[*orgLimiter]askAmounts) {
	sentAt := time.Now()
	for {
		resp, err := c.send(req)
		if err == nil {
			c.applyResponse(req, resp, sentAt)
			return
		}
		c.markUnreachable(asks)
		select {
		case <-time.After(askBackoff):
		case <-c.limiter.scope.Context().Done():
			return
		}
		if time.Since(sentAt) > grantReturnAge {
			return
		}
	}
}

func (c *homeClient) send(req *wire.GrantRequest) (*wire.GrantResponse, error) {
	ctx, cancel := context.WithTimeout(c.limiter.scope.Context(), askTimeout)
	defer cancel()
	return c.limiter.Peers.Grant(ctx, c.home, req)
}

// markUnreachable records for the organisations that the home did not answer.
func (c *homeClient) markUnreachable(asks map[*orgLimiter]askAmounts) {
	until := time.Now().Add(failedHomeBackoff)
	for o := range asks {
		o.mu.Lock()
		h := o.homeState(c.home)
		h.askInFlight, h.transferInFlight = false, false
		h.unreachableUntil = until
		o.wakeQueue()
		o.mu.Unlock()
	}
}

// applyResponse passes each answer to the limiter of its organisation.
func (c *homeClient) applyResponse(req *wire.GrantRequest, resp *wire.GrantResponse, sentAt time.Time) {
	answers := make(map[string]*wire.GrantAnswer, len(resp.GetAnswers()))
	for _, answer := range resp.GetAnswers() {
		answers[answer.GetOrganisationId()] = answer
	}
	for _, ask := range req.GetAsks() {
		o, ok := c.limiter.orgLimiters.load(ident.OrganisationID(ask.GetOrganisationId()))
		if ok {
			o.applyAnswer(c, ask, answers[ask.GetOrganisationId()], sentAt)
		}
	}
}

// applyAnswer applies the answer to an ask; nil means that the home granted and transferred nothing.
func (o *orgLimiter) applyAnswer(c *homeClient, ask *wire.GrantAsk, answer *wire.GrantAnswer, sentAt time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.endRenewals(c.home, !answer.GetNotHome() && !answer.GetNotRenewed(), sentAt)
	if ask.GetTransferTokens() > 0 {
		o.applyTransfer(o.homeState(c.home), ask, answer)
	}
	if ask.GetTokens() == 0 {
		return
	}
	o.updateHome(o.homeState(c.home), ask, answer)
	if answer.GetTokens() > 0 {
		o.heldGrants = append(o.heldGrants, heldGrant{
			home:      c.home,
			grantID:   answer.GetGrantId(),
			tokens:    ident.Tokens(answer.GetTokens()),
			expiresAt: sentAt.Add(grantTTL),
			keepUntil: sentAt.Add(grantReturnAge),
		})
		c.settleSoon(o)
	}
	o.wakeQueue()
}

// endRenewals completes the renewals of an answered ask; ok reports whether the home has renewed the grants.
func (o *orgLimiter) endRenewals(home ident.DaemonID, ok bool, sentAt time.Time) {
	for i := range o.heldGrants {
		g := &o.heldGrants[i]
		if g.home != home || !g.renewing {
			continue
		}
		g.renewing = false
		if ok {
			g.expiresAt = sentAt.Add(grantTTL)
			g.keepUntil = sentAt.Add(grantReturnAge)
		}
	}
}

// updateHome records from an answer when and at which rate the home expects to have tokens for this daemon.
func (o *orgLimiter) updateHome(h *homeState, ask *wire.GrantAsk, answer *wire.GrantAnswer) {
	now := time.Now()
	h.askInFlight = false
	h.unreachableUntil = time.Time{}
	h.answeredAt, h.retryAt, h.expectedRate = now, now, 0
	retryAfter := time.Duration(answer.GetRetryAfterMs()) * time.Millisecond
	if retryAfter > 0 {
		h.retryAt = now.Add(max(minHomeRetryPause, retryAfter))
		h.expectedRate = float64(ask.GetTokens()-answer.GetTokens()) / retryAfter.Seconds()
	}
	if answer.GetNotHome() {
		h.retryAt = now.Add(failedHomeBackoff)
	}
}
