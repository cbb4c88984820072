package serve

import (
	"context"
	"slices"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// PlainRequest is a caller's request to a plain service, on a route of kind config.RoutePlain.
type PlainRequest struct {
	RequestID      ident.RequestID
	Credentials    Credentials
	Method         string
	Path           string
	IdempotencyKey string
	// Digest is the digest of the request's content.
	Digest ident.Digest
}

// PlainRun is an admitted request to a plain service.
type PlainRun struct {
	// Route lists the upstreams. Idempotent reports whether the route allows the request's method to run more than once.
	Route      *config.Route
	Idempotent bool
	// Organisation is the one that the request runs for; empty on an open route without a key.
	Organisation ident.OrganisationID
	// Stored is the response of an earlier run; nil if the request must run.
	Stored *StoredResponse
	// Timeout limits the duration of the request.
	Timeout time.Duration

	service *Service
	req     *PlainRequest
	claimed bool
	closed  bool
}

// StartPlain authorises and admits a request to a plain service. Unless it fails, the PlainRun must be closed. The error
// is an *Error.
func (s *Service) StartPlain(ctx context.Context, req *PlainRequest) (*PlainRun, error) {
	if err := s.begin(); err != nil {
		return nil, err
	}
	run, err := s.admitPlain(ctx, req)
	if err != nil {
		s.end()
		return nil, err
	}
	return run, nil
}

func (s *Service) admitPlain(ctx context.Context, req *PlainRequest) (*PlainRun, error) {
	st := s.State()
	route, ok := s.routes.tableFor(st).findByPath(req.Path)
	if !ok || route.Kind != config.RoutePlain {
		return nil, &Error{Code: CodeRouteNotFound, Message: "there is nothing at this path"}
	}
	caller, err := authorise(st, req.Credentials, route)
	if err != nil {
		return nil, err
	}
	run := &PlainRun{
		Route:        route,
		Idempotent:   slices.Contains(route.IdempotentMethods, req.Method),
		Organisation: caller.Organisation,
		Timeout:      s.timeout(route),
		service:      s,
		req:          req,
	}
	if err := s.claimPlain(ctx, run); err != nil {
		return nil, err
	}
	now := s.State()
	if err := s.recheck(now, req.Credentials, route); err != nil {
		run.Finish(nil)
		return nil, err
	}
	checkDispatch(now, req.Credentials, caller, route)
	return run, nil
}

// claimPlain claims the idempotency key of a request, if it has one.
func (s *Service) claimPlain(ctx context.Context, run *PlainRun) error {
	if run.req.IdempotencyKey == "" {
		return nil
	}
	if run.Organisation == "" {
		return missingKeyError()
	}
	claim, err := s.Claims.Claim(ctx, run.Organisation, run.req.IdempotencyKey, run.req.Digest, run.req.RequestID)
	if err != nil {
		return err
	}
	run.Stored, run.claimed = claim.Stored, claim.Stored == nil
	return nil
}

// Claimed reports whether the request holds the claim on its idempotency key, so that its response must be stored.
func (r *PlainRun) Claimed() bool { return r.claimed }

// Finish stores the response of a claimed request for repeats; nil releases the claim, because the request did not run.
func (r *PlainRun) Finish(response *StoredResponse) {
	if r.claimed {
		r.claimed = false
		r.service.Claims.Finish(context.Background(), r.Organisation, r.req.IdempotencyKey, r.req.RequestID, response)
	}
}

// Close ends the request. If it holds a claim and its response was not stored, the claim stays and repeats don't run.
func (r *PlainRun) Close() {
	if !r.closed {
		r.closed = true
		r.service.end()
	}
}
