package daemon

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/coordination/moves"
	"github.com/gooseberryway/gooseberryway/internal/coordination/relay"
	"github.com/gooseberryway/gooseberryway/internal/coordination/route"
	"github.com/gooseberryway/gooseberryway/internal/coordination/serve"
	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/prefix"
	"github.com/gooseberryway/gooseberryway/internal/transport/httpc"
)

// picker implements relay.Picker with the router and the traffic split of moves.
type picker struct {
	router   *route.Router
	state    func() *config.State
	splitter *moves.Splitter
	monitor  *moves.Monitor
	// onDispatch is called for each attempt. It may be nil.
	onDispatch func(ident.VersionID, ident.RouteID)
}

// Pick implements relay.Picker. If no engine takes the request at its version, it tries the fallback version, unless the
// request resumes a response that has begun.
func (p *picker) Pick(ctx context.Context, req *extern.EngineRequest, tried []ident.UpstreamID) (relay.Attempt, error) {
	r, decision, err := p.decide(ctx, req, tried)
	if err != nil {
		return relay.Attempt{}, err
	}
	version := r.Scope.Version
	if p.onDispatch != nil {
		p.onDispatch(version, req.Route)
	}
	attempt := p.router.StartAttempt(r, decision)
	moveAttempt := p.monitor.Begin(moves.Target{
		Model:        req.Model,
		Route:        req.Route,
		Version:      version,
		Organisation: req.Organisation,
		Upstream:     decision.Upstream,
		Resumed:      req.ResumeFrom > 0,
	}, attempt.TokensBeforeFirst())
	return relay.Attempt{
		Upstream:     decision.Upstream,
		BaseURL:      decision.BaseURL,
		Priority:     decision.Priority,
		ImportBlocks: decision.ImportBlocks,
		Version:      version,
		OnFirstToken: func() {
			attempt.FirstToken()
			moveAttempt.FirstToken(attempt.QueuedTokens())
		},
		OnTokens: moveAttempt.Tokens,
		OnResult: func(result relay.AttemptResult) {
			reportResult(attempt, result)
			moveAttempt.End(moveOutcome(result), result.Tokens)
			klog.V(2).InfoS("Attempt ended", "requestId", req.Request, "organisation", req.Organisation, "route", req.Route,
				"upstream", decision.Upstream, "version", version, "reason", decision.Reason, "tokens", result.Tokens,
				"firstToken", result.TTFT, "err", result.Err)
		},
	}, nil
}

// hasOther implements relay.Relay.HasOther.
func (p *picker) hasOther(ctx context.Context, req *extern.EngineRequest, tried []ident.UpstreamID) bool {
	_, _, err := p.decide(ctx, req, tried)
	return err == nil
}

// decide chooses the version and the engine of an attempt, without beginning it.
func (p *picker) decide(ctx context.Context, req *extern.EngineRequest, tried []ident.UpstreamID) (*route.Request, route.Decision, error) {
	version := req.Version
	if req.ResumeFrom == 0 && !p.splitter.Sendable(req.Model, req.Route, version) {
		version = p.splitter.ServingVersion(req.Model, req.Route)
	}
	r := p.routeRequest(ctx, req, version, tried)
	decision, err := p.router.Pick(r)
	if fallback := p.splitter.FallbackVersion(req.Model, req.Route, version); err != nil && fallback != version && req.ResumeFrom == 0 {
		r = p.routeRequest(ctx, req, fallback, tried)
		decision, err = p.router.Pick(r)
	}
	return r, decision, err
}

// routeRequest returns the request to the router for an attempt at a version.
func (p *picker) routeRequest(ctx context.Context, req *extern.EngineRequest, version ident.VersionID, tried []ident.UpstreamID) *route.Request {
	st := p.state()
	var blockTokens ident.Tokens
	if model, ok := st.Model(req.Model); ok {
		blockTokens = model.BlockTokens
	}
	scope := prefix.Scope{Organisation: req.Organisation, Model: req.Model, Version: version, Adapter: req.Adapter}
	r := &route.Request{
		Scope:        scope,
		Chain:        prefixChain(req, scope, blockTokens),
		BlockTokens:  blockTokens,
		PromptTokens: prefix.TokensOf(req.Prompt),
		MaxTokens:    req.MaxTokens,
		Tried:        tried,
	}
	if org, ok := st.Organisation(req.Organisation); ok {
		r.Rate, r.Burst = org.Rate, org.Burst
	}
	if deadline, ok := ctx.Deadline(); ok {
		r.Deadline = deadline
	}
	return r
}

