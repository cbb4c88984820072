// Package guard defines the invariants of the system and reports violations of them. The checks are always compiled in:
// a violation is logged and counted, and in a test binary it panics.
package guard

import (
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"
)

// Invariant is the name of a condition that must always hold.
type Invariant string

// Invariants of the system. docs/INVARIANTS.md lists the check and the test of each.
const (
	// CacheFresh: a request never relies on cached blocks of a dead engine, of another organisation or of older weights.
	CacheFresh Invariant = "cacheFresh"
	// StreamWhole: every stream reaches the caller complete and in order.
	StreamWhole Invariant = "streamWhole"
	// WarmRestart: a restarted daemon accepts requests only after it has loaded a snapshot of the state.
	WarmRestart Invariant = "warmRestart"
	// OrganisationIsolated: except on open routes, a request runs only for the organisation of its key.
	OrganisationIsolated Invariant = "organisationIsolated"
	// KeyStripped: no caller's key is forwarded to an upstream.
	KeyStripped Invariant = "keyStripped"
	// KeyWithdrawn: a withdrawn key is rejected within seconds.
	KeyWithdrawn Invariant = "keyWithdrawn"
	// RateBound: no organisation exceeds its rate and burst across all daemons together.
	RateBound Invariant = "rateBound"
	// MoveExposure: during a move, a faulty version gets only a small share of traffic, and none soon after its fault shows.
	MoveExposure Invariant = "moveExposure"
	// AnswerOwned: each caller gets the complete response to its own request, and no other.
	AnswerOwned Invariant = "answerOwned"
	// NotRunTrue: a request that is rejected as "not run" has not run.
	NotRunTrue Invariant = "notRunTrue"
	// AtMostOnce: a non-idempotent request runs at most once.
	AtMostOnce Invariant = "atMostOnce"
	// UpstreamLeft: a leaving upstream gets no new requests after a few seconds.
	UpstreamLeft Invariant = "upstreamLeft"
	// ShutdownClean: a graceful shutdown interrupts no request.
	ShutdownClean Invariant = "shutdownClean"
	// ConfigMonotonic: a daemon never goes back to an older configuration.
	ConfigMonotonic Invariant = "configMonotonic"
)

// ViolationError describes a violation of an invariant.
type ViolationError struct {
	Invariant Invariant
	Detail    string
}

func (v *ViolationError) Error() string {
	return fmt.Sprintf("invariant %s violated: %s", v.Invariant, v.Detail)
}

// captureFunc receives violations if it is set; see Capture.
var captureFunc atomic.Pointer[func(*ViolationError)]

// Check reports a violation of the invariant unless ok. The formatted detail must contain no prompt text and no keys. Check
// returns ok, so that the calling code can abort the operation.
func Check(ok bool, invariant Invariant, format string, args ...any) bool {
	if !ok {
		report(&ViolationError{Invariant: invariant, Detail: fmt.Sprintf(format, args...)})
	}
	return ok
}

// Capture passes violations to f, instead of a panic, until the returned function is called. It is for tests that provoke a
// violation.
func Capture(f func(*ViolationError)) (restore func()) {
	captureFunc.Store(&f)
	return func() { captureFunc.Store(nil) }
}

func report(v *ViolationError) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`gooseberrywayInvariantViolations{invariant=%q}`, v.Invariant)).Inc()
	klog.ErrorS(v, "Invariant violated", "invariant", v.Invariant)
	if f := captureFunc.Load(); f != nil {
		(*f)(v)
		return
	}
	if testing.Testing() {
		panic(v)
	}
}
