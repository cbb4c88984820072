package serve

import (
	"fmt"
	"time"
)

// Code says why a request was refused or failed.
type Code string

// Codes of refusals and failures. docs/operators/refusals.md explains each.
const (
	CodeInvalidRequest       Code = "invalidRequest"
	CodeBodyTooLarge         Code = "bodyTooLarge"
	CodeKeyMissing           Code = "keyMissing"
	CodeKeyInvalid           Code = "keyInvalid"
	CodeKeyWithdrawn         Code = "keyWithdrawn"
	CodeOrganisationDisabled Code = "organisationDisabled"
	CodeRouteNotFound        Code = "routeNotFound"
	CodeModelNotFound        Code = "modelNotFound"
	CodeRateLimited          Code = "rateLimited"
	CodeCostAboveBurst       Code = "costAboveBurst"
	CodeNoLease              Code = "noLease"
	CodeDraining             Code = "draining"
	CodeLimitsUnavailable    Code = "limitsUnavailable"
	CodeClaimUnavailable     Code = "claimUnavailable"
	CodeAlreadyRan           Code = "alreadyRan"
	CodeKeyReused            Code = "idempotencyKeyReused"
	CodeNoUpstream           Code = "noUpstream"
	CodeUpstreamFailed       Code = "upstreamFailed"
	CodeOverloaded           Code = "overloaded"
	CodeTimeout              Code = "timeout"
	CodeCancelled            Code = "cancelled"
)

// RunStatus says whether a request may have run.
type RunStatus int

// Values of RunStatus.
const (
	// NotRun means that the request did not run on any upstream.
	NotRun RunStatus = iota
	// MayHaveRun means that the request reached an upstream and its outcome is unknown.
	MayHaveRun
	// HasRun means that the request ran, at least in part.
	HasRun
)

// Error is a refused or failed request.
type Error struct {
	Code      Code
	RunStatus RunStatus
	// Message is one sentence for the caller.
	Message string
	// RetryAfter is how long to wait before a retry; 0 if a retry makes no sense.
	RetryAfter time.Duration
	Err        error
}

func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s: %s", e.Code, e.Message)
	}
	return fmt.Sprintf("%s: %s: %v", e.Code, e.Message, e.Err)
}

func (e *Error) Unwrap() error { return e.Err }
