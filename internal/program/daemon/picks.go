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

// picker shows the router to the relay.
type picker struct {
	router   *route.Router
	state    func() *config.State
	splitter *moves.Splitter
	watch    *moves.Monitor
	// dispatched is called for each attempt; nil for none.
	dispatched func(ident.VersionID, ident.RouteID)
}

// Pick implements relay.Picker.
func (p *picker) Pick(ctx context.Context, req *extern.EngineRequest, tried []ident.UpstreamID) (relay.Attempt, error) {
	version := req.Version
	if req.ResumeFrom == 0 && !p.splitter.Sendable(req.Model, req.Route, version) {
		version = p.splitter.ServingVersion(req.Model, req.Route)
	}
	r := p.request(ctx, req, version, tried)
	decision, err := p.router.Pick(r)
	if other := p.splitter.FallbackVersion(req.Model, req.Route, version); err != nil && other != version && req.ResumeFrom == 0 {
		version = other
		r = p.request(ctx, req, version, tried)
		decision, err = p.router.Pick(r)
	}
	if err != nil {
		return relay.Attempt{}, err
	}
	if p.dispatched != nil {
		p.dispatched(version, req.Route)
	}
	attempt := p.router.StartAttempt(r, decision)
	flight := p.watch.Begin(moves.Target{
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
			flight.FirstToken(attempt.QueuedTokens())
		},
		OnTokens: flight.Tokens,
		OnResult: func(report relay.AttemptResult) {
			end(attempt, report)
			flight.End(outcomeOf(report), report.Tokens)
			klog.V(2).InfoS("Attempt ended", "requestId", req.Request, "organisation", req.Organisation, "route", req.Route,
				"upstream", decision.Upstream, "version", version, "reason", decision.Reason, "tokens", report.Tokens,
				"firstToken", report.TTFT, "err", report.Err)
		},
	}, nil
}

func (p *picker) request(ctx context.Context, req *extern.EngineRequest, version ident.VersionID, tried []ident.UpstreamID) *route.Request {
	st := p.state()
	var blockTokens ident.Tokens
	if model, ok := st.Model(req.Model); ok {
		blockTokens = model.BlockTokens
	}
	scope := prefix.Scope{Organisation: req.Organisation, Model: req.Model, Version: version, Adapter: req.Adapter}
	r := &route.Request{
		Scope:        scope,
		Chain:        chainOf(req, scope, blockTokens),
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

// chainOf returns the hashes of a request's blocks. It hashes the prompt once for all attempts of the same version.
func chainOf(req *extern.EngineRequest, scope prefix.Scope, blockTokens ident.Tokens) []ident.BlockHash {
	kept := &req.Blocks
	if kept.Version != scope.Version || kept.BlockTokens != blockTokens {
		*kept = extern.PrefixChain{
			Version:     scope.Version,
			BlockTokens: blockTokens,
			Hashes:      prefix.Chain(scope, req.Prompt, blockTokens),
		}
	}
	return kept.Hashes
}

// outcomeOf returns the outcome of an attempt for the watch on moves.
func outcomeOf(report relay.AttemptResult) moves.Outcome {
	if report.Cancelled {
		return moves.OutcomeIgnored
	}
	var status *httpc.StatusError
	outcome := moves.OutcomeOf(report.Err)
	if outcome == moves.OutcomeBroken && errors.As(report.Err, &status) {
		// The engine runs and has answered with a failure.
		return moves.OutcomeFailed
	}
	return outcome
}

// end tells the router how an attempt ended.
func end(attempt *route.Attempt, report relay.AttemptResult) {
	switch {
	case report.Cancelled:
		attempt.Cancelled(report.Tokens)
	case report.Err != nil:
		attempt.Failed(report.Err)
	default:
		attempt.Finished(&extern.EngineDone{
			PromptTokens: report.PromptTokens,
			CachedTokens: report.CachedTokens,
			OutputTokens: report.Tokens,
		})
	}
}

// runner shows the relay to the request service.
type runner struct {
	relay *relay.Relay
}

// Run implements serve.Runner.
func (r runner) Run(ctx context.Context, req extern.EngineRequest, emit func(*extern.EngineChunk) error) (*extern.EngineDone, error) {
	done, err := r.relay.Run(ctx, req, emit)
	if err != nil {
		return nil, failureOf(err)
	}
	return done, nil
}

// failureOf returns the failure of a run as the request service's. A refusal of emit is passed on as it is.
func failureOf(err error) error {
	var own *serve.Error
	if errors.As(err, &own) {
		return own
	}
	var run *relay.RunError
	if !errors.As(err, &run) {
		return &serve.Error{Code: serve.CodeUpstreamFailed, RunStatus: serve.MayHaveRun, Message: "the upstream failed", Err: err}
	}
	failure := &serve.Error{RunStatus: serve.MayHaveRun, Err: err}
	if run.NotRun {
		failure.RunStatus = serve.NotRun
		failure.RetryAfter = max(run.RetryAfter, retryAfter)
	}
	switch run.Reason {
	case relay.ReasonDeadline:
		failure.Code, failure.Message = serve.CodeTimeout, "the request took longer than its route or its caller allows"
	case relay.ReasonCancelled, relay.ReasonCaller:
		failure.Code, failure.Message = serve.CodeCancelled, "the caller went away"
	case relay.ReasonNoEngine:
		failure.Code, failure.Message = serve.CodeNoUpstream, "no engine can take the request now"
		failure.RetryAfter = max(failure.RetryAfter, pickRetry(err))
	case relay.ReasonRejected:
		failure.Code, failure.Message = serve.CodeUpstreamFailed, "the engine rejected the request"
	default:
		failure.Code, failure.Message = serve.CodeUpstreamFailed, "the engines that were tried failed"
	}
	return failure
}

func pickRetry(err error) time.Duration {
	var none *route.NoEngineError
	if errors.As(err, &none) {
		return none.RetryAfter
	}
	return 0
}