// prefixChain returns the block hashes of a request's prompt. It caches them in the request, so that the prompt is hashed
// once for all attempts at the same version.
func prefixChain(req *extern.EngineRequest, scope prefix.Scope, blockTokens ident.Tokens) []ident.BlockHash {
	cached := &req.Blocks
	if cached.Version != scope.Version || cached.BlockTokens != blockTokens {
		*cached = extern.PrefixChain{
			Version:     scope.Version,
			BlockTokens: blockTokens,
			Hashes:      prefix.Chain(scope, req.Prompt, blockTokens),
		}
	}
	return cached.Hashes
}

// moveOutcome returns the outcome of an attempt for the monitor of moves.
func moveOutcome(result relay.AttemptResult) moves.Outcome {
	if result.Cancelled {
		return moves.OutcomeIgnored
	}
	var status *httpc.StatusError
	outcome := moves.OutcomeOf(result.Err)
	if outcome == moves.OutcomeBroken && errors.As(result.Err, &status) {
		// An HTTP error status means that the engine is running and has failed the request.
		return moves.OutcomeFailed
	}
	return outcome
}

// reportResult passes the result of an attempt to the router.
func reportResult(attempt *route.Attempt, result relay.AttemptResult) {
	switch {
	case result.Cancelled:
		attempt.Cancelled(result.Tokens)
	case result.Err != nil:
		attempt.Failed(result.Err)
	default:
		attempt.Finished(&extern.EngineDone{
			PromptTokens: result.PromptTokens,
			CachedTokens: result.CachedTokens,
			OutputTokens: result.Tokens,
		})
	}
}

// relayRunner implements serve.Runner with the relay.
type relayRunner struct {
	relay *relay.Relay
}

// Run implements serve.Runner.
func (r relayRunner) Run(ctx context.Context, req extern.EngineRequest, emit func(*extern.EngineChunk) error) (*extern.EngineDone, error) {
	done, err := r.relay.Run(ctx, req, emit)
	if err != nil {
		return nil, runFailure(err)
	}
	return done, nil
}

// runFailure converts an error of the relay to a *serve.Error. An error that is one already, from emit, is returned as it
// is.
func runFailure(err error) error {
	var serveErr *serve.Error
	if errors.As(err, &serveErr) {
		return serveErr
	}
	var runErr *relay.RunError
	if !errors.As(err, &runErr) {
		return &serve.Error{Code: serve.CodeUpstreamFailed, RunStatus: serve.MayHaveRun, Message: "the upstream failed", Err: err}
	}
	failure := &serve.Error{RunStatus: serve.MayHaveRun, Err: err}
	if runErr.NotRun {
		failure.RunStatus = serve.NotRun
		failure.RetryAfter = max(runErr.RetryAfter, minRetryAfter)
	}
	switch runErr.Reason {
	case relay.ReasonDeadline:
		failure.Code, failure.Message = serve.CodeTimeout, "the request took longer than its route or its caller allows"
	case relay.ReasonCancelled, relay.ReasonCaller:
		failure.Code, failure.Message = serve.CodeCancelled, "the caller went away"
	case relay.ReasonNoEngine:
		failure.Code, failure.Message = serve.CodeNoUpstream, "no engine can take the request now"
		failure.RetryAfter = max(failure.RetryAfter, noEngineRetryAfter(err))
	case relay.ReasonRejected:
		failure.Code, failure.Message = serve.CodeUpstreamFailed, "the engine rejected the request"
	default:
		failure.Code, failure.Message = serve.CodeUpstreamFailed, "the engines that were tried failed"
	}
	return failure
}

// noEngineRetryAfter returns the Retry-After of a *route.NoEngineError, or 0.
func noEngineRetryAfter(err error) time.Duration {
	var none *route.NoEngineError
	if errors.As(err, &none) {
		return none.RetryAfter
	}
	return 0
}
