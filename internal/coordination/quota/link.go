package quota

import (
	"context"
	"sync"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// link sends this daemon's asks to one home, one request at a time: what comes up meanwhile is packed into the next.
type link struct {
	limiter *Limiter
	home    ident.DaemonID

	mu sync.Mutex
	// asks holds the tokens to ask for; touched the entries that hold grants or settlements of the home.
	asks    map[*entry]wanted
	touched map[*entry]struct{}
	running bool
	kick    chan struct{}
	// sequence is used by the running goroutine only.
	sequence uint64
}

// wanted is what an entry asks a home for.
type wanted struct {
	// grant counts tokens to spend within a time to live, transfer tokens to move into the own bucket.
	grant, transfer ident.Tokens
}

func (l *Limiter) link(home ident.DaemonID) *link {
	if k, ok := l.links.load(home); ok {
		return k
	}
	return l.links.loadOrStore(home, &link{
		limiter: l,
		home:    home,
		asks:    make(map[*entry]wanted),
		touched: make(map[*entry]struct{}),
		kick:    make(chan struct{}, 1),
	})
}

// ask sends an ask for tokens as soon as the request before it is answered.
func (k *link) ask(e *entry, more wanted) {
	k.mu.Lock()
	defer k.mu.Unlock()
	w := k.asks[e]
	w.grant += more.grant
	w.transfer += more.transfer
	k.asks[e] = w
	k.begin()
	k.flushLocked()
}

// flush sends the settlements without delay.
func (k *link) flush() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.flushLocked()
}

func (k *link) flushLocked() {
	select {
	case k.kick <- struct{}{}:
	default:
	}
}

// touch sends the settlements of the entry with the next ask or after settleDelay.
func (k *link) touch(e *entry) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.touched[e] = struct{}{}
	k.begin()
}

func (k *link) begin() {
	if !k.running {
		k.running = k.limiter.life.Go(k.run)
	}
}

func (k *link) run() {
	for k.pause() {
		asks, touched := k.collect()
		req := k.request(asks, touched)
		if len(req.GetAsks()) > 0 {
			k.exchange(req, asks)
		}
	}
}

// pause waits for something to send; false when the goroutine is to end.
func (k *link) pause() bool {
	k.mu.Lock()
	asking := len(k.asks) > 0
	k.running = asking || len(k.touched) > 0
	more := k.running
	k.mu.Unlock()
	if asking || !more {
		return more
	}
	timer := time.NewTimer(settleDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-k.kick:
	case <-k.limiter.life.Context().Done():
		return false
	}
	return true
}

func (k *link) collect() (asks map[*entry]wanted, touched map[*entry]struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	asks, touched = k.asks, k.touched
	k.asks = make(map[*entry]wanted)
	k.touched = make(map[*entry]struct{})
	return asks, touched
}

// request packs the asks and all settlements.
func (k *link) request(asks map[*entry]wanted, touched map[*entry]struct{}) *wire.GrantRequest {
	for e := range asks {
		touched[e] = struct{}{}
	}
	k.sequence++
	req := &wire.GrantRequest{
		DaemonId:    string(k.limiter.Self),
		Incarnation: uint64(k.limiter.Incarnation),
		Sequence:    k.sequence,
	}
	now := time.Now()
	for e := range touched {
		ask, holding := e.collect(k.home, asks[e], now)
		if holding {
			k.touch(e)
		}
		if asks[e] != (wanted{}) || len(ask.GetSettlements()) > 0 {
			req.Asks = append(req.Asks, ask)
		}
	}
	return req
}

// collect returns the ask for the tokens with the settlements that are due.
// holding tells that the entry holds grants of the home.
func (e *entry) collect(home ident.DaemonID, w wanted, now time.Time) (ask *wire.GrantAsk, holding bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire(now)
	holding = e.refresh(home, now)
	p := e.peer(home)
	ask = &wire.GrantAsk{
		OrganisationId: string(e.org),
		Tokens:         int64(w.grant),
		TransferTokens: int64(w.transfer),
	}
	for grant, s := range p.settlements {
		ask.Settlements = append(ask.Settlements, s)
		delete(p.settlements, grant)
	}
	p.unreported = 0
	if len(e.queue) > 0 {
		ask.WaitMs = e.queue[len(e.queue)-1].deadline.Sub(now).Milliseconds()
	}
	return ask, holding
}

