package moves

import (
	"context"
	"errors"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Outcome is the result of one attempt at an engine.
type Outcome uint8

// Outcomes.
const (
	// OutcomeComplete is a complete answer.
	OutcomeComplete Outcome = iota + 1
	// OutcomeFailed is an answer that is an error, or none within the time allowed.
	OutcomeFailed
	// OutcomeTruncated is a stream that ended before its last event while the engine kept running.
	OutcomeTruncated
	// OutcomeBroken is a connection that broke while the engine answered.
	OutcomeBroken
	// OutcomeUnreachable is an engine that could not be reached.
	OutcomeUnreachable
	// OutcomeRefused is an engine that did not take the request, for example because it has lost the version.
	OutcomeRefused
	// OutcomeIgnored says nothing about the version: the caller left or the engine was overloaded.
	OutcomeIgnored
)

// Target names where a request was sent.
type Target struct {
	Model        ident.ModelID
	Route        ident.RouteID
	Version      ident.VersionID
	Organisation ident.OrganisationID
	Upstream     ident.UpstreamID
	// Resumed says that the request continues an answer that the version has begun. It may be sent after a stop.
	Resumed bool
}

// endedAttempt is the result of one attempt at one engine.
type endedAttempt struct {
	Target
	// Started is when the request was sent to the engine.
	Started time.Time
	Outcome Outcome
}

// workClass returns the class of the engine's work in tokens, so that answers are compared with those of similar
// work.
func workClass(n ident.Tokens) int {
	class := 0
	for n /= firstWorkClassTokens; n > 0 && class < workClasses-1; n /= 2 {
		class++
	}
	return class
}

// OutcomeOf returns the outcome of a call to an engine that ended with err.
func OutcomeOf(err error) Outcome {
	if err == nil {
		return OutcomeComplete
	}
	if errors.Is(err, context.Canceled) {
		return OutcomeIgnored
	}
	var up *extern.UpstreamError
	if !errors.As(err, &up) {
		return OutcomeFailed
	}
	switch up.Kind {
	case extern.UpstreamOverloaded, extern.UpstreamFenced:
		return OutcomeIgnored
	case extern.UpstreamUnreachable:
		return OutcomeUnreachable
	case extern.UpstreamBroken:
		return OutcomeBroken
	case extern.UpstreamRejected:
		if up.NotRun {
			return OutcomeRefused
		}
		return OutcomeFailed
	default:
		return OutcomeFailed
	}
}
