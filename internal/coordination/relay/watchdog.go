package relay

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/scope"
)

// watchdog cancels an attempt whose engine is silent, once another attempt can follow.
type watchdog struct {
	state  *requestState
	cancel context.CancelCauseFunc
	// req is a copy of the request, tried the engines tried so far, with that of the attempt as the last.
	req   extern.EngineRequest
	tried []ident.UpstreamID
	// hasAttempt says that another attempt may follow one without a token.
	hasAttempt bool
	// firstEventTimeout is how long the first event may take.
	firstEventTimeout time.Duration

	// events counts the events so far, delivered the tokens of the answer that the caller has.
	events    atomic.Uint64
	delivered atomic.Int64
}

func (a *attempt) newWatchdog(ctx context.Context, cancel context.CancelCauseFunc) *watchdog {
	s := a.state
	w := &watchdog{
		state: s, cancel: cancel, req: s.req, tried: slices.Clone(s.triedUpstreams),
		hasAttempt: s.attemptsSinceToken < s.relay.maxAttempts(), firstEventTimeout: a.firstEventTimeout(ctx),
	}
	w.delivered.Store(int64(s.delivered))
	return w
}

// record notes an event, after which the caller has that many tokens.
func (w *watchdog) record(delivered ident.Tokens) {
	w.delivered.Store(int64(delivered))
	w.events.Add(1)
}

// handleSilence is called when the engine has been silent for its timeout. It returns when the attempt has been cancelled or has ended, or
// when an event has come.
func (w *watchdog) handleSilence(ctx context.Context) {
	events, silence := w.events.Load(), w.firstEventTimeout
	if events > 0 {
		silence = w.state.relay.interTokenTimeout()
	}
	began := time.Now()
	for events == w.events.Load() {
		if w.secureNext(ctx) {
			w.cancel(&watchdogError{after: silence + time.Since(began)})
			return
		}
		if !scope.Sleep(ctx, silenceTick) {
			return
		}
	}
}

// secureNext reports whether another attempt can follow, and takes its retry from the budget. Without a deadline, which would end the
// attempt, it always can.
func (w *watchdog) secureNext(ctx context.Context) bool {
	if _, ok := ctx.Deadline(); !ok {
		return true
	}
	req, tried := w.req, w.tried
	req.ResumeFrom = ident.Tokens(w.delivered.Load())
	if req.ResumeFrom > 0 {
		// A resumption may go to engines that failed before, and is never refused by the budget.
		return w.hasOther(ctx, &req, tried[len(tried)-1:])
	}
	return w.hasAttempt && w.hasOther(ctx, &req, tried) && w.state.prepayRetry()
}

func (w *watchdog) hasOther(ctx context.Context, req *extern.EngineRequest, tried []ident.UpstreamID) bool {
	return w.state.relay.HasOther == nil || w.state.relay.HasOther(ctx, req, tried)
}
