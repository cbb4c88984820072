// Package extern defines the interfaces to systems outside of this project: the platform's log service, store, VM list and
// weight store, the upstreams and the KV cache stores. Packages platform and internal/transport implement them.
package extern

import (
	"context"
	"fmt"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Stream is the name of a stream of the log service.
type Stream string

// Streams of the log service.
const (
	// StreamControl holds changes of the configuration, members and moves in one total order.
	StreamControl Stream = "control"
	// StreamClaims holds claims of idempotency keys.
	StreamClaims Stream = "claims"
	// StreamCheckpoints holds checkpoints of the control stream.
	StreamCheckpoints Stream = "checkpoints"
)

// Log is the platform's append-only log service. It accepts several hundred appends per second, retains records for a limited
// time and has outages.
type Log interface {
	// Append appends a payload to the stream and returns its offset. The error is a *LogError; unless its kind is LogRefused,
	// the payload may have been appended nevertheless.
	Append(ctx context.Context, stream Stream, payload []byte) (ident.Offset, error)
	// Read returns up to limit entries from the given offset on and the bounds of the stream at the start of the call. The
	// error is a *LogError.
	Read(ctx context.Context, stream Stream, from ident.Offset, limit int) (LogBatch, error)
}

// LogEntry is one record of a stream.
type LogEntry struct {
	Offset  ident.Offset
	Payload []byte
}

// LogBatch is the response to a read.
type LogBatch struct {
	Entries []LogEntry
	// First is the oldest retained offset and Tail the newest; both are 0 if the stream is empty.
	First, Tail ident.Offset
}

// LogErrorKind classifies failed calls to the log service.
type LogErrorKind string

// Kinds of failed calls to the log service.
const (
	// LogRefused: the call had no effect, for example because the append rate was exceeded.
	LogRefused LogErrorKind = "refused"
	// LogUnknown: the response was lost; an append may have taken effect or may still do so.
	LogUnknown LogErrorKind = "unknown"
	// LogExpired: the requested offset is older than the oldest retained record.
	LogExpired LogErrorKind = "expired"
)

// LogError is a failed call to the log service.
type LogError struct {
	Kind   LogErrorKind
	Stream Stream
	// Err is the cause; nil for LogExpired.
	Err error
}

func (e *LogError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("log stream %s: %s", e.Stream, e.Kind)
	}
	return fmt.Sprintf("log stream %s: %s: %v", e.Stream, e.Kind, e.Err)
}

func (e *LogError) Unwrap() error { return e.Err }
