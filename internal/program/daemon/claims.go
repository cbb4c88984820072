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

// claims shows the claimer to the request service.
type claims struct {
	claimer *claim.Claimer
}

// Claim implements serve.Claimer.
func (c claims) Claim(ctx context.Context, org ident.OrganisationID, key string, digest ident.Digest, request ident.RequestID) (serve.Claim, error) {
	decision, err := c.claimer.Claim(ctx, org, ident.DigestOf(key), digest, request)
	if err != nil {
		return serve.Claim{}, claimRefusal(err)
	}
	switch decision := decision.(type) {
	case claim.Granted:
		return serve.Claim{}, nil
	case claim.Answered:
		kept := decision.Answer
		return serve.Claim{Stored: &serve.StoredResponse{
			Status:      int(kept.GetStatus()),
			ContentType: kept.GetContentType(),
			Body:        kept.GetBody(),
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

func claimRefusal(err error) error {
	failure := &serve.Error{Code: serve.CodeClaimUnavailable, Message: "the idempotency key could not be claimed now", Err: err}
	var unavailable *claim.UnavailableError
	if errors.As(err, &unavailable) {
		failure.RetryAfter = unavailable.RetryAfter
	}
	return failure
}

// Finish implements serve.Claimer.
func (c claims) Finish(ctx context.Context, org ident.OrganisationID, key string, request ident.RequestID, answer *serve.StoredResponse) {
	if answer == nil {
		c.claimer.Finish(ctx, org, ident.DigestOf(key), request, nil, true)
		return
	}
	kept := &wire.KeptAnswer{Status: int32(answer.Status), ContentType: answer.ContentType, Body: answer.Body}
	c.claimer.Finish(ctx, org, ident.DigestOf(key), request, kept, false)
}

// ownerships holds who owns each slice of the idempotency keys. It is replaced when the configuration changes.
type ownerships struct {
	table atomic.Pointer[[claim.Slices]claim.Ownership]
	// members are the offsets of the last records of members that the table follows from.
	members [2]ident.Offset
}

func (o *ownerships) of(s claim.Slice) claim.Ownership {
	if t := o.table.Load(); t != nil {
		return t[s]
	}
	return claim.Ownership{}
}

// update computes the ownerships anew if the members have changed; one call at a time. A slice whose owner differs between the state in force and the applied one has
// no owner until the newer one is in force.
func (o *ownerships) update(applied, inForce *config.State) {
	old := o.table.Load()
	members := [2]ident.Offset{inForce.MembersChanged(), applied.MembersChanged()}
	if old != nil && o.members == members {
		return
	}
	o.members = members
	next := &[claim.Slices]claim.Ownership{}
	now := time.Now()
	from, to := newSliceMembers(inForce), newSliceMembers(applied)
	for s := range claim.Slice(claim.Slices) {
		own, later := from.owner(s), to.owner(s)
		if own.Owner == "" || own.Owner != later.Owner || own.Epoch != later.Epoch {
			continue
		}
		own.Backup, own.InForceSince = later.Backup, now
		if old != nil && old[s].Owner == own.Owner && old[s].Epoch == own.Epoch {
			own.InForceSince = old[s].InForceSince
		}
		next[s] = own
	}
	o.table.Store(next)
}

// sliceMembers are the members of one state, those that have left included.
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

// owner returns the first joined member in the order of the slice. Its epoch is the newest record of the members up
// to it in that order, so it grows with every change of the owner. The backup is the next joined member of another
// failure domain, or of the same one if there is no other.
func (m sliceMembers) owner(s claim.Slice) claim.Ownership {
	var own claim.Ownership
	var domain ident.FailureDomain
	for _, id := range rhash.Pick(strconv.Itoa(int(s)), m.nodes, len(m.nodes)) {
		member, _ := m.state.Member(id)
		joined := member.State == config.MemberJoined
		switch {
		case own.Owner == "":
			own.Epoch = max(own.Epoch, m.state.Revision(config.PathOf(member)))
			if joined {
				own.Owner, domain = id, member.FailureDomain
			}
		case !joined:
		case member.FailureDomain != domain:
			own.Backup = id
			return own
		case own.Backup == "":
			own.Backup = id
		}
	}
	return own
}
