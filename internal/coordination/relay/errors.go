package relay

import (
	"fmt"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Reason is why a request got no complete answer.
type Reason string

// Reasons of a RunError.
const (
	// ReasonNoEngine: the picker returned no engine.
	ReasonNoEngine Reason = "noEngine"
	// ReasonAttempts: the last attempt failed and no further one is allowed.
	ReasonAttempts Reason = "attempts"
	// ReasonBudget: the retry budget is spent.
	ReasonBudget Reason = "budget"
	// ReasonRejected: an engine rejected the content of the request.
	ReasonRejected Reason = "rejected"
	// ReasonDeadline: the request's deadline has passed.
	ReasonDeadline Reason = "deadline"
	// ReasonCancelled: the request's context was cancelled.
	ReasonCancelled Reason = "cancelled"
	// ReasonCaller: emit failed; Err is its error.
	ReasonCaller Reason = "caller"
)

// RunError reports that a request got no complete answer.
type RunError struct {
	Reason Reason
	// Delivered is the number of output tokens that the caller has received. If it is not 0, the caller must be told
	// that the answer is truncated.
	Delivered ident.Tokens
	// NotRun is true only if no attempt can have run.
	NotRun bool
	// Attempts is the number of attempts on engines.
	Attempts int
	// RetryAfter is the Retry-After of the last engine; 0 if it sent none.
	RetryAfter time.Duration
	// Err is the last failure.
	Err error
}

func (e *RunError) Error() string {
	return fmt.Sprintf("no complete answer (%s) after %d attempts and %d tokens: %v", e.Reason, e.Attempts, e.Delivered, e.Err)
}

func (e *RunError) Unwrap() error { return e.Err }

// GapError reports a chunk that has no tokens or starts at another token than the expected one.
type GapError struct {
	Want, Got ident.Tokens
}

func (e *GapError) Error() string {
	return fmt.Sprintf("got token %d, expected token %d", e.Got, e.Want)
}

// OverlapError reports a chunk of which the caller already has a part, but not all. Its text can't be split by
// tokens.
type OverlapError struct {
	Want, First, End ident.Tokens
}

func (e *OverlapError) Error() string {
	return fmt.Sprintf("got a chunk of tokens %d to %d, expected token %d", e.First, e.End, e.Want)
}

// OverrunError reports an answer with more tokens than requested.
type OverrunError struct {
	Limit ident.Tokens
}

func (e *OverrunError) Error() string {
	return fmt.Sprintf("the answer has more than %d tokens", e.Limit)
}

// LengthMismatchError reports an answer whose last event declares another number of tokens than were received.
type LengthMismatchError struct {
	Received, Declared ident.Tokens
}

func (e *LengthMismatchError) Error() string {
	return fmt.Sprintf("received %d tokens of an answer of %d", e.Received, e.Declared)
}

// ResponseMismatchError reports an answer to another request.
type ResponseMismatchError struct {
	Want, Got ident.RequestID
}

func (e *ResponseMismatchError) Error() string {
	return fmt.Sprintf("got the answer to request %s for request %s", e.Got, e.Want)
}

// VersionMismatchError reports that the picked engine has another version than the one that began the answer.
type VersionMismatchError struct {
	Want, Got ident.VersionID
}

func (e *VersionMismatchError) Error() string {
	return fmt.Sprintf("version %s can't resume an answer of version %s", e.Got, e.Want)
}

// TimeoutError reports that an engine sent no event for the time After.
type TimeoutError struct {
	After time.Duration
	// BeforeFirstToken is true if the engine had sent no event at all.
	BeforeFirstToken bool
}

func (e *TimeoutError) Error() string {
	if e.BeforeFirstToken {
		return fmt.Sprintf("no first token within %v", e.After)
	}
	return fmt.Sprintf("no further token within %v", e.After)
}

// emitError reports that emit failed.
type emitError struct {
	err error
}

func (e *emitError) Error() string {
	return "the answer could not be delivered to the caller: " + e.err.Error()
}

func (e *emitError) Unwrap() error { return e.err }

// watchdogError is the cancellation cause of an attempt whose engine sent no event in time.
type watchdogError struct {
	after time.Duration
}

func (e *watchdogError) Error() string { return "the engine sent no event in time" }
