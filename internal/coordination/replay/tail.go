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

// followLog reads the log until ctx is done. When a read fails, it also triggers a relay from another daemon.
func (f *Follower) followLog(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		err := f.readTail(ctx)
		if err != nil && ctx.Err() == nil {
			failures++
			countReadFailures.Inc()
			logReadFailure(failures, err)
			f.relayRequested.raise()
		}
		if err == nil {
			failures = 0
		}
		f.waitForNextRead(ctx, failures)
	}
}

// waitForNextRead waits until the next read is due or requested.
func (f *Follower) waitForNextRead(ctx context.Context, failures int) {
	timer := time.NewTimer(jittered(f.readInterval(failures)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.readRequested.c:
	case <-ctx.Done():
	}
}

// readInterval returns the time between two reads. It grows with the number of members, so that the rate of reads by
// all daemons together stays bounded. While the lease depends on reads it is at most urgentPollInterval. After failures
// it backs off exponentially up to maxReadBackoff.
func (f *Follower) readInterval(failures int) time.Duration {
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
		interval = min(interval<<min(failures, maxBackoffDoublings), maxReadBackoff)
	}
	return interval
}

// jittered returns a random duration between 0.8 d and 1.2 d.
func jittered(d time.Duration) time.Duration {
	return d - d/5 + rand.N(2*d/5+1)
}

func logReadFailure(failures int, err error) {
	if failures == 1 || failures%failuresPerLogLine == 0 {
		klog.ErrorS(err, "Reading the control stream failed", "failures", failures)
	}
}

// readTail reads and applies records until the tail is reached.
func (f *Follower) readTail(ctx context.Context) error {
	for {
		reached, err := f.readOnce(ctx)
		if err != nil || reached {
			return err
		}
	}
}

// readOnce reads and applies one batch and reports whether the tail was reached. If the log no longer holds the next
// record, it loads a checkpoint instead. It returns a *StaleTailError if the tail is below the applied offset.
func (f *Follower) readOnce(ctx context.Context) (reached bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	from := f.State().Offset() + 1
	started := time.Now()
	batch, err := f.Log.Read(ctx, extern.StreamControl, from, maxReadRecords)
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
		f.lastTailRead.Store(&tailRead{started: started, first: batch.First, tail: batch.Tail})
		f.markBootstrapped()
	}
	if reached || applied {
		f.notifyChange()
	}
	return reached, nil
}

func isExpired(err error) bool {
	var logErr *extern.LogError
	return errors.As(err, &logErr) && logErr.Kind == extern.LogExpired
}

// decodeEntries decodes the payloads of log entries. A payload that can't be decoded becomes an empty record, which
// every daemon rejects as invalid when it applies it.
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

// streamBounds returns the oldest and the newest offset of the stream.
func (f *Follower) streamBounds(ctx context.Context, stream extern.Stream) (first, tail ident.Offset, err error) {
	batch, err := f.Log.Read(ctx, stream, offsetBeyondTail, 1)
	return batch.First, batch.Tail, err
}
