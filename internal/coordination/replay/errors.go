package replay

import (
	"fmt"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// UnavailableError reports that a record was not appended and never will be, because the log service rejected all
// appends until the deadline.
type UnavailableError struct {
	Record ident.RecordID
	// RetryAfter is how long to wait before the next try.
	RetryAfter time.Duration
	Err        error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("the log service did not take record %s: %v", e.Record, e.Err)
}

func (e *UnavailableError) Unwrap() error { return e.Err }

// OutcomeUnknownError reports that a record may have been appended or may still be appended later. A caller may write
// the same record again, or look up its outcome by its id.
type OutcomeUnknownError struct {
	Record ident.RecordID
	// Offset is the offset of the record if the log service returned it, else 0.
	Offset ident.Offset
	Err    error
}

func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("the outcome of record %s is not known yet: %v", e.Record, e.Err)
}

func (e *OutcomeUnknownError) Unwrap() error { return e.Err }

// RelayError reports that the records or the snapshot of another daemon can't be applied to this daemon's state.
type RelayError struct {
	Daemon ident.DaemonID
	Reason string
}

func (e *RelayError) Error() string { return fmt.Sprintf("relay from %s: %s", e.Daemon, e.Reason) }

// NoCheckpointError reports that the log no longer holds the record that follows the applied state, and that no
// complete checkpoint could be loaded. State is the applied offset, First is the oldest offset in the log.
type NoCheckpointError struct {
	State, First ident.Offset
}

func (e *NoCheckpointError) Error() string {
	return fmt.Sprintf("the log starts at offset %d, the applied state is at offset %d and no complete checkpoint was found", e.First, e.State)
}

// Result is the outcome of a record when it was applied.
type Result struct {
	Offset ident.Offset
	// Err is nil if the record changed the state, else a *config.ConflictError or a *config.InvalidError.
	Err error
}

var (
	_ error = (*config.ConflictError)(nil)
	_ error = (*config.InvalidError)(nil)
)

// StaleTailError reports a read of the log whose tail is below the applied offset. The read comes from a copy of the
// log that lags, so it does not show that there are no newer records.
type StaleTailError struct {
	Tail, Applied ident.Offset
}

func (e *StaleTailError) Error() string {
	return fmt.Sprintf("stale read of the log: its tail is at offset %d, but offset %d is already applied", e.Tail, e.Applied)
}
