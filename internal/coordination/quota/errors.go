package quota

import (
	"fmt"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Reason is why a request was refused.
type Reason string

// Reasons of refusals.
const (
	// ReasonOverRate: the organisation has used up its rate and burst.
	ReasonOverRate Reason = "overRate"
	// ReasonAboveBurst: the cost exceeds the organisation's burst and can never be admitted.
	ReasonAboveBurst Reason = "aboveBurst"
	// ReasonUnknownOrganisation: the organisation does not exist or is disabled.
	ReasonUnknownOrganisation Reason = "unknownOrganisation"
	// ReasonUnreachable: no home of the organisation answers.
	ReasonUnreachable Reason = "unreachable"
	// ReasonNotServing: this daemon holds no serving lease or is closing.
	ReasonNotServing Reason = "notServing"
	// ReasonCancelled: the context of the request ended while it waited.
	ReasonCancelled Reason = "cancelled"
)

// RefusedError reports that a request was not admitted. Nothing was charged.
type RefusedError struct {
	Organisation ident.OrganisationID
	Reason       Reason
	// RetryAfter is after how long a request of the same cost is expected to be admitted; 0 when never or not known.
	RetryAfter time.Duration
	// Err is the cause; nil for most reasons.
	Err error
}

func (e *RefusedError) Error() string {
	if e.RetryAfter == 0 {
		return fmt.Sprintf("organisation %s: not admitted: %s", e.Organisation, e.Reason)
	}
	return fmt.Sprintf("organisation %s: not admitted: %s, retry after %v", e.Organisation, e.Reason, e.RetryAfter)
}

func (e *RefusedError) Unwrap() error { return e.Err }
