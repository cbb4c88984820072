package claim

import (
	"context"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/guard"
)

// HandleClaim decides a claim as the owner of its slice. It returns when the claim is safe or the context ends.
func (c *Claimer) HandleClaim(ctx context.Context, req *wire.ClaimRequest) *wire.ClaimResponse {
	c.init()
	k := keyOf(req.GetOrganisationId(), req.GetKeyDigest())
	s := &c.slices[k.slice()]
	found, created, resp := c.enter(s, k, req)
	if resp != nil {
		return resp
	}
	if created {
		c.writer.add(found)
	}
	select {
	case <-found.durable:
	case <-ctx.Done():
		return unavailable(retryAfter)
	case <-c.life.Context().Done():
		return unavailable(retryAfter)
	}
	return c.conclude(s, found, req)
}

// enter returns the claim of the key, which it creates when the key is free, or a response that needs no wait.
func (c *Claimer) enter(s *slice, k key, req *wire.ClaimRequest) (found *claim, created bool, resp *wire.ClaimResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if wait, ok := c.decides(s, k.slice(), now); !ok {
		return nil, false, unavailable(wait)
	}
	s.forget(now.Add(-c.window()))
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
		s.put(found)
		return found, true, nil
	}
	if found.freed {
		return nil, false, unavailable(retryAfter)
	}
	if string(found.record.GetRequestDigest()) != string(req.GetRequestDigest()) {
		return nil, false, &wire.ClaimResponse{Outcome: wire.ClaimOutcome_CLAIM_OUTCOME_MISMATCH}
	}
	return found, false, nil
}

// decides tells whether this daemon decides the claims of the slice now, else when to try again.
func (c *Claimer) decides(s *slice, number Slice, now time.Time) (time.Duration, bool) {
	o := c.Owner(number)
	if !s.open || o.Owner != c.Self || o.Epoch != s.epoch || !c.serving() {
		return retryAfter, false
	}
	if wait := s.blockedUntil.Sub(now); wait > 0 {
		return wait, false
	}
	return 0, true
}

// conclude answers a claim that is safe.
func (c *Claimer) conclude(s *slice, found *claim, req *wire.ClaimRequest) *wire.ClaimResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := c.decides(s, found.key.slice(), time.Now()); !ok || found.freed {
		return unavailable(retryAfter)
	}
	if found.record.GetRequestId() == req.GetRequestId() && !found.finished {
		current := s.claims[found.key]
		if !guard.Check(current == found, guard.AtMostOnce, "slice %d: the claim was replaced", found.key.slice()) {
			return unavailable(retryAfter)
		}
		return &wire.ClaimResponse{Outcome: wire.ClaimOutcome_CLAIM_OUTCOME_GRANTED}
	}
	if answer := found.answer.Load(); answer != nil {
		return &wire.ClaimResponse{Outcome: wire.ClaimOutcome_CLAIM_OUTCOME_ANSWERED, Answer: answer}
	}
	return &wire.ClaimResponse{Outcome: wire.ClaimOutcome_CLAIM_OUTCOME_RAN}
}

func unavailable(wait time.Duration) *wire.ClaimResponse {
	return &wire.ClaimResponse{
		Outcome:      wire.ClaimOutcome_CLAIM_OUTCOME_UNAVAILABLE,
		RetryAfterMs: max(1, wait.Milliseconds()),
	}
}

// HandleFinish keeps the answer of a claimed request, or frees the key when the request did not run.
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
		c.writer.free(found, s.epoch)
		return &wire.FinishResponse{}
	}
	found.finished = true
	if len(req.GetAnswer().GetBody()) <= c.maxAnswerBytes() {
		limit := orDefault(c.MaxTotalAnswerBytes, defaultMaxKeptBytes)
		c.answers.keep(found, req.GetAnswer(), limit, time.Now().Add(-c.window()))
	}
	return &wire.FinishResponse{}
}

func (c *Claimer) maxAnswerBytes() int {
	return orDefault(c.MaxAnswerBytes, defaultMaxAnswerBytes)
}
