package route

import (
	"errors"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/guard"
	"github.com/gooseberryway/gooseberryway/internal/state/health"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Attempt is one attempt of a request at an engine, from Started to Finished, Failed or Cancelled. The router learns
// from it. It is not safe for concurrent use.
type Attempt struct {
	router   *Router
	upstream *health.Upstream
	work     health.Request
	req      Request
	decision Decision
	// queued are the tokens that the engine's last report called queued when the attempt was sent.
	queued ident.Tokens
	// before are the tokens that the engine computes before the first token of the answer.
	before  ident.Tokens
	started time.Time
	ttft    time.Duration
	done    bool
}

// StartAttempt notes that an attempt is about to be sent. The caller must end the attempt.
func (r *Router) StartAttempt(req *Request, d Decision) *Attempt {
	now := time.Now()
	if d.Scope != req.Scope {
		guard.Check(false, guard.CacheFresh,
			"a decision for organisation %s, version %s serves a request of organisation %s, version %s",
			d.Scope.Organisation, d.Scope.Version, req.Scope.Organisation, req.Scope.Version)
	}
	a := &Attempt{router: r, req: *req, decision: d, started: now, upstream: r.Health.Upstream(d.Upstream)}
	a.before = max(0, req.PromptTokens-d.ExpectedCachedTokens)
	if a.upstream == nil {
		return a
	}
	held := d.ExpectedCachedTokens
	if d.ImportBlocks > 0 {
		held = ident.Tokens(d.ImportBlocks) * req.BlockTokens
	}
	a.served(req.PromptTokens, now)
	a.queued = a.upstream.ReportedQueue(now)
	missed := max(0, req.PromptTokens-held)
	a.before = a.upstream.OutstandingTokens(now) + missed
	a.work = a.upstream.Begin(missed, now)
	a.expect()
	r.notify(d, missed)
	return a
}

// TokensBeforeFirst returns the tokens that the engine was expected to compute before the first token when the attempt was sent: those
// queued before it and its own.
func (a *Attempt) TokensBeforeFirst() ident.Tokens { return a.before }

// QueuedTokens returns the tokens that the engine is expected to compute for other requests as of now. Call it after FirstToken.
func (a *Attempt) QueuedTokens() ident.Tokens {
	if a.upstream == nil {
		return 0
	}
	return a.upstream.OutstandingTokens(time.Now())
}

// expect notes that the engine is about to hold the prompt, unless it has restarted since the decision.
func (a *Attempt) expect() {
	if a.upstream.Incarnation() == a.decision.Incarnation {
		a.router.Index.AddExpected(a.decision.Upstream, a.req.Chain)
	}
}

// FirstToken notes that the first token of the answer has come. Later calls change nothing.
func (a *Attempt) FirstToken() {
	if a.ttft != 0 || a.upstream == nil {
		return
	}
	a.ttft = time.Since(a.started)
	a.work.FirstToken()
	a.expect()
	missed := float64(a.req.PromptTokens - a.decision.ExpectedCachedTokens)
	prefill := time.Duration(missed / a.upstream.PrefillRate() * float64(time.Second))
	a.upstream.ObserveQueueWait(a.queued, max(0, a.ttft-prefill))
}

// Finished notes that the answer is complete.
func (a *Attempt) Finished(done *extern.EngineDone) {
	if !a.end() {
		return
	}
	now := time.Now()
	a.router.Health.RecordSuccess(a.upstream, now)
	if a.ttft > 0 {
		a.upstream.ObserveDecodeTime(now.Sub(a.started) - a.ttft)
	}
	if a.decision.ImportBlocks == 0 {
		computed := max(0, done.PromptTokens-done.CachedTokens)
		a.upstream.ObservePrefill(computed, a.ttft)
		a.upstream.ObserveCacheHits(a.decision.ExpectedCachedTokens, done.CachedTokens)
	}
	a.served(OutputTokenCostFactor*done.OutputTokens, now)
	countFinished(a.decision, done)
}

// Cancelled notes that the caller has gone after so many output tokens.
func (a *Attempt) Cancelled(output ident.Tokens) {
	if a.end() {
		a.served(OutputTokenCostFactor*output, time.Now())
	}
}

// Failed notes that the engine has failed the attempt.
func (a *Attempt) Failed(err error) {
	if !a.end() {
		return
	}
	a.router.Index.RemoveExpected(a.decision.Upstream, a.req.Chain)
	now := time.Now()
	var failure *extern.UpstreamError
	if !errors.As(err, &failure) {
		a.router.Health.RecordFailure(a.upstream, now)
		return
	}
	switch failure.Kind {
	case extern.UpstreamUnreachable:
		a.router.Health.RecordUnreachable(a.upstream, now)
	case extern.UpstreamBroken, extern.UpstreamResponseMismatch, extern.UpstreamTimeout:
		a.router.Health.RecordFailure(a.upstream, now)
	default:
	}
}

// end ends the attempt's accounting and reports whether it was running.
func (a *Attempt) end() bool {
	if a.done || a.upstream == nil {
		return false
	}
	a.done = true
	a.work.End()
	return true
}

func (a *Attempt) served(tokens ident.Tokens, now time.Time) {
	if f := a.router.FairShare; f != nil {
		f.AddServed(a.req.Scope.Organisation, a.req.Rate, tokens, now)
	}
}
