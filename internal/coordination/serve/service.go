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

// Service decides about requests. Its fields are set before the first call.
type Service struct {
	// State returns the configuration of now.
	State    func() *config.State
	Lease    Lease
	Limits   Limiter
	Claims   Claimer
	Versions Versions
	Runner   Runner
	// Ready reports whether the daemon has loaded a snapshot.
	Ready func() bool
	// MaxAdmitWait is how long a request may wait for its organisation's rate.
	MaxAdmitWait time.Duration
	// RequestTimeout bounds a request whose route sets no shorter timeout.
	RequestTimeout time.Duration
	// PromptHeadBytes is the length of the prompt's head that tells prefix families apart.
	PromptHeadBytes int
	// OnOutcome is called with the outcome of each completion that was admitted; nil for none.
	OnOutcome func(burn.Event)
	// OnAdmit is called with the charge of each request that is admitted; nil for none.
	OnAdmit func(ident.OrganisationID, Reservation)

	routes   routeCache
	draining atomic.Bool
	running  sync.WaitGroup
	open     atomic.Int64
}

// Drain makes the service refuse new work.
func (s *Service) Drain() { s.draining.Store(true) }

// OpenRequests returns the number of requests that are running.
func (s *Service) OpenRequests() int64 { return s.open.Load() }

// Close waits until all running requests have ended.
func (s *Service) Close() { s.running.Wait() }

// begin counts a request as running unless the service refuses new work.
func (s *Service) begin() error {
	s.running.Add(1)
	s.open.Add(1)
	err := s.acceptsWork()
	if err != nil {
		s.end()
	}
	return err
}

func (s *Service) end() {
	s.open.Add(-1)
	s.running.Done()
}

func (s *Service) acceptsWork() error {
	if s.draining.Load() {
		return &Error{Code: CodeDraining, Message: "this daemon is leaving, ask locate for another", RetryAfter: retryDraining}
	}
	if !s.Lease.Valid() {
		return &Error{Code: CodeNoLease, Message: "this daemon can't know that its configuration is current", RetryAfter: retryNoLease}
	}
	if !guard.Check(s.Ready(), guard.WarmRestart, "a lease is held before a snapshot is loaded") {
		return &Error{Code: CodeNoLease, Message: "this daemon has no snapshot yet", RetryAfter: retryNoLease}
	}
	return nil
}

// Start decides whether a completion may run. Unless it fails the Run must be closed. The error is an *Error.
func (s *Service) Start(ctx context.Context, call *CompletionRequest) (*Completion, error) {
	if err := s.begin(); err != nil {
		return nil, err
	}
	run := &Completion{service: s, call: call}
	if err := s.admit(ctx, run); err != nil {
		run.Close()
		return nil, err
	}
	return run, nil
}

func (s *Service) admit(ctx context.Context, run *Completion) error {
	st := s.State()
	route, caller, err := s.modelRoute(st, run.call)
	if err != nil {
		return err
	}
	run.route, run.caller = route, caller
	if err := s.reserve(ctx, run); err != nil {
		return err
	}
	if err := s.claim(ctx, run); err != nil || run.kept != nil {
		return err
	}
	return s.dispatch(run)
}

// modelRoute returns the route of a completion and its caller.
func (s *Service) modelRoute(st *config.State, call *CompletionRequest) (*config.Route, Caller, error) {
	table := s.routes.of(st)
	if call.PathPrefix != "" {
		route, ok := table.byPath(call.PathPrefix)
		if !ok || route.Kind != config.RouteModel || route.Model != call.Model {
			return nil, Caller{}, &Error{Code: CodeRouteNotFound, Message: "no route serves this model under this path"}
		}
		caller, err := authorise(st, call.Credentials, route)
		return route, caller, err
	}
	caller, err := authenticate(st, call.Credentials)
	if err != nil {
		return nil, Caller{}, err
	}
	route, ok := table.byModel(caller.Team, call.Model)
	if !ok {
		return nil, Caller{}, &Error{Code: CodeModelNotFound, Message: "the model does not exist or has no route for this key"}
	}
	return route, caller, nil
}

