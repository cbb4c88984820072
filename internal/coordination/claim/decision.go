package claim

import (
	"fmt"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Decision is the result of a claim: Granted, Answered, Ran or Mismatch.
type Decision interface{ decision() }

// Granted allows the daemon that claimed the key to run the request once. The daemon must call Finish afterwards.
type Granted struct{}

// Answered says that the key was claimed before by the same request; Answer is the stored response.
type Answered struct{ Answer *wire.KeptAnswer }

// Ran says that the key was claimed before by the same request, and no answer is stored: the request ran, is running
// or may have run.
type Ran struct{}

// Mismatch says that the key was claimed before with another request body.
type Mismatch struct{}

func (Granted) decision()  {}
func (Answered) decision() {}
func (Ran) decision()      {}
func (Mismatch) decision() {}

// UnavailableError reports that a claim could not be decided. The request was not run for this claim and must not
// run.
type UnavailableError struct {
	Slice Slice
	Owner ident.DaemonID
	// RetryAfter is how long to wait before another try.
	RetryAfter time.Duration
	// Err is the cause; nil when the owner refused or no owner is known.
	Err error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("claim in slice %d at %q could not be decided, retry after %v", e.Slice, e.Owner, e.RetryAfter)
}

func (e *UnavailableError) Unwrap() error { return e.Err }
