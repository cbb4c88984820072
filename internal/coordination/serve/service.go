package serve

import (
	"cmp"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberryway/gooseberryway/internal/state/burn"
	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/guard"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/prefix"
)

// Service authenticates, admits and runs requests. Set the fields before the first call.
type Service struct {
	// State returns the current configuration.
	State    func() *config.State
	Lease    Lease
	Limits   Limiter
	Claims   Claimer
	Versions Versions
	Runner   Runner
	// Ready reports whether the daemon has loaded a snapshot.
	Ready func() bool
	// MaxAdmitWait limits how long a request waits for its organisation's rate limit.
	MaxAdmitWait time.Duration
	// RequestTimeout limits the duration of a request whose route sets no shorter timeout.
	RequestTimeout time.Duration
	// PromptHeadBytes is the length of the start of the prompt whose hash identifies its prefix family.
	PromptHeadBytes int
	// OnOutcome is called with the outcome of each completion that Runner was called for; may be nil.
	OnOutcome func(burn.Event)
	// OnAdmit is called with the reservation of each admitted request; may be nil.
	OnAdmit func(ident.OrganisationID, Reservation)

	routes          routeCache
	draining        atomic.Bool
	runningRequests sync.WaitGroup
	open            atomic.Int64
}

// Drain makes the service refuse new requests.
func (s *Service) Drain() { s.draining.Store(true) }

// OpenRequests returns the number of requests that are running.
func (s *Service) OpenRequests() int64 { return s.open.Load() }

// Close waits until all running requests have ended.
func (s *Service) Close() { s.runningRequests.Wait() }

// begin counts a request as running unless the service refuses new requests. The error is an *Error.
func (s *Service) begin() error {
	s.runningRequests.Add(1)
	s.open.Add(1)
	err := s.checkAcceptsWork()
	if err != nil {
		s.end()
	}
	return err
}

// end ends the count of a running request.
func (s *Service) end() {
	s.open.Add(-1)
	s.runningRequests.Done()
}

// checkAcceptsWork returns an *Error while the daemon is draining or has no serving lease or no snapshot.
func (s *Service) checkAcceptsWork() error {
	if s.draining.Load() {
		return &Error{Code: CodeDraining, Message: "this daemon is leaving, ask locate for another", RetryAfter: retryAfterDraining}
	}
	if !s.Lease.Valid() {
		return &Error{Code: CodeNoLease, Message: "this daemon can't know that its configuration is current", RetryAfter: retryAfterNoLease}
	}
	if !guard.Check(s.Ready(), guard.WarmRestart, "a lease is held before a snapshot is loaded") {
		return &Error{Code: CodeNoLease, Message: "this daemon has no snapshot yet", RetryAfter: retryAfterNoLease}
	}
	return nil
}

// Start authenticates and admits a completion request. Unless it fails, the Completion must be closed. The error is an
// *Error.
func (s *Service) Start(ctx context.Context, req *CompletionRequest) (*Completion, error) {
	if err := s.begin(); err != nil {
		return nil, err
	}
	completion := &Completion{service: s, req: req}
	if err := s.admit(ctx, completion); err != nil {
		completion.Close()
		return nil, err
	}
	return completion, nil
}

// CheckCompletion checks what is known of a completion request before its body is read: whether the daemon accepts work, and whose key it is. pathPrefix is
// that of its route; empty for none. The error is an *Error.
func (s *Service) CheckCompletion(cred Credentials, pathPrefix string) error {
	if pathPrefix != "" {
		return s.checkPath(cred, pathPrefix, config.RouteModel, "no route serves this model under this path")
	}
	if err := s.checkAcceptsWork(); err != nil {
		return err
	}
	_, err := authenticate(s.State(), cred)
	return err
}

// CheckPlain does the same for a request to a plain service.
func (s *Service) CheckPlain(cred Credentials, path string) error {
	return s.checkPath(cred, path, config.RoutePlain, "there is nothing at this path")
}

// checkPath checks a request to a route that its path names.
func (s *Service) checkPath(cred Credentials, path string, kind config.RouteKind, missing string) error {
	if err := s.checkAcceptsWork(); err != nil {
		return err
	}
	st := s.State()
	route, ok := s.routes.tableFor(st).findByPath(path)
	if !ok || route.Kind != kind {
		return &Error{Code: CodeRouteNotFound, Message: missing}
	}
	_, err := authorise(st, cred, route)
	return err
}

// admit takes a completion through all steps up to dispatch, or finds its stored response.
func (s *Service) admit(ctx context.Context, completion *Completion) error {
	st := s.State()
	route, caller, err := s.modelRoute(st, completion.req)
	if err != nil {
		return err
	}
	completion.route, completion.caller = route, caller
	if err := s.reserve(ctx, completion); err != nil {
		return err
	}
	if err := s.claim(ctx, completion); err != nil || completion.stored != nil {
		return err
	}
	return s.dispatch(completion)
}

