package claim

import (
	"fmt"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Decision is the answer to a claim: Granted, Answered, Ran or Mismatch.
type Decision interface{ decision() }

// Granted lets the asker run the request, once. It must call Finish afterwards.
type Granted struct{}

// Answered says that the request was claimed before and carries its answer.
type Answered struct{ Answer *wire.KeptAnswer }

// Ran says that the request was claimed before: it ran, is running or may have run.
type Ran struct{}

// Mismatch says that the idempotency key was used for another request.
type Mismatch struct{}

func (Granted) decision()  {}
func (Answered) decision() {}
func (Ran) decision()      {}
func (Mismatch) decision() {}

// UnavailableError reports that a claim could not be decided. The request was not run on behalf of this claim.
type UnavailableError struct {
	Slice Slice
	Owner ident.DaemonID
	// RetryAfter is when to try again.
	RetryAfter time.Duration
	// Err is the cause; nil when the owner refused.
	Err error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("claim in slice %d at %q could not be decided, retry after %v", e.Slice, e.Owner, e.RetryAfter)
}

func (e *UnavailableError) Unwrap() error { return e.Err }
