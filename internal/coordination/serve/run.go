package serve

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/burn"
	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/guard"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/prefix"
)

// keptType is the content type under which answers of completions are kept.
const keptType = "application/vnd.gooseberryway.completion+json"

// Result is the end of a complete answer.
type Result struct {
	FinishReason string       `json:"finishReason"`
	PromptTokens ident.Tokens `json:"promptTokens"`
	CachedTokens ident.Tokens `json:"cachedTokens"`
	OutputTokens ident.Tokens `json:"outputTokens"`
}

// keptCompletion is the body of a kept answer of a completion.
type keptCompletion struct {
	Result
	Text string `json:"text"`
}

// Completion is an admitted completion.
type Completion struct {
	service     *Service
	call        *CompletionRequest
	route       *config.Route
	caller      Caller
	version     ident.VersionID
	maxTokens   ident.Tokens
	reservation Reservation
	claimed     bool
	kept        *StoredResponse
	state       atomic.Pointer[config.State]
	sent        ident.Tokens
	started     bool
	text        []byte
	closed      bool
	// began and first are the times of the first attempt and of the first token.
	began, first time.Time
}

// Route returns the route of the request.
func (r *Completion) Route() ident.RouteID { return r.route.ID }

// Organisation returns the organisation that the request runs for; empty on an open route without a key.
func (r *Completion) Organisation() ident.OrganisationID { return r.caller.Organisation }

// Version returns the version that serves the request; empty for a kept answer.
func (r *Completion) Version() ident.VersionID { return r.version }

// Stream runs the completion and passes each piece of text on, in order. It returns when the answer is whole
// or can't be completed; the error is an *Error, or that of emit.
func (r *Completion) Stream(ctx context.Context, emit func(text string) error) (*Result, error) {
	if r.kept != nil {
		return r.streamKept(emit)
	}
	ctx, cancel := context.WithTimeout(ctx, r.service.timeout(r.route))
	defer cancel()
	r.started = true
	r.began = time.Now()
	done, err := r.service.Runner.Run(ctx, r.engineRequest(), func(c *extern.EngineChunk) error { return r.pass(c, emit) })
	r.record(err)
	if err != nil {
		return nil, r.failed(err)
	}
	result := &Result{
		FinishReason: done.FinishReason,
		PromptTokens: done.PromptTokens,
		CachedTokens: done.CachedTokens,
		OutputTokens: done.OutputTokens,
	}
	r.settle(prefix.TokensOf(r.call.Prompt) + min(done.OutputTokens, r.maxTokens))
	r.finish(result)
	return result, nil
}

func (r *Completion) pass(c *extern.EngineChunk, emit func(string) error) error {
	if err := r.checkWithdrawal(); err != nil {
		return err
	}
	if r.sent == 0 {
		r.first = time.Now()
	}
	r.sent += c.Count
	if r.claimed {
		r.text = append(r.text, c.Text...)
	}
	return emit(c.Text)
}

// checkWithdrawal ends a stream whose key has been withdrawn, where the route wants that.
func (r *Completion) checkWithdrawal() error {
	now := r.service.State()
	if r.state.Load() == now {
		return nil
	}
	r.state.Store(now)
	if r.route.OnKeyWithdrawal != config.WithdrawalCut || !r.call.Credentials.HasKey {
		return nil
	}
	_, err := authenticate(now, r.call.Credentials)
	var refusal *Error
	if errors.As(err, &refusal) {
		refusal.RunStatus = HasRun
		return refusal
	}
	return nil
}

// record counts the completion for the service-level objectives.
func (r *Completion) record(err error) {
	if r.service.OnOutcome == nil {
		return
	}
	event := burn.Event{Route: r.route.ID, Organisation: r.caller.Organisation, Failed: blamesSystem(err)}
	if !r.first.IsZero() {
		event.TTFT = r.first.Sub(r.began)
	}
	if r.sent > 1 {
		event.ITL = time.Since(r.first) / time.Duration(r.sent-1)
	}
	r.service.OnOutcome(event)
}

// blamesSystem reports whether a request failed through no fault of its caller.
func blamesSystem(err error) bool {
	var failure *Error
	return errors.As(err, &failure) && failure.Code != CodeCancelled && failure.Code != CodeKeyWithdrawn
}

func (r *Completion) failed(err error) error {
	var failure *Error
	if !errors.As(err, &failure) || failure.RunStatus != NotRun {
		// The prompt and what was sent so far have been computed.
		r.settle(prefix.TokensOf(r.call.Prompt) + r.sent)
		return err
	}
	guard.Check(r.sent == 0, guard.NotRunTrue, "request %s: said not to have run after %d tokens", r.call.RequestID, r.sent)
	r.started = false
	return err
}

func (r *Completion) settle(used ident.Tokens) {
	if r.reservation != nil {
		r.reservation.Settle(used)
		r.reservation = nil
	}
}

// finish keeps the answer of a claimed request for repeats.
func (r *Completion) finish(result *Result) {
	if !r.claimed {
		return
	}
	body, err := json.Marshal(keptCompletion{Result: *result, Text: string(r.text)})
	if err != nil {
		return
	}
	answer := &StoredResponse{Status: statusOK, ContentType: keptType, Body: body}
	r.service.Claims.Finish(context.Background(), r.caller.Organisation, r.call.IdempotencyKey, r.call.RequestID, answer)
	r.claimed = false
}

func (r *Completion) streamKept(emit func(string) error) (*Result, error) {
	var kept keptCompletion
	if err := json.Unmarshal(r.kept.Body, &kept); err != nil {
		return nil, &Error{Code: CodeAlreadyRan, RunStatus: HasRun, Message: "the request ran, its answer is not kept", Err: err}
	}
	if err := emit(kept.Text); err != nil {
		return nil, err
	}
	r.settle(0)
	return &kept.Result, nil
}

// Close ends the request. It frees what a request that never ran had reserved and claimed.
func (r *Completion) Close() {
	if r.closed {
		return
	}
	r.closed = true
	if !r.started {
		r.settle(0)
		r.freeClaim()
	}
	r.settle(prefix.TokensOf(r.call.Prompt) + r.sent)
	r.service.end()
}

func (r *Completion) freeClaim() {
	if r.claimed {
		r.service.Claims.Finish(context.Background(), r.caller.Organisation, r.call.IdempotencyKey, r.call.RequestID, nil)
		r.claimed = false
	}
}
