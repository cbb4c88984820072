package replay

import (
	"context"
	"crypto/rand"
	"errors"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"google.golang.org/protobuf/proto"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Writer appends records to the control stream and returns their outcome. Its fields must be set before use.
type Writer struct {
	Log      extern.Log
	Follower *Follower
	// Timeout bounds a Write whose context has no deadline; 0 means 10 s.
	Timeout time.Duration
	// AppendInterval is the mean time between appends; 0 means 25 ms. A burst of 8 appends is allowed.
	AppendInterval time.Duration

	pacer pacer
}

// NewRecordID returns a random, unique record id.
func NewRecordID() ident.RecordID { return ident.RecordID(rand.Text()) }

// Write appends the record and returns its result once this daemon has applied it. If the response of the log service
// is lost, Write waits until the record is read back from the log, and may append the record again. Duplicates are
// harmless: at most one copy takes effect, and the result is that of the first.
//
// The error is a *config.ConflictError with the conflicting node, a *config.InvalidError, an *UnavailableError if the
// record was never appended, or an *OutcomeUnknownError.
func (w *Writer) Write(ctx context.Context, rec *wire.Record) (Result, error) {
	if err := w.validate(rec); err != nil {
		return Result{}, err
	}
	stamped, ok := proto.Clone(rec).(*wire.Record)
	if !ok {
		return Result{}, &config.InvalidError{Path: ident.Path(rec.GetPath()), Reason: "the record can't be copied"}
	}
	stamped.InForceOffset = uint64(w.Follower.InForce().Offset())
	payload, err := proto.Marshal(stamped)
	if err != nil {
		return Result{}, &config.InvalidError{Path: ident.Path(rec.GetPath()), Reason: err.Error()}
	}
	ctx, cancel := w.withDefaultTimeout(ctx)
	defer cancel()
	a := &attempt{writer: w, id: ident.RecordID(rec.GetRecordId()), payload: payload}
	result, err := a.run(ctx)
	if err != nil {
		return result, err
	}
	return result, result.Err
}

// validate rejects records that can't take effect, so that they are not appended. It returns a *config.ConflictError or
// a *config.InvalidError. A record whose outcome is known passes, because Write returns that outcome.
func (w *Writer) validate(rec *wire.Record) error {
	if rec.GetCheckpointMark() != nil {
		return nil
	}
	path := ident.Path(rec.GetPath())
	if rec.GetRecordId() == "" {
		return &config.InvalidError{Path: path, Reason: "the record has no id"}
	}
	if _, known := w.Follower.Outcome(ident.RecordID(rec.GetRecordId())); known {
		return nil
	}
	state := w.Follower.State()
	base, current := ident.Offset(rec.GetBaseRevision()), state.Revision(path)
	if base < current {
		return &config.ConflictError{Path: path, BaseRevision: base, CurrentRevision: current, CurrentNode: state.Node(path)}
	}
	if rec.GetDeleted() {
		return nil
	}
	entity, err := config.EntityFromRecord(rec)
	if err != nil {
		return err
	}
	return config.Check(entity)
}

// withDefaultTimeout adds the timeout to ctx unless ctx has a deadline.
func (w *Writer) withDefaultTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, hasDeadline := ctx.Deadline(); hasDeadline {
		return ctx, func() {}
	}
	timeout := w.Timeout
	if timeout == 0 {
		timeout = defaultWriteTimeout
	}
	return context.WithTimeout(ctx, timeout)
}

// attempt is the write of one record, including its retries.
type attempt struct {
	writer  *Writer
	id      ident.RecordID
	payload []byte
	// maybeAppended is true once a copy of the record may have been appended.
	maybeAppended bool
	// offset is the offset of an appended copy, 0 if none is known.
	offset ident.Offset
	// lastErr is the error of the last failed append.
	lastErr error
}

func (a *attempt) run(ctx context.Context) (Result, error) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = minWriteBackoff, maxWriteBackoff
	for {
		if result, ok := a.writer.Follower.Outcome(a.id); ok {
			return result, nil
		}
		if a.offset == 0 && a.mayAppend(ctx) {
			a.append(ctx)
		}
		if result, ok := a.awaitResult(ctx, retry.NextBackOff()); ok {
			return result, nil
		}
		if ctx.Err() != nil {
			return Result{Offset: a.offset}, a.finalError(ctx.Err())
		}
	}
}

// mayAppend reports whether there is time for an append; the first is always made.
func (a *attempt) mayAppend(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return !ok || a.lastErr == nil || time.Until(deadline) >= minAppendTime
}

// append makes one append call to the log service. It cancels the call when the record is read back from the log.
func (a *attempt) append(ctx context.Context) {
	if err := a.writer.pacer.wait(ctx, a.writer.AppendInterval); err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	var watcher sync.WaitGroup
	defer watcher.Wait()
	defer cancel()
	watcher.Go(func() {
		_ = a.writer.Follower.waitUntil(ctx, a.isApplied)
		cancel()
	})
	offset, err := a.writer.Log.Append(ctx, extern.StreamControl, a.payload)
	countAppends.Inc()
	if err == nil {
		a.offset, a.maybeAppended = offset, true
		return
	}
	countAppendFailures.Inc()
	a.lastErr = err
	var logErr *extern.LogError
	if !errors.As(err, &logErr) || logErr.Kind != extern.LogRefused {
		a.maybeAppended = true
	}
}

// isApplied reports whether the record has been read back from the log and applied.
func (a *attempt) isApplied() bool {
	_, known := a.writer.Follower.Outcome(a.id)
	return known
}

// awaitResult waits until the record is read back and applied, for at most the pause before the next append.
func (a *attempt) awaitResult(ctx context.Context, pause time.Duration) (Result, bool) {
	ctx, cancel := context.WithTimeout(ctx, pause)
	defer cancel()
	follower := a.writer.Follower
	if a.maybeAppended {
		follower.TriggerRead()
	}
	var result Result
	var known bool
	err := follower.waitUntil(ctx, func() bool {
		result, known = follower.Outcome(a.id)
		return known
	})
	return result, err == nil
}

// finalError returns an *OutcomeUnknownError if a copy of the record may have been appended, else an
// *UnavailableError.
func (a *attempt) finalError(cause error) error {
	if a.lastErr == nil {
		a.lastErr = cause
	}
	if a.maybeAppended {
		return &OutcomeUnknownError{Record: a.id, Offset: a.offset, Err: a.lastErr}
	}
	return &UnavailableError{Record: a.id, RetryAfter: maxWriteBackoff, Err: a.lastErr}
}
