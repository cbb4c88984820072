package replay

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// followLog reads the log until ctx ends.
func (f *Follower) followLog(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		err := f.readTail(ctx)
		if err != nil && ctx.Err() == nil {
			failures++
			countReadFailures.Inc()
			logReadFailure(failures, err)
			f.hinted.raise()
		}
		if err == nil {
			failures = 0
		}
		f.pause(ctx, failures)
	}
}

// pause waits until the next read is due or asked for.
func (f *Follower) pause(ctx context.Context, failures int) {
	timer := time.NewTimer(jittered(f.interval(failures)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.kick.c:
	case <-ctx.Done():
	}
}

// interval returns the time between two reads. It grows with the fleet, so that the reads of all daemons together
// stay bounded, unless the lease depends on them.
func (f *Follower) interval(failures int) time.Duration {
	shortest := f.PollInterval
	if shortest == 0 {
		shortest = defaultPollInterval
	}
	rate := f.ReadsPerSecond
	if rate == 0 {
		rate = defaultReadsPerSecond
	}
	interval := max(shortest, time.Duration(len(f.State().Members()))*time.Second/time.Duration(rate))
	if f.LeaseNeedsReads != nil && f.LeaseNeedsReads() {
		interval = min(interval, urgentPollInterval)
	}
	if failures > 0 {
		interval = min(interval<<min(failures, maxReadShift), maxReadBackoff)
	}
	return interval
}

// jittered returns a time within a fifth of d.
func jittered(d time.Duration) time.Duration {
	return d - d/5 + rand.N(2*d/5+1)
}

func logReadFailure(failures int, err error) {
	if failures == 1 || failures%logEvery == 0 {
		klog.ErrorS(err, "Reading the control stream failed", "failures", failures)
	}
}

// readTail reads until the tail is reached.
func (f *Follower) readTail(ctx context.Context) error {
	for {
		reached, err := f.readOnce(ctx)
		if err != nil || reached {
			return err
		}
	}
}

func (f *Follower) readOnce(ctx context.Context) (reached bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	from := f.State().Offset() + 1
	started := time.Now()
	batch, err := f.Log.Read(ctx, extern.StreamControl, from, readLimit)
	if isExpired(err) || (err == nil && batch.First > from) {
		return false, f.loadCheckpoint(ctx)
	}
	if err != nil {
		return false, err
	}
	if batch.Tail < from-1 {
		return false, &StaleTailError{Tail: batch.Tail, Applied: from - 1}
	}
	applied := f.apply(decodeEntries(batch.Entries))
	reached = f.State().Offset() >= batch.Tail
	if !reached && !applied && len(batch.Entries) == 0 {
		return false, &extern.LogError{Kind: extern.LogRefused, Stream: extern.StreamControl}
	}
	if reached {
		f.tail.Store(&tailRead{started: started, first: batch.First, tail: batch.Tail})
		f.warmed()
	}
	if reached || applied {
		f.notify()
	}
	return reached, nil
}

func isExpired(err error) bool {
	var logErr *extern.LogError
	return errors.As(err, &logErr) && logErr.Kind == extern.LogExpired
}

// decodeEntries decodes payloads. One that can't be decoded becomes an empty record, which every replay
// finds invalid.
func decodeEntries(raw []extern.LogEntry) []*wire.LogEntry {
	entries := make([]*wire.LogEntry, 0, len(raw))
	for _, entry := range raw {
		rec := &wire.Record{}
		if err := proto.Unmarshal(entry.Payload, rec); err != nil {
			klog.ErrorS(err, "Record can't be decoded", "offset", entry.Offset)
			rec = &wire.Record{}
		}
		entries = append(entries, &wire.LogEntry{Offset: uint64(entry.Offset), Record: rec})
	}
	return entries
}

// bounds returns the oldest and the newest offset of a stream.
func (f *Follower) bounds(ctx context.Context, stream extern.Stream) (first, tail ident.Offset, err error) {
	batch, err := f.Log.Read(ctx, stream, beyondTail, 1)
	return batch.First, batch.Tail, err
}
