package quota

import (
	"context"
	"sync"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// asker is what a home remembers of another daemon: the answer to its latest request.
type asker struct {
	mu          sync.Mutex
	incarnation ident.Incarnation
	sequence    uint64
	response    *wire.GrantResponse
}

// HandleGrant answers a daemon's asks as a home. A repeated request gets the same answer, one that is older than the
// latest gets no tokens.
func (l *Limiter) HandleGrant(_ context.Context, req *wire.GrantRequest) *wire.GrantResponse {
	if !l.serving() {
		return refuseAsks(req)
	}
	daemon := ident.DaemonID(req.GetDaemonId())
	a := l.askers.loadOrStore(daemon, &asker{})
	a.mu.Lock()
	defer a.mu.Unlock()
	incarnation := ident.Incarnation(req.GetIncarnation())
	switch {
	case incarnation < a.incarnation:
		return refuseAsks(req)
	case incarnation > a.incarnation:
		a.incarnation = incarnation
	case req.GetSequence() == a.sequence:
		return a.response
	case req.GetSequence() < a.sequence:
		return refuseAsks(req)
	}
	a.sequence = req.GetSequence()
	a.response = &wire.GrantResponse{Answers: make([]*wire.GrantAnswer, 0, len(req.GetAsks()))}
	for _, ask := range req.GetAsks() {
		answer := l.answer(daemon, ask)
		if ask.GetTokens() > 0 || answer.GetTransferredTokens() > 0 || answer.GetNotHome() || answer.GetNotRenewed() {
			a.response.Answers = append(a.response.Answers, answer)
		}
	}
	return a.response
}

// refuseAsks answers without tokens.
func refuseAsks(req *wire.GrantRequest) *wire.GrantResponse {
	resp := &wire.GrantResponse{}
	for _, ask := range req.GetAsks() {
		resp.Answers = append(resp.Answers, &wire.GrantAnswer{OrganisationId: ask.GetOrganisationId(), NotHome: true})
	}
	return resp
}

// answer settles earlier grants, then grants what it can.
func (l *Limiter) answer(daemon ident.DaemonID, ask *wire.GrantAsk) *wire.GrantAnswer {
	answer := &wire.GrantAnswer{OrganisationId: ask.GetOrganisationId(), NotHome: true}
	e := l.entry(ident.OrganisationID(ask.GetOrganisationId()))
	if e == nil {
		return answer
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.bucket == nil {
		return answer
	}
	now := time.Now()
	e.bucket.advance(now)
	answer.NotHome = false
	answer.NotRenewed = !e.bucket.settleAll(ask.GetSettlements(), now)
	if len(e.queue) > 0 {
		e.signal()
	}
	if n := ask.GetTransferTokens(); n > 0 {
		answer.TransferredTokens = int64(e.bucket.transfer(ident.Tokens(n), daemon, now))
	}
	wanted := max(0, ident.Tokens(ask.GetTokens()))
	if wanted == 0 {
		return answer
	}
	granted := min(wanted, e.bucket.available(daemon, now).tokens())
	if granted > 0 {
		answer.Tokens = int64(granted)
		answer.GrantId = e.bucket.grant(toMicro(granted), now)
	}
	patience := time.Duration(ask.GetWaitMs()) * time.Millisecond
	retry := e.bucket.await(daemon, toMicro(wanted-granted), patience, now)
	answer.RetryAfterMs = (retry + time.Millisecond - 1).Milliseconds()
	return answer
}
