package quota

import (
	"context"
	"sync"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// askerState is a home's record of another daemon: the latest request and the answer to it, for repeated requests.
type askerState struct {
	mu           sync.Mutex
	incarnation  ident.Incarnation
	lastSequence uint64
	lastResponse *wire.GrantResponse
}

// HandleGrant answers a daemon's asks as a home. A repeated request gets the same answer again; a request that is
// older than the latest one, or of an earlier incarnation, gets no tokens. So no ask or settlement is applied twice.
// Without the serving lease all asks are refused.
func (l *Limiter) HandleGrant(_ context.Context, req *wire.GrantRequest) *wire.GrantResponse {
	if !l.serving() {
		return refuseAsks(req)
	}
	daemon := ident.DaemonID(req.GetDaemonId())
	a := l.askers.loadOrStore(daemon, &askerState{})
	a.mu.Lock()
	defer a.mu.Unlock()
	incarnation := ident.Incarnation(req.GetIncarnation())
	switch {
	case incarnation < a.incarnation:
		return refuseAsks(req)
	case incarnation > a.incarnation:
		a.incarnation = incarnation
	case req.GetSequence() == a.lastSequence:
		return a.lastResponse
	case req.GetSequence() < a.lastSequence:
		return refuseAsks(req)
	}
	a.lastSequence = req.GetSequence()
	a.lastResponse = &wire.GrantResponse{Answers: make([]*wire.GrantAnswer, 0, len(req.GetAsks()))}
	for _, ask := range req.GetAsks() {
		answer := l.answer(daemon, ask)
		if ask.GetTokens() > 0 || answer.GetTransferredTokens() > 0 || answer.GetNotHome() || answer.GetNotRenewed() {
			a.lastResponse.Answers = append(a.lastResponse.Answers, answer)
		}
	}
	return a.lastResponse
}

// refuseAsks answers that this daemon is no home of the organisations.
func refuseAsks(req *wire.GrantRequest) *wire.GrantResponse {
	resp := &wire.GrantResponse{}
	for _, ask := range req.GetAsks() {
		resp.Answers = append(resp.Answers, &wire.GrantAnswer{OrganisationId: ask.GetOrganisationId(), NotHome: true})
	}
	return resp
}

// answer applies the settlements of an ask, then transfers and grants as many tokens as are available.
func (l *Limiter) answer(daemon ident.DaemonID, ask *wire.GrantAsk) *wire.GrantAnswer {
	answer := &wire.GrantAnswer{OrganisationId: ask.GetOrganisationId(), NotHome: true}
	o := l.orgLimiter(ident.OrganisationID(ask.GetOrganisationId()))
	if o == nil {
		return answer
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.bucket == nil {
		return answer
	}
	now := time.Now()
	o.bucket.advance(now)
	answer.NotHome = false
	answer.NotRenewed = !o.bucket.settleAll(ask.GetSettlements(), now)
	if len(o.queue) > 0 {
		o.wakeQueue()
	}
	if n := ask.GetTransferTokens(); n > 0 {
		answer.TransferredTokens = int64(o.bucket.takeForTransfer(ident.Tokens(n), daemon, now))
	}
	wanted := max(0, ident.Tokens(ask.GetTokens()))
	if wanted == 0 {
		return answer
	}
	granted := min(wanted, o.bucket.available(daemon, now).tokens())
	if granted > 0 {
		answer.Tokens = int64(granted)
		answer.GrantId = o.bucket.grant(toMicroTokens(granted), now)
	}
	maxWait := time.Duration(ask.GetWaitMs()) * time.Millisecond
	retryAfter := o.bucket.queueAsk(daemon, toMicroTokens(wanted-granted), maxWait, now)
	answer.RetryAfterMs = (retryAfter + time.Millisecond - 1).Milliseconds()
	return answer
}
