package daemon

import (
	"context"
	"errors"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/coordination/claim"
	"github.com/gooseberryway/gooseberryway/internal/coordination/serve"
	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/rhash"
)

// claimerAdapter implements serve.Claimer with a claim.Claimer.
type claimerAdapter struct {
	claimer *claim.Claimer
}

// Claim implements serve.Claimer.
func (c claimerAdapter) Claim(ctx context.Context, org ident.OrganisationID, key string, digest ident.Digest, request ident.RequestID) (serve.Claim, error) {
	decision, err := c.claimer.Claim(ctx, org, ident.DigestOf(key), digest, request)
	if err != nil {
		return serve.Claim{}, claimError(err)
	}
	switch decision := decision.(type) {
	case claim.Granted:
		return serve.Claim{}, nil
	case claim.Answered:
		stored := decision.Answer
		return serve.Claim{Stored: &serve.StoredResponse{
			Status:      int(stored.GetStatus()),
			ContentType: stored.GetContentType(),
			Body:        stored.GetBody(),
		}}, nil
	case claim.Mismatch:
		return serve.Claim{}, &serve.Error{Code: serve.CodeKeyReused, Message: "the idempotency key came with another request before"}
	default:
		return serve.Claim{}, &serve.Error{
			Code:      serve.CodeAlreadyRan,
			RunStatus: serve.HasRun,
			Message:   "a request with this idempotency key ran or is running; its answer is not kept",
		}
	}
}

func claimError(err error) error {
	failure := &serve.Error{Code: serve.CodeClaimUnavailable, Message: "the idempotency key could not be claimed now", Err: err}
	var unavailable *claim.UnavailableError
	if errors.As(err, &unavailable) {
		failure.RetryAfter = unavailable.RetryAfter
	}
	return failure
}

// Finish implements serve.Claimer.
func (c claimerAdapter) Finish(ctx context.Context, org ident.OrganisationID, key string, request ident.RequestID, answer *serve.StoredResponse) {
	if answer == nil {
		c.claimer.Finish(ctx, org, ident.DigestOf(key), request, nil, true)
		return
	}
	stored := &wire.KeptAnswer{Status: int32(answer.Status), ContentType: answer.ContentType, Body: answer.Body}
	c.claimer.Finish(ctx, org, ident.DigestOf(key), request, stored, false)
}

// ownershipTable holds the owner of each slice of the idempotency keys. The table is replaced whole when the fleet members
// change.
type ownershipTable struct {
	table atomic.Pointer[[claim.Slices]claim.Ownership]
	// memberOffsets are the offsets of the newest member record in the state in force and in the applied state that the
	// table was computed from.
	memberOffsets [2]ident.Offset
}

func (o *ownershipTable) lookup(s claim.Slice) claim.Ownership {
	if t := o.table.Load(); t != nil {
		return t[s]
	}
	return claim.Ownership{}
}

// update recomputes the table if the members have changed. It must not be called concurrently. A slice whose owner or epoch
// differs between the state in force and the applied state has no owner until the applied state is in force, so that
// two daemons never own it at the same time.
func (o *ownershipTable) update(applied, inForce *config.State) {
	old := o.table.Load()
	offsets := [2]ident.Offset{inForce.MembersChanged(), applied.MembersChanged()}
	if old != nil && o.memberOffsets == offsets {
		return
	}
	o.memberOffsets = offsets
	next := &[claim.Slices]claim.Ownership{}
	now := time.Now()
	membersInForce, membersApplied := newSliceMembers(inForce), newSliceMembers(applied)
	for s := range claim.Slice(claim.Slices) {
		inForceOwner, appliedOwner := membersInForce.owner(s), membersApplied.owner(s)
		if inForceOwner.Owner == "" || inForceOwner.Owner != appliedOwner.Owner || inForceOwner.Epoch != appliedOwner.Epoch {
			continue
		}
		inForceOwner.Backup, inForceOwner.InForceSince = appliedOwner.Backup, now
		if old != nil && old[s].Owner == inForceOwner.Owner && old[s].Epoch == inForceOwner.Epoch {
			inForceOwner.InForceSince = old[s].InForceSince
		}
		next[s] = inForceOwner
	}
	o.table.Store(next)
}

// sliceMembers are the members of one configuration state, including those that have left.
type sliceMembers struct {
	state *config.State
	nodes []rhash.Node
}

func newSliceMembers(st *config.State) sliceMembers {
	m := sliceMembers{state: st}
	for _, member := range st.Members() {
		m.nodes = append(m.nodes, rhash.Node{ID: member.ID})
	}
	return m
}

// owner returns the ownership of a slice. The owner is the first joined member in the rendezvous hash order of the slice.
// The epoch is the newest revision of the members up to and including the owner in that order, so it grows with every
// change of the owner. The backup is the next joined member in another failure domain, or in the owner's domain if there
// is no other.
func (m sliceMembers) owner(s claim.Slice) claim.Ownership {
	var ownership claim.Ownership
	var ownerDomain ident.FailureDomain
	for _, id := range rhash.Pick(strconv.Itoa(int(s)), m.nodes, len(m.nodes)) {
		member, _ := m.state.Member(id)
		joined := member.State == config.MemberJoined
		switch {
		case ownership.Owner == "":
			ownership.Epoch = max(ownership.Epoch, m.state.Revision(config.PathOf(member)))
			if joined {
				ownership.Owner, ownerDomain = id, member.FailureDomain
			}
		case !joined:
		case member.FailureDomain != ownerDomain:
			ownership.Backup = id
			return ownership
		case ownership.Backup == "":
			ownership.Backup = id
		}
	}
	return ownership
}
