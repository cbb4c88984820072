package claim

import (
	"context"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Claim asks the owner of the key's slice for the right to run a request. The request ID must be new for each call.
// The error is an *UnavailableError; the request must not run then.
func (c *Claimer) Claim(ctx context.Context, org ident.OrganisationID, keyDigest, requestDigest ident.Digest,
	requestID ident.RequestID,
) (Decision, error) {
	c.init()
	req := &wire.ClaimRequest{
		OrganisationId: string(org),
		KeyDigest:      keyDigest[:],
		RequestDigest:  requestDigest[:],
		RequestId:      string(requestID),
		DaemonId:       string(c.Self),
		Incarnation:    uint64(c.Incarnation),
	}
	s := SliceOf(org, keyDigest)
	owner := c.Owner(s).Owner
	if owner == "" {
		return nil, &UnavailableError{Slice: s, RetryAfter: defaultRetryAfter}
	}
	resp, err := c.claimFromOwner(ctx, owner, req)
	if err != nil {
		c.scope.Go(func() { c.freeUnanswered(owner, req) })
		return nil, &UnavailableError{Slice: s, Owner: owner, RetryAfter: defaultRetryAfter, Err: err}
	}
	switch resp.GetOutcome() {
	case wire.ClaimOutcome_CLAIM_OUTCOME_GRANTED:
		return Granted{}, nil
	case wire.ClaimOutcome_CLAIM_OUTCOME_ANSWERED:
		return Answered{Answer: resp.GetAnswer()}, nil
	case wire.ClaimOutcome_CLAIM_OUTCOME_RAN:
		return Ran{}, nil
	case wire.ClaimOutcome_CLAIM_OUTCOME_MISMATCH:
		return Mismatch{}, nil
	default:
		retry := time.Duration(resp.GetRetryAfterMs()) * time.Millisecond
		return nil, &UnavailableError{Slice: s, Owner: owner, RetryAfter: orDefault(retry, defaultRetryAfter)}
	}
}

// claimFromOwner sends the claim until a response arrives, at most maxClaimAttempts times. A repeated claim of the
// same request gets the same response.
func (c *Claimer) claimFromOwner(ctx context.Context, owner ident.DaemonID, req *wire.ClaimRequest) (*wire.ClaimResponse, error) {
	var err error
	for range maxClaimAttempts {
		var resp *wire.ClaimResponse
		resp, err = c.claimFromOwnerOnce(ctx, owner, req)
		if err == nil {
			return resp, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return nil, err
}

func (c *Claimer) claimFromOwnerOnce(ctx context.Context, owner ident.DaemonID, req *wire.ClaimRequest) (*wire.ClaimResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	if owner != c.Self {
		return c.Peers.Claim(ctx, owner, req)
	}
	resp := c.HandleClaim(ctx, req)
	return resp, ctx.Err()
}

// freeUnanswered frees a claim that may have been granted in a lost response, so that the caller can try again.
func (c *Claimer) freeUnanswered(owner ident.DaemonID, req *wire.ClaimRequest) {
	c.finishAtOwner(c.scope.Context(), owner, &wire.FinishRequest{
		OrganisationId: req.GetOrganisationId(),
		KeyDigest:      req.GetKeyDigest(),
		RequestId:      req.GetRequestId(),
		NotRun:         true,
	})
}

// Finish ends a granted claim. With notRun, which says that no byte of the request left the daemon, the key is free
// again. Otherwise the answer, which may be nil, is stored for repeated requests.
func (c *Claimer) Finish(ctx context.Context, org ident.OrganisationID, keyDigest ident.Digest, requestID ident.RequestID,
	answer *wire.KeptAnswer, notRun bool,
) {
	owner := c.Owner(SliceOf(org, keyDigest)).Owner
	if owner == "" {
		return
	}
	if len(answer.GetBody()) > c.maxAnswerBytes() {
		answer = nil
	}
	c.finishAtOwner(ctx, owner, &wire.FinishRequest{
		OrganisationId: string(org),
		KeyDigest:      keyDigest[:],
		RequestId:      string(requestID),
		Answer:         answer,
		NotRun:         notRun,
	})
}

func (c *Claimer) finishAtOwner(ctx context.Context, owner ident.DaemonID, req *wire.FinishRequest) {
	if owner == c.Self {
		c.HandleFinish(ctx, req)
		return
	}
	for range maxClaimAttempts {
		if c.finishAtOwnerOnce(ctx, owner, req) || ctx.Err() != nil {
			return
		}
	}
}

func (c *Claimer) finishAtOwnerOnce(ctx context.Context, owner ident.DaemonID, req *wire.FinishRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	_, err := c.Peers.Finish(ctx, owner, req)
	return err == nil
}
