package route

import (
	"errors"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/guard"
	"github.com/gooseberryway/gooseberryway/internal/state/health"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Attempt accounts for one attempt of a request at an engine, from StartAttempt to Finished, Failed or Cancelled. It
// updates the router's load, latency, health and cache estimates. It is not safe for concurrent use.
type Attempt struct {
	router      *Router
	upstream    *health.Upstream
	outstanding health.Request
	req         Request
	decision    Decision
	// reportedQueue is the number of queued tokens in the engine's latest load report when the attempt was sent.
	reportedQueue ident.Tokens
	// tokensBeforeFirst is the number of tokens that the engine is expected to compute before the first output token.
	tokensBeforeFirst ident.Tokens
	startedAt         time.Time
	ttft              time.Duration
	ended             bool
}

// StartAttempt records that an attempt is about to be sent. The calling code must end the attempt with Finished, Failed
// or Cancelled.
func (r *Router) StartAttempt(req *Request, d Decision) *Attempt {
	now := time.Now()
	if d.Scope != req.Scope {
		guard.Check(false, guard.CacheFresh,
			"a decision for organisation %s, version %s was used for a request of organisation %s, version %s",
			d.Scope.Organisation, d.Scope.Version, req.Scope.Organisation, req.Scope.Version)
	}
	a := &Attempt{router: r, req: *req, decision: d, startedAt: now, upstream: r.Health.Upstream(d.Upstream)}
	a.tokensBeforeFirst = max(0, req.PromptTokens-d.ExpectedCachedTokens)
	if a.upstream == nil {
		return a
	}
	reused := d.ExpectedCachedTokens
	if d.ImportBlocks > 0 {
		reused = ident.Tokens(d.ImportBlocks) * req.BlockTokens
	}
	a.addServed(req.PromptTokens, now)
	a.reportedQueue = a.upstream.ReportedQueue(now)
	missed := max(0, req.PromptTokens-reused)
	a.tokensBeforeFirst = a.upstream.OutstandingTokens(now) + missed
	a.outstanding = a.upstream.Begin(missed, now)
	a.addExpectedBlocks()
	r.sendNotice(d, missed)
	return a
}

// TokensBeforeFirst returns the number of tokens that the engine was expected to compute before the first output token
// when the attempt was sent: the tokens already queued plus the uncached tokens of this prompt.
func (a *Attempt) TokensBeforeFirst() ident.Tokens { return a.tokensBeforeFirst }

// QueuedTokens returns the number of tokens that the engine is currently expected to compute for other requests. Call it
// after FirstToken, when this attempt's own prompt no longer counts as outstanding.
func (a *Attempt) QueuedTokens() ident.Tokens {
	if a.upstream == nil {
		return 0
	}
	return a.upstream.OutstandingTokens(time.Now())
}

// addExpectedBlocks adds the prompt's blocks to the index as expected in the engine's cache, unless the engine has
// restarted since the decision.
func (a *Attempt) addExpectedBlocks() {
	if a.upstream.Incarnation() == a.decision.Incarnation {
		a.router.Index.AddExpected(a.decision.Upstream, a.req.Chain)
	}
}

// FirstToken records the arrival of the first output token. Later calls have no effect.
func (a *Attempt) FirstToken() {
	if a.ttft != 0 || a.upstream == nil {
		return
	}
	a.ttft = time.Since(a.startedAt)
	a.outstanding.FirstToken()
	a.addExpectedBlocks()
	missed := float64(a.req.PromptTokens - a.decision.ExpectedCachedTokens)
	prefill := time.Duration(missed / a.upstream.PrefillRate() * float64(time.Second))
	a.upstream.ObserveQueueWait(a.reportedQueue, max(0, a.ttft-prefill))
}

// Finished records that the response is complete.
func (a *Attempt) Finished(done *extern.EngineDone) {
	if !a.end() {
		return
	}
	now := time.Now()
	a.router.Health.RecordSuccess(a.upstream, now)
	if a.ttft > 0 {
		a.upstream.ObserveDecodeTime(now.Sub(a.startedAt) - a.ttft)
	}
	if a.decision.ImportBlocks == 0 {
		computed := max(0, done.PromptTokens-done.CachedTokens)
		a.upstream.ObservePrefill(computed, a.ttft)
		a.upstream.ObserveCacheHits(a.decision.ExpectedCachedTokens, done.CachedTokens)
	}
	a.addServed(OutputTokenCostFactor*done.OutputTokens, now)
	countFinished(a.decision, done)
}

// Cancelled records that the caller went away after the given number of output tokens.
func (a *Attempt) Cancelled(output ident.Tokens) {
	if a.end() {
		a.addServed(OutputTokenCostFactor*output, time.Now())
	}
}

// Failed records that the attempt failed. The blocks expected from it are removed from the index. The engine's health is
// affected unless err is an *extern.UpstreamError whose kind says that the engine merely refused the request.
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

// end stops counting the attempt as outstanding work. It returns false if the attempt had already ended or its engine
// is unknown.
func (a *Attempt) end() bool {
	if a.ended || a.upstream == nil {
		return false
	}
	a.ended = true
	a.outstanding.End()
	return true
}

// addServed charges tokens to the organisation's fair share.
func (a *Attempt) addServed(tokens ident.Tokens, now time.Time) {
	if f := a.router.FairShare; f != nil {
		f.AddServed(a.req.Scope.Organisation, a.req.Rate, tokens, now)
	}
}
