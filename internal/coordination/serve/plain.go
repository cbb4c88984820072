package serve

import (
	"context"
	"slices"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// PlainRequest is a call to a plain service that a caller asks for.
type PlainRequest struct {
	RequestID      ident.RequestID
	Credentials    Credentials
	Method         string
	Path           string
	IdempotencyKey string
	// Digest identifies the content of the call.
	Digest ident.Digest
}

// PlainRun is an admitted call to a plain service.
type PlainRun struct {
	// Route leads to the upstreams; Idempotent tells that the call may run more than once.
	Route      *config.Route
	Idempotent bool
	// Organisation that the call runs for; empty on an open route without a key.
	Organisation ident.OrganisationID
	// Stored is the answer of an earlier run; nil if the call shall run.
	Stored *StoredResponse
	// Timeout bounds the call.
	Timeout time.Duration

	service *Service
	call    *PlainRequest
	claimed bool
	closed  bool
}

// StartPlain decides whether a call to a plain service may run. Unless it fails the PlainRun must be closed.
// The error is an *Error.
func (s *Service) StartPlain(ctx context.Context, call *PlainRequest) (*PlainRun, error) {
	if err := s.begin(); err != nil {
		return nil, err
	}
	run, err := s.admitPlain(ctx, call)
	if err != nil {
		s.end()
		return nil, err
	}
	return run, nil
}

func (s *Service) admitPlain(ctx context.Context, call *PlainRequest) (*PlainRun, error) {
	st := s.State()
	route, ok := s.routes.of(st).byPath(call.Path)
	if !ok || route.Kind != config.RoutePlain {
		return nil, &Error{Code: CodeRouteNotFound, Message: "there is nothing at this path"}
	}
	caller, err := authorise(st, call.Credentials, route)
	if err != nil {
		return nil, err
	}
	run := &PlainRun{
		Route:        route,
		Idempotent:   slices.Contains(route.IdempotentMethods, call.Method),
		Organisation: caller.Organisation,
		Timeout:      s.timeout(route),
		service:      s,
		call:         call,
	}
	if err := s.claimPlain(ctx, run); err != nil {
		return nil, err
	}
	now := s.State()
	if err := s.recheck(now, call.Credentials, route); err != nil {
		run.Finish(nil)
		return nil, err
	}
	checkDispatch(now, call.Credentials, caller, route)
	return run, nil
}

func (s *Service) claimPlain(ctx context.Context, run *PlainRun) error {
	if run.call.IdempotencyKey == "" {
		return nil
	}
	if run.Organisation == "" {
		return keyNeeded()
	}
	claim, err := s.Claims.Claim(ctx, run.Organisation, run.call.IdempotencyKey, run.call.Digest, run.call.RequestID)
	if err != nil {
		return err
	}
	run.Stored, run.claimed = claim.Stored, claim.Stored == nil
	return nil
}

// Claimed reports whether the answer of the call is to be kept.
func (r *PlainRun) Claimed() bool { return r.claimed }

// Finish keeps the answer of a claimed call for repeats; nil says that the call did not run.
func (r *PlainRun) Finish(answer *StoredResponse) {
	if r.claimed {
		r.claimed = false
		r.service.Claims.Finish(context.Background(), r.Organisation, r.call.IdempotencyKey, r.call.RequestID, answer)
	}
}

// Close ends the call. A claimed call whose answer was not kept counts as run.
func (r *PlainRun) Close() {
	if !r.closed {
		r.closed = true
		r.service.end()
	}
}