// modelRoute returns the route and the caller of a completion request.
func (s *Service) modelRoute(st *config.State, req *CompletionRequest) (*config.Route, Caller, error) {
	table := s.routes.tableFor(st)
	if req.PathPrefix != "" {
		route, ok := table.findByPath(req.PathPrefix)
		if !ok || route.Kind != config.RouteModel || route.Model != req.Model {
			return nil, Caller{}, &Error{Code: CodeRouteNotFound, Message: "no route serves this model under this path"}
		}
		caller, err := authorise(st, req.Credentials, route)
		return route, caller, err
	}
	caller, err := authenticate(st, req.Credentials)
	if err != nil {
		return nil, Caller{}, err
	}
	route, ok := table.findByModel(caller.Team, req.Model)
	if !ok {
		return nil, Caller{}, &Error{Code: CodeModelNotFound, Message: "the model does not exist or has no route for this key"}
	}
	return route, caller, nil
}

// reserve reserves the tokens of the prompt and the maximum output, unless the request runs for no organisation.
func (s *Service) reserve(ctx context.Context, completion *Completion) error {
	completion.maxTokens = cmp.Or(completion.req.MaxTokens, defaultMaxTokens)
	if completion.caller.Organisation == "" {
		return nil
	}
	cost := prefix.TokensOf(completion.req.Prompt) + completion.maxTokens
	ctx, cancel := context.WithTimeout(ctx, s.MaxAdmitWait)
	defer cancel()
	reservation, err := s.Limits.Admit(ctx, completion.caller.Organisation, cost)
	if err != nil {
		return err
	}
	completion.reservation = reservation
	if s.OnAdmit != nil {
		s.OnAdmit(completion.caller.Organisation, reservation)
	}
	return nil
}

// claim claims the idempotency key of a request, if it has one.
func (s *Service) claim(ctx context.Context, completion *Completion) error {
	if completion.req.IdempotencyKey == "" {
		return nil
	}
	if completion.caller.Organisation == "" {
		return missingKeyError()
	}
	claim, err := s.Claims.Claim(ctx, completion.caller.Organisation, completion.req.IdempotencyKey, completion.req.Digest, completion.req.RequestID)
	if err != nil {
		return err
	}
	completion.stored = claim.Stored
	completion.claimed = claim.Stored == nil
	return nil
}

// missingKeyError returns the error for an idempotency key without a bearer key: claims belong to an organisation.
func missingKeyError() error {
	return &Error{Code: CodeKeyMissing, Message: "an idempotency key needs a bearer key, which tells whose it is"}
}

// dispatch checks again what may have changed while the request waited, and chooses the version that serves it.
func (s *Service) dispatch(completion *Completion) error {
	st := s.State()
	completion.checkedState.Store(st)
	if err := s.recheck(st, completion.req.Credentials, completion.route); err != nil {
		return err
	}
	checkDispatch(st, completion.req.Credentials, completion.caller, completion.route)
	version, ok := s.Versions.Version(completion.route.Model, completion.route.ID, completion.caller.Organisation, completion.req.RequestID, s.prefixFamily(completion.req.Prompt))
	if !ok {
		return &Error{Code: CodeNoUpstream, Message: "the model has no version that may serve", RetryAfter: retryAfterNoUpstream}
	}
	completion.version = version
	return nil
}

// recheck checks the serving lease, the route and the credentials again, with the current configuration.
func (s *Service) recheck(st *config.State, cred Credentials, route *config.Route) error {
	if !s.Lease.Valid() {
		return &Error{Code: CodeNoLease, Message: "the serving lease lapsed while the request waited", RetryAfter: retryAfterNoLease}
	}
	now, ok := st.Route(route.ID)
	if !ok {
		return &Error{Code: CodeRouteNotFound, Message: "the route was deleted while the request waited"}
	}
	_, err := authorise(st, cred, now)
	return err
}

// prefixFamily returns the hash of the start of the prompt.
func (s *Service) prefixFamily(prompt []byte) uint64 {
	return xxhash.Sum64(prompt[:min(len(prompt), s.PromptHeadBytes)])
}

// timeout returns the time limit of a request on the route.
func (s *Service) timeout(route *config.Route) time.Duration {
	if route.Timeout > 0 && route.Timeout < s.RequestTimeout {
		return route.Timeout
	}
	return s.RequestTimeout
}

// Models returns the models that the caller has routes for without a path prefix, or an *Error.
func (s *Service) Models(cred Credentials) ([]ident.ModelID, error) {
	st := s.State()
	caller, err := authenticate(st, cred)
	if err != nil {
		return nil, err
	}
	var models []ident.ModelID
	for key := range s.routes.tableFor(st).byTeamModel {
		if key.team == caller.Team && key.model != "" {
			models = append(models, key.model)
		}
	}
	return models, nil
}

// engineRequest returns the request for the engines. Without a seed from the caller, the seed is derived from the request
// id, so that all attempts use the same one.
func (r *Completion) engineRequest() extern.EngineRequest {
	seed := xxhash.Sum64String(string(r.req.RequestID))
	if r.req.Seed != nil {
		seed = *r.req.Seed
	}
	return extern.EngineRequest{
		Request:      r.req.RequestID,
		Organisation: r.caller.Organisation,
		Model:        r.route.Model,
		Version:      r.version,
		Route:        r.route.ID,
		Prompt:       r.req.Prompt,
		MaxTokens:    r.maxTokens,
		Seed:         seed,
		Sampling:     r.req.Sampling,
	}
}
