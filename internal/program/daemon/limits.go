package daemon

import (
	"context"
	"errors"

	"github.com/gooseberryway/gooseberryway/internal/coordination/member"
	"github.com/gooseberryway/gooseberryway/internal/coordination/quota"
	"github.com/gooseberryway/gooseberryway/internal/coordination/serve"
	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/rhash"
)

// quotaState implements quota.State with a configuration state.
type quotaState struct {
	state *config.State
	// joined are the daemons among which the homes of organisations are chosen.
	joined []rhash.Node
}

func newQuotaState(st *config.State) quotaState {
	return quotaState{state: st, joined: member.Joined(st)}
}

// Limit implements quota.State.
func (q quotaState) Limit(id ident.OrganisationID) (quota.Limit, bool) {
	org, ok := q.state.Organisation(id)
	if !ok || org.Disabled {
		return quota.Limit{}, false
	}
	return quota.Limit{Rate: org.Rate, Burst: org.Burst}, true
}

// Homes implements quota.State.
func (q quotaState) Homes(id ident.OrganisationID) []ident.DaemonID { return serve.Homes(q.joined, id) }

// MembersRevision implements quota.State.
func (q quotaState) MembersRevision() ident.Offset { return q.state.MembersChanged() }

// quotaView returns the view of the limiter on the configuration states, from the one in force to the applied one.
func quotaView(history []*config.State) quota.View {
	view := quota.View{States: make([]quota.State, 0, len(history))}
	for _, st := range history {
		view.States = append(view.States, newQuotaState(st))
	}
	return view
}

// limiterAdapter implements serve.Limiter with a quota.Limiter and counts the requests over the rate limit.
type limiterAdapter struct {
	limiter  *quota.Limiter
	refusals *refusals
}

// Admit implements serve.Limiter.
func (l limiterAdapter) Admit(ctx context.Context, org ident.OrganisationID, cost ident.Tokens) (serve.Reservation, error) {
	reservation, err := l.limiter.Admit(ctx, org, cost)
	if err != nil {
		failure := admitError(err)
		if failure.Code == serve.CodeRateLimited {
			l.refusals.add(org)
		}
		return nil, failure
	}
	return reservation, nil
}

// admitError converts an error of the limiter to the error of the request service.
func admitError(err error) *serve.Error {
	var refused *quota.RefusedError
	if !errors.As(err, &refused) {
		return &serve.Error{Code: serve.CodeLimitsUnavailable, Message: "the limits could not be checked", Err: err}
	}
	failure := &serve.Error{RetryAfter: refused.RetryAfter, Err: err}
	switch refused.Reason {
	case quota.ReasonOverRate:
		failure.Code, failure.Message = serve.CodeRateLimited, "the organisation has used up its rate and burst"
	case quota.ReasonAboveBurst:
		failure.Code, failure.Message = serve.CodeCostAboveBurst, "prompt and output limit together are above the organisation's burst"
	case quota.ReasonUnknownOrganisation:
		failure.Code, failure.Message = serve.CodeOrganisationDisabled, "the organisation is disabled or does not exist"
	case quota.ReasonNotServing:
		failure.Code, failure.Message = serve.CodeNoLease, "this daemon holds no serving lease"
	case quota.ReasonCancelled:
		failure.Code, failure.Message = serve.CodeTimeout, "the request ended while it waited for its organisation's rate"
	default:
		failure.Code, failure.Message = serve.CodeLimitsUnavailable, "no daemon that holds the organisation's tokens answers"
	}
	return failure
}
