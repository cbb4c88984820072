package replay

import (
	"fmt"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// UnavailableError says that a record was not appended and never will be, because the log service took nothing
// before the deadline.
type UnavailableError struct {
	Record ident.RecordID
	// RetryAfter is when to try again.
	RetryAfter time.Duration
	Err        error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("the log service did not take record %s: %v", e.Record, e.Err)
}

func (e *UnavailableError) Unwrap() error { return e.Err }

// OutcomeUnknownError says that a record may have been appended or may still be. The same record may be written
// again, or its outcome asked for, under its id.
type OutcomeUnknownError struct {
	Record ident.RecordID
	// Offset is the offset of the record if the log service told it, else 0.
	Offset ident.Offset
	Err    error
}

func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("the outcome of record %s is not known yet: %v", e.Record, e.Err)
}

func (e *OutcomeUnknownError) Unwrap() error { return e.Err }

// RelayError says that another daemon's records can't continue this daemon's state.
type RelayError struct {
	Daemon ident.DaemonID
	Reason string
}

func (e *RelayError) Error() string { return fmt.Sprintf("relay from %s: %s", e.Daemon, e.Reason) }

// NoCheckpointError says that the log no longer holds the records after the state, nor a checkpoint to go on from.
type NoCheckpointError struct {
	State, First ident.Offset
}

func (e *NoCheckpointError) Error() string {
	return fmt.Sprintf("the log starts at %d, the state is at %d and no whole checkpoint was found", e.First, e.State)
}

// Result is what became of a record at replay.
type Result struct {
	Offset ident.Offset
	// Err is nil if the record took effect, else a *config.ConflictError or a *config.InvalidError.
	Err error
}

var (
	_ error = (*config.ConflictError)(nil)
	_ error = (*config.InvalidError)(nil)
)

// StaleTailError is a read of the log that ends before what this daemon has applied, so that it proves nothing about
// newer records.
type StaleTailError struct {
	Tail, Applied ident.Offset
}

func (e *StaleTailError) Error() string {
	return fmt.Sprintf("the log's tail is at offset %d, but offset %d was applied", e.Tail, e.Applied)
}