// reserve reserves the most tokens that the request can use.
func (s *Service) reserve(ctx context.Context, run *Completion) error {
	run.maxTokens = cmp.Or(run.call.MaxTokens, defaultMaxTokens)
	if run.caller.Organisation == "" {
		return nil
	}
	cost := prefix.TokensOf(run.call.Prompt) + run.maxTokens
	ctx, cancel := context.WithTimeout(ctx, s.MaxAdmitWait)
	defer cancel()
	reservation, err := s.Limits.Admit(ctx, run.caller.Organisation, cost)
	if err != nil {
		return err
	}
	run.reservation = reservation
	if s.OnAdmit != nil {
		s.OnAdmit(run.caller.Organisation, reservation)
	}
	return nil
}

func (s *Service) claim(ctx context.Context, run *Completion) error {
	if run.call.IdempotencyKey == "" {
		return nil
	}
	if run.caller.Organisation == "" {
		return keyNeeded()
	}
	claim, err := s.Claims.Claim(ctx, run.caller.Organisation, run.call.IdempotencyKey, run.call.Digest, run.call.RequestID)
	if err != nil {
		return err
	}
	run.kept = claim.Stored
	run.claimed = claim.Stored == nil
	return nil
}

// keyNeeded is the refusal of an idempotency key that no organisation owns.
func keyNeeded() error {
	return &Error{Code: CodeKeyMissing, Message: "an idempotency key needs a bearer key, which tells whose it is"}
}

// dispatch checks again what can have changed while the request waited, and fixes what the engines are asked.
func (s *Service) dispatch(run *Completion) error {
	st := s.State()
	run.state.Store(st)
	if err := s.recheck(st, run.call.Credentials, run.route); err != nil {
		return err
	}
	checkDispatch(st, run.call.Credentials, run.caller, run.route)
	version, ok := s.Versions.Version(run.route.Model, run.route.ID, run.caller.Organisation, run.call.RequestID, s.family(run.call.Prompt))
	if !ok {
		return &Error{Code: CodeNoUpstream, Message: "the model has no version that may serve", RetryAfter: retryNoUpstream}
	}
	run.version = version
	return nil
}

func (s *Service) recheck(st *config.State, cred Credentials, route *config.Route) error {
	if !s.Lease.Valid() {
		return &Error{Code: CodeNoLease, Message: "the serving lease lapsed while the request waited", RetryAfter: retryNoLease}
	}
	now, ok := st.Route(route.ID)
	if !ok {
		return &Error{Code: CodeRouteNotFound, Message: "the route was deleted while the request waited"}
	}
	_, err := authorise(st, cred, now)
	return err
}

func (s *Service) family(prompt []byte) uint64 {
	return xxhash.Sum64(prompt[:min(len(prompt), s.PromptHeadBytes)])
}

// timeout returns the bound of a request on the route.
func (s *Service) timeout(route *config.Route) time.Duration {
	if route.Timeout > 0 && route.Timeout < s.RequestTimeout {
		return route.Timeout
	}
	return s.RequestTimeout
}

// Models returns the models that the caller has routes for, or an *Error.
func (s *Service) Models(cred Credentials) ([]ident.ModelID, error) {
	st := s.State()
	caller, err := authenticate(st, cred)
	if err != nil {
		return nil, err
	}
	var models []ident.ModelID
	for key := range s.routes.of(st).model {
		if key.team == caller.Team && key.model != "" {
			models = append(models, key.model)
		}
	}
	return models, nil
}

// engineRequest is what the engines are asked.
func (r *Completion) engineRequest() extern.EngineRequest {
	seed := xxhash.Sum64String(string(r.call.RequestID))
	if r.call.Seed != nil {
		seed = *r.call.Seed
	}
	return extern.EngineRequest{
		Request:      r.call.RequestID,
		Organisation: r.caller.Organisation,
		Model:        r.route.Model,
		Version:      r.version,
		Route:        r.route.ID,
		Prompt:       r.call.Prompt,
		MaxTokens:    r.maxTokens,
		Seed:         seed,
		Sampling:     r.call.Sampling,
	}
}
