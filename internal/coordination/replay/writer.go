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

// Writer appends records to the control stream and tells what became of them. Its fields are set before use.
type Writer struct {
	Log      extern.Log
	Follower *Follower
	// Timeout bounds a Write whose context has no deadline; 0 is 10 s.
	Timeout time.Duration
	// AppendInterval is the mean time between appends, 0 is 25 ms; up to 8 may come at once.
	AppendInterval time.Duration

	pace pacer
}

// NewRecordID returns an id that no other record has.
func NewRecordID() ident.RecordID { return ident.RecordID(rand.Text()) }

// Write appends the record and returns its result once this daemon has applied it. An answer of the log service that
// is lost is settled by reading the record back; the record may then be appended again, which is harmless: at most
// one copy takes effect, and the result is that of the first.
//
// The error is a *config.ConflictError with the other change, a *config.InvalidError, an *UnavailableError if the
// record was never appended, or an *OutcomeUnknownError.
func (w *Writer) Write(ctx context.Context, rec *wire.Record) (Result, error) {
	if err := w.check(rec); err != nil {
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
	ctx, cancel := w.bounded(ctx)
	defer cancel()
	a := &attempt{writer: w, id: ident.RecordID(rec.GetRecordId()), payload: payload}
	result, err := a.run(ctx)
	if err != nil {
		return result, err
	}
	return result, result.Err
}

// check finds records that can't take effect, before they cost an append.
func (w *Writer) check(rec *wire.Record) error {
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
	based, current := ident.Offset(rec.GetBaseRevision()), state.Revision(path)
	if based < current {
		return &config.ConflictError{Path: path, BaseRevision: based, CurrentRevision: current, CurrentNode: state.Node(path)}
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

func (w *Writer) bounded(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, has := ctx.Deadline(); has {
		return ctx, func() {}
	}
	timeout := w.Timeout
	if timeout == 0 {
		timeout = defaultWriteTimeout
	}
	return context.WithTimeout(ctx, timeout)
}

// attempt is one record on its way into the log.
type attempt struct {
	writer  *Writer
	id      ident.RecordID
	payload []byte
	// maybe is true once a copy may have been appended, offset is that of a copy, if known.
	maybe  bool
	offset ident.Offset
	last   error
}

func (a *attempt) run(ctx context.Context) (Result, error) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = minWriteBackoff, maxWriteBackoff
	for {
		if result, ok := a.writer.Follower.Outcome(a.id); ok {
			return result, nil
		}
		if a.offset == 0 {
			a.append(ctx)
		}
		if result, ok := a.settle(ctx, retry.NextBackOff()); ok {
			return result, nil
		}
		if ctx.Err() != nil {
			return Result{Offset: a.offset}, a.giveUp(ctx.Err())
		}
	}
}

// append makes one call to the log service. It ends early when the record is read back.
func (a *attempt) append(ctx context.Context) {
	if err := a.writer.pace.wait(ctx, a.writer.AppendInterval); err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	var watch sync.WaitGroup
	defer watch.Wait()
	defer cancel()
	watch.Go(func() {
		_ = a.writer.Follower.wait(ctx, a.known)
		cancel()
	})
	offset, err := a.writer.Log.Append(ctx, extern.StreamControl, a.payload)
	countAppends.Inc()
	if err == nil {
		a.offset, a.maybe = offset, true
		return
	}
	countAppendsFailed.Inc()
	a.last = err
	var logErr *extern.LogError
	if !errors.As(err, &logErr) || logErr.Kind != extern.LogRefused {
		a.maybe = true
	}
}

// known reports whether the record has been read back.
func (a *attempt) known() bool {
	_, known := a.writer.Follower.Outcome(a.id)
	return known
}

// settle waits for the record to be read back, for as long as the next append is not due.
func (a *attempt) settle(ctx context.Context, pause time.Duration) (Result, bool) {
	ctx, cancel := context.WithTimeout(ctx, pause)
	defer cancel()
	follower := a.writer.Follower
	if a.maybe {
		follower.TriggerRead()
	}
	var result Result
	var known bool
	err := follower.wait(ctx, func() bool {
		result, known = follower.Outcome(a.id)
		return known
	})
	return result, err == nil
}

func (a *attempt) giveUp(cause error) error {
	if a.last == nil {
		a.last = cause
	}
	if a.maybe {
		return &OutcomeUnknownError{Record: a.id, Offset: a.offset, Err: a.last}
	}
	return &UnavailableError{Record: a.id, RetryAfter: maxWriteBackoff, Err: a.last}
}
