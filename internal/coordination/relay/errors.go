package relay

import (
	"fmt"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Reason tells why a request got no whole answer.
type Reason string

// Reasons of a RunError.
const (
	// ReasonNoEngine: the picker knew no engine to try.
	ReasonNoEngine Reason = "noEngine"
	// ReasonAttempts: the last attempt failed and no further one is allowed.
	ReasonAttempts Reason = "attempts"
	// ReasonBudget: the retry budget is spent.
	ReasonBudget Reason = "budget"
	// ReasonRejected: an engine rejected the request for what it asks.
	ReasonRejected Reason = "rejected"
	// ReasonDeadline: the request's deadline has passed.
	ReasonDeadline Reason = "deadline"
	// ReasonCancelled: the request's context was cancelled.
	ReasonCancelled Reason = "cancelled"
	// ReasonCaller: the caller did not take the answer; Err is what emit returned.
	ReasonCaller Reason = "caller"
)

// RunError is a request without a whole answer.
type RunError struct {
	Reason Reason
	// Delivered is the number of output tokens that the caller has got. If it is not 0, the caller must be told
	// that the answer ends early.
	Delivered ident.Tokens
	// NotRun is true only if no attempt can have run.
	NotRun bool
	// Attempts is the number of engines that were asked.
	Attempts int
	// RetryAfter is how long the last engine asked to wait; 0 if it didn't say.
	RetryAfter time.Duration
	// Err is the last failure.
	Err error
}

func (e *RunError) Error() string {
	return fmt.Sprintf("no whole answer (%s) after %d attempts and %d tokens: %v", e.Reason, e.Attempts, e.Delivered, e.Err)
}

func (e *RunError) Unwrap() error { return e.Err }

// GapError is an answer in which tokens are missing.
type GapError struct {
	Want, Got ident.Tokens
}

func (e *GapError) Error() string {
	return fmt.Sprintf("token %d came where %d was due", e.Got, e.Want)
}

// OverlapError is a chunk of which the caller already has a part. Its text can't be split by tokens.
type OverlapError struct {
	Want, First, End ident.Tokens
}

func (e *OverlapError) Error() string {
	return fmt.Sprintf("a chunk of tokens %d to %d came where %d was due", e.First, e.End, e.Want)
}

// OverrunError is an answer with more tokens than asked for.
type OverrunError struct {
	Limit ident.Tokens
}

func (e *OverrunError) Error() string {
	return fmt.Sprintf("the answer has more than %d tokens", e.Limit)
}

// LengthMismatchError is an answer whose end doesn't match the tokens that came.
type LengthMismatchError struct {
	Received, Declared ident.Tokens
}

func (e *LengthMismatchError) Error() string {
	return fmt.Sprintf("%d tokens came of an answer of %d", e.Received, e.Declared)
}

// ResponseMismatchError is an answer to another request.
type ResponseMismatchError struct {
	Want, Got ident.RequestID
}

func (e *ResponseMismatchError) Error() string {
	return fmt.Sprintf("an answer to request %s came for request %s", e.Got, e.Want)
}

// VersionMismatchError is a picked engine of another version than the one that started the answer.
type VersionMismatchError struct {
	Want, Got ident.VersionID
}

func (e *VersionMismatchError) Error() string {
	return fmt.Sprintf("version %s can't resume an answer of version %s", e.Got, e.Want)
}

// TimeoutError is an engine that was silent for too long.
type TimeoutError struct {
	After time.Duration
	// BeforeFirstToken is true if not even the first token came.
	BeforeFirstToken bool
}

func (e *TimeoutError) Error() string {
	if e.BeforeFirstToken {
		return fmt.Sprintf("no first token within %v", e.After)
	}
	return fmt.Sprintf("no further token within %v", e.After)
}

// emitError is a chunk that the caller did not take.
type emitError struct {
	err error
}

func (e *emitError) Error() string { return "the caller did not take the answer: " + e.err.Error() }

func (e *emitError) Unwrap() error { return e.err }

// silentError is the cause of an attempt that the watchdog ended.
type silentError struct {
	after time.Duration
}

func (e *silentError) Error() string { return "the engine is silent" }