// refresh returns grants that were not spent for a while, or renews them while requests wait for tokens.
// It tells whether grants of the home are left.
func (e *entry) refresh(home ident.DaemonID, now time.Time) bool {
	holding := false
	kept := e.pool[:0]
	for _, h := range e.pool {
		if h.home != home || now.Before(h.fresh) {
			holding = holding || h.home == home
			kept = append(kept, h)
			continue
		}
		s := e.settlement(home, h.grant)
		if len(e.queue) == 0 {
			s.Returned += int64(h.tokens)
			continue
		}
		s.Renew = true
		h.renewing = true
		holding = true
		kept = append(kept, h)
	}
	e.pool = kept
	return holding
}

// exchange sends a request until it is answered or its grants would have expired.
func (k *link) exchange(req *wire.GrantRequest, asks map[*entry]wanted) {
	sent := time.Now()
	for {
		resp, err := k.send(req)
		if err == nil {
			k.deliver(req, resp, sent)
			return
		}
		k.fail(asks)
		select {
		case <-time.After(askBackoff):
		case <-k.limiter.life.Context().Done():
			return
		}
		if time.Since(sent) > returnAfter {
			return
		}
	}
}

func (k *link) send(req *wire.GrantRequest) (*wire.GrantResponse, error) {
	ctx, cancel := context.WithTimeout(k.limiter.life.Context(), askTimeout)
	defer cancel()
	return k.limiter.Peers.Grant(ctx, k.home, req)
}

// fail tells the entries that the home does not answer.
func (k *link) fail(asks map[*entry]wanted) {
	until := time.Now().Add(failedPause)
	for e := range asks {
		e.mu.Lock()
		p := e.peer(k.home)
		p.asking, p.moving = false, false
		p.failedUntil = until
		e.signal()
		e.mu.Unlock()
	}
}

// deliver hands the answers to the entries.
func (k *link) deliver(req *wire.GrantRequest, resp *wire.GrantResponse, sent time.Time) {
	answers := make(map[string]*wire.GrantAnswer, len(resp.GetAnswers()))
	for _, answer := range resp.GetAnswers() {
		answers[answer.GetOrganisationId()] = answer
	}
	for _, ask := range req.GetAsks() {
		e, ok := k.limiter.entries.load(ident.OrganisationID(ask.GetOrganisationId()))
		if ok {
			e.receive(k, ask, answers[ask.GetOrganisationId()], sent)
		}
	}
}

// receive takes over the answer to an ask; nil stands for an answer without tokens.
func (e *entry) receive(k *link, ask *wire.GrantAsk, answer *wire.GrantAnswer, sent time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.renewed(k.home, !answer.GetNotHome() && !answer.GetNotRenewed(), sent)
	if ask.GetTransferTokens() > 0 {
		e.deposit(e.peer(k.home), ask, answer)
	}
	if ask.GetTokens() == 0 {
		return
	}
	e.learn(e.peer(k.home), ask, answer)
	if answer.GetTokens() > 0 {
		e.pool = append(e.pool, held{
			home:    k.home,
			grant:   answer.GetGrantId(),
			tokens:  ident.Tokens(answer.GetTokens()),
			expires: sent.Add(grantTTL),
			fresh:   sent.Add(returnAfter),
		})
		k.touch(e)
	}
	e.signal()
}

// renewed ends the renewals that were sent with an ask.
func (e *entry) renewed(home ident.DaemonID, ok bool, sent time.Time) {
	for i := range e.pool {
		h := &e.pool[i]
		if h.home != home || !h.renewing {
			continue
		}
		h.renewing = false
		if ok {
			h.expires = sent.Add(grantTTL)
			h.fresh = sent.Add(returnAfter)
		}
	}
}

// learn notes what a home expects to mint for this daemon.
func (e *entry) learn(p *peer, ask *wire.GrantAsk, answer *wire.GrantAnswer) {
	now := time.Now()
	p.asking = false
	p.failedUntil = time.Time{}
	p.answered, p.retryAt, p.flow = now, now, 0
	retry := time.Duration(answer.GetRetryAfterMs()) * time.Millisecond
	if retry > 0 {
		p.retryAt = now.Add(max(dryPause, retry))
		p.flow = float64(ask.GetTokens()-answer.GetTokens()) / retry.Seconds()
	}
	if answer.GetNotHome() {
		p.retryAt = now.Add(failedPause)
	}
}
