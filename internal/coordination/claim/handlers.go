package claim

import (
	"context"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/guard"
)

// HandleClaim decides a claim as the owner of its slice. It returns when the claim is durable or ctx ends.
func (c *Claimer) HandleClaim(ctx context.Context, req *wire.ClaimRequest) *wire.ClaimResponse {
	c.init()
	k := keyOf(req.GetOrganisationId(), req.GetKeyDigest())
	s := &c.slices[k.slice()]
	found, created, resp := c.findOrCreate(s, k, req)
	if resp != nil {
		return resp
	}
	if created {
		c.writer.enqueue(found)
	}
	select {
	case <-found.durable:
	case <-ctx.Done():
		return unavailableResponse(defaultRetryAfter)
	case <-c.scope.Context().Done():
		return unavailableResponse(defaultRetryAfter)
	}
	return c.decideDurable(s, found, req)
}

// findOrCreate returns the claim of the key and creates it when the key is free. It returns a response instead when
// the request can be answered without a wait for durability.
func (c *Claimer) findOrCreate(s *slice, k key, req *wire.ClaimRequest) (found *claim, created bool, resp *wire.ClaimResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if wait, ok := c.canDecide(s, k.slice(), now); !ok {
		return nil, false, unavailableResponse(wait)
	}
	s.expire(now.Add(-c.retention()))
	found, ok := s.claims[k]
	if !ok || found.freed && found.record.GetRequestId() != req.GetRequestId() {
		record := &wire.ClaimRecord{
			OrganisationId: req.GetOrganisationId(),
			KeyDigest:      req.GetKeyDigest(),
			RequestDigest:  req.GetRequestDigest(),
			RequestId:      req.GetRequestId(),
			OwnerEpoch:     uint64(s.epoch),
		}
		found = newClaim(k, record, now)
		s.add(found)
		return found, true, nil
	}
	if found.freed {
		return nil, false, unavailableResponse(defaultRetryAfter)
	}
	if string(found.record.GetRequestDigest()) != string(req.GetRequestDigest()) {
		return nil, false, &wire.ClaimResponse{Outcome: wire.ClaimOutcome_CLAIM_OUTCOME_MISMATCH}
	}
	return found, false, nil
}

// canDecide reports whether this daemon may decide the claims of the slice now; if not, it returns how long to wait.
// The mutex of the slice is held.
func (c *Claimer) canDecide(s *slice, number Slice, now time.Time) (time.Duration, bool) {
	o := c.Owner(number)
	if !s.open || o.Owner != c.Self || o.Epoch != s.epoch || !c.leaseHeld() {
		return defaultRetryAfter, false
	}
	if wait := s.blockedUntil.Sub(now); wait > 0 {
		return wait, false
	}
	return 0, true
}

// decideDurable returns the response to a request whose key has a durable claim.
func (c *Claimer) decideDurable(s *slice, found *claim, req *wire.ClaimRequest) *wire.ClaimResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := c.canDecide(s, found.key.slice(), time.Now()); !ok || found.freed {
		return unavailableResponse(defaultRetryAfter)
	}
	if found.record.GetRequestId() == req.GetRequestId() && !found.finished {
		current := s.claims[found.key]
		if !guard.Check(current == found, guard.AtMostOnce, "slice %d: the claim was replaced", found.key.slice()) {
			return unavailableResponse(defaultRetryAfter)
		}
		return &wire.ClaimResponse{Outcome: wire.ClaimOutcome_CLAIM_OUTCOME_GRANTED}
	}
	if answer := found.answer.Load(); answer != nil {
		return &wire.ClaimResponse{Outcome: wire.ClaimOutcome_CLAIM_OUTCOME_ANSWERED, Answer: answer}
	}
	return &wire.ClaimResponse{Outcome: wire.ClaimOutcome_CLAIM_OUTCOME_RAN}
}

func unavailableResponse(wait time.Duration) *wire.ClaimResponse {
	return &wire.ClaimResponse{
		Outcome:      wire.ClaimOutcome_CLAIM_OUTCOME_UNAVAILABLE,
		RetryAfterMs: max(1, wait.Milliseconds()),
	}
}

// HandleFinish stores the answer of a claimed request, or frees the key when the request did not run.
func (c *Claimer) HandleFinish(_ context.Context, req *wire.FinishRequest) *wire.FinishResponse {
	c.init()
	k := keyOf(req.GetOrganisationId(), req.GetKeyDigest())
	s := &c.slices[k.slice()]
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.claims[k]
	if !ok || found.record.GetRequestId() != req.GetRequestId() || found.finished || found.freed {
		return &wire.FinishResponse{}
	}
	if req.GetNotRun() {
		found.freed = true
		c.writer.enqueueFree(found, s.epoch)
		return &wire.FinishResponse{}
	}
	found.finished = true
	if len(req.GetAnswer().GetBody()) <= c.maxAnswerBytes() {
		limit := orDefault(c.MaxTotalAnswerBytes, defaultMaxTotalAnswerBytes)
		c.answers.store(found, req.GetAnswer(), limit, time.Now().Add(-c.retention()))
	}
	return &wire.FinishResponse{}
}

func (c *Claimer) maxAnswerBytes() int {
	return orDefault(c.MaxAnswerBytes, defaultMaxAnswerBytes)
}
