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

// storedContentType is the content type of stored completions.
const storedContentType = "application/vnd.gooseberryway.completion+json"

// Result holds the finish reason and the token counts of a complete response.
type Result struct {
	FinishReason string       `json:"finishReason"`
	PromptTokens ident.Tokens `json:"promptTokens"`
	CachedTokens ident.Tokens `json:"cachedTokens"`
	OutputTokens ident.Tokens `json:"outputTokens"`
}

// storedCompletion is the body of a stored completion, encoded as JSON.
type storedCompletion struct {
	Result
	Text string `json:"text"`
}

// Completion is an admitted completion request.
type Completion struct {
	service      *Service
	req          *CompletionRequest
	route        *config.Route
	caller       Caller
	version      ident.VersionID
	maxTokens    ident.Tokens
	reservation  Reservation
	claimed      bool
	stored       *StoredResponse
	checkedState atomic.Pointer[config.State]
	sentTokens   ident.Tokens
	started      bool
	text         []byte
	closed       bool
	// startedAt and firstTokenAt are the times at which the run started and the first token arrived.
	startedAt, firstTokenAt time.Time
}

// Route returns the route of the request.
func (r *Completion) Route() ident.RouteID { return r.route.ID }

// Organisation returns the organisation that the request runs for; empty on an open route without a key.
func (r *Completion) Organisation() ident.OrganisationID { return r.caller.Organisation }

// Version returns the version that serves the request; empty for a stored response.
func (r *Completion) Version() ident.VersionID { return r.version }

// Stream runs the completion and emits each piece of text in order; a stored response is emitted in one piece. It returns
// when the response is complete or has failed. The error is an *Error or the one returned by emit.
func (r *Completion) Stream(ctx context.Context, emit func(text string) error) (*Result, error) {
	if r.stored != nil {
		return r.streamStored(emit)
	}
	ctx, cancel := context.WithTimeout(ctx, r.service.timeout(r.route))
	defer cancel()
	r.started = true
	r.startedAt = time.Now()
	done, err := r.service.Runner.Run(ctx, r.engineRequest(), func(c *extern.EngineChunk) error { return r.forward(c, emit) })
	r.recordOutcome(err)
	if err != nil {
		return nil, r.settleFailed(err)
	}
	result := &Result{
		FinishReason: done.FinishReason,
		PromptTokens: done.PromptTokens,
		CachedTokens: done.CachedTokens,
		OutputTokens: done.OutputTokens,
	}
	r.settle(prefix.TokensOf(r.req.Prompt) + min(done.OutputTokens, r.maxTokens))
	r.storeResponse(result)
	return result, nil
}

// forward emits the text of a chunk, and keeps it for repeats of a claimed request.
func (r *Completion) forward(c *extern.EngineChunk, emit func(string) error) error {
	if err := r.checkWithdrawal(); err != nil {
		return err
	}
	if r.sentTokens == 0 {
		r.firstTokenAt = time.Now()
	}
	r.sentTokens += c.Count
	if r.claimed {
		r.text = append(r.text, c.Text...)
	}
	return emit(c.Text)
}

// checkWithdrawal returns an *Error if the key has been withdrawn or became invalid since the stream started and the route
// is configured to cut streams then. It looks at the configuration only when that has changed.
func (r *Completion) checkWithdrawal() error {
	now := r.service.State()
	if r.checkedState.Load() == now {
		return nil
	}
	r.checkedState.Store(now)
	if r.route.OnKeyWithdrawal != config.WithdrawalCut || !r.req.Credentials.HasKey {
		return nil
	}
	_, err := authenticate(now, r.req.Credentials)
	var refusal *Error
	if errors.As(err, &refusal) {
		refusal.RunStatus = HasRun
		return refusal
	}
	return nil
}

// recordOutcome reports the completion to OnOutcome, for the service-level objectives.
func (r *Completion) recordOutcome(err error) {
	if r.service.OnOutcome == nil {
		return
	}
	event := burn.Event{Route: r.route.ID, Organisation: r.caller.Organisation, Failed: isSystemFailure(err)}
	if !r.firstTokenAt.IsZero() {
		event.TTFT = r.firstTokenAt.Sub(r.startedAt)
	}
	if r.sentTokens > 1 {
		event.ITL = time.Since(r.firstTokenAt) / time.Duration(r.sentTokens-1)
	}
	r.service.OnOutcome(event)
}

// isSystemFailure reports whether a failure counts against the service, not against the caller.
func isSystemFailure(err error) bool {
	var failure *Error
	return errors.As(err, &failure) && failure.Code != CodeCancelled && failure.Code != CodeKeyWithdrawn
}

// settleFailed charges the tokens of a failed run unless the request has not run, in which case Close refunds them. It
// returns err.
func (r *Completion) settleFailed(err error) error {
	var failure *Error
	if !errors.As(err, &failure) || failure.RunStatus != NotRun {
		// The engines have computed the prompt and the tokens sent so far, so these are charged.
		r.settle(prefix.TokensOf(r.req.Prompt) + r.sentTokens)
		return err
	}
	guard.Check(r.sentTokens == 0, guard.NotRunTrue, "request %s reported as not run after %d tokens were sent", r.req.RequestID, r.sentTokens)
	r.started = false
	return err
}

// settle charges the tokens used and ends the reservation. Later calls have no effect.
func (r *Completion) settle(used ident.Tokens) {
	if r.reservation != nil {
		r.reservation.Settle(used)
		r.reservation = nil
	}
}

// storeResponse stores the response of a claimed request for repeats.
func (r *Completion) storeResponse(result *Result) {
	if !r.claimed {
		return
	}
	body, err := json.Marshal(storedCompletion{Result: *result, Text: string(r.text)})
	if err != nil {
		return
	}
	response := &StoredResponse{Status: statusOK, ContentType: storedContentType, Body: body}
	r.service.Claims.Finish(context.Background(), r.caller.Organisation, r.req.IdempotencyKey, r.req.RequestID, response)
	r.claimed = false
}

// streamStored emits a stored response. It costs no tokens.
func (r *Completion) streamStored(emit func(string) error) (*Result, error) {
	var stored storedCompletion
	if err := json.Unmarshal(r.stored.Body, &stored); err != nil {
		return nil, &Error{Code: CodeAlreadyRan, RunStatus: HasRun, Message: "the request ran, its answer is not kept", Err: err}
	}
	if err := emit(stored.Text); err != nil {
		return nil, err
	}
	r.settle(0)
	return &stored.Result, nil
}

// Close ends the request. If it never ran, its reservation is refunded and its claim released; otherwise the tokens used
// are charged.
func (r *Completion) Close() {
	if r.closed {
		return
	}
	r.closed = true
	if !r.started {
		r.settle(0)
		r.releaseClaim()
	}
	r.settle(prefix.TokensOf(r.req.Prompt) + r.sentTokens)
	r.service.end()
}

// releaseClaim releases the claim on the idempotency key, because the request did not run.
func (r *Completion) releaseClaim() {
	if r.claimed {
		r.service.Claims.Finish(context.Background(), r.caller.Organisation, r.req.IdempotencyKey, r.req.RequestID, nil)
		r.claimed = false
	}
}
