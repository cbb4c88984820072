package claim

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// streamTail is what is known of the end of the claims stream.
type streamTail struct {
	// maxOffset is the highest offset seen.
	maxOffset atomic.Uint64
	samples   atomic.Pointer[[]tailSample]
}

// tailSample is the offset at which the stream ended at a time.
type tailSample struct {
	at   time.Time
	tail ident.Offset
}

// advance raises maxOffset to the offset, if that is higher.
func (t *streamTail) advance(offset ident.Offset) {
	for {
		old := t.maxOffset.Load()
		if uint64(offset) <= old || t.maxOffset.CompareAndSwap(old, uint64(offset)) {
			return
		}
	}
}

// appendBatch repeats the append of a batch until the batch is known to be in the stream. It returns false when
// shouldRetry returns false after a failure or the claimer closes. addMore, which may be nil, adds records to the
// batch before a retry; it is not called once an append had an unknown outcome, as the batch may then be in the
// stream.
func (c *Claimer) appendBatch(batch *wire.ClaimBatch, addMore func(*wire.ClaimBatch), shouldRetry func() bool) bool {
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.InitialInterval, retryBackoff.MaxInterval = appendBackoffMin, appendBackoffMax
	from := ident.Offset(c.tail.maxOffset.Load()) + 1
	maybeAppended := false
	for {
		err := c.appendOnce(batch)
		if err == nil {
			return true
		}
		if !appendRefused(err) {
			maybeAppended = true
			if c.streamContains(from, batch.GetRecordId()) {
				return true
			}
		}
		if !c.sleep(retryBackoff.NextBackOff()) || !shouldRetry() {
			return false
		}
		if !maybeAppended && addMore != nil {
			addMore(batch)
		}
	}
}

func (c *Claimer) appendOnce(batch *wire.ClaimBatch) error {
	payload, err := proto.Marshal(batch)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.scope.Context(), appendTimeout)
	defer cancel()
	offset, err := c.Log.Append(ctx, extern.StreamClaims, payload)
	if err == nil {
		c.tail.advance(offset)
	}
	return err
}

// appendRefused reports whether a failed append certainly had no effect.
func appendRefused(err error) bool {
	logErr := &extern.LogError{}
	return errors.As(err, &logErr) && logErr.Kind == extern.LogRefused
}

// streamContains reports whether the stream has the record at the offset from or later; false when it can't be read.
func (c *Claimer) streamContains(from ident.Offset, recordID string) bool {
	found := false
	err := c.readBatches(from, func(batch *wire.ClaimBatch) {
		found = found || batch.GetRecordId() == recordID
	})
	return err == nil && found
}

// readBatches calls f for each batch from the offset on, or from the oldest one that the log still has, up to a tail
// that was read after the call began.
func (c *Claimer) readBatches(from ident.Offset, f func(*wire.ClaimBatch)) error {
	for {
		page, err := c.readPage(from, readPageRecords)
		if offsetExpired(err) {
			page, err = c.readFromOldest()
		}
		if err != nil {
			return err
		}
		for _, entry := range page.Entries {
			from = entry.Offset + 1
			batch := &wire.ClaimBatch{}
			if decodeErr := proto.Unmarshal(entry.Payload, batch); decodeErr != nil {
				klog.ErrorS(decodeErr, "Claims record can't be decoded", "offset", entry.Offset)
				continue
			}
			f(batch)
		}
		c.tail.advance(page.Tail)
		if from > page.Tail || len(page.Entries) == 0 {
			return nil
		}
	}
}

func (c *Claimer) readPage(from ident.Offset, limit int) (extern.LogBatch, error) {
	ctx, cancel := context.WithTimeout(c.scope.Context(), appendTimeout)
	defer cancel()
	return c.Log.Read(ctx, extern.StreamClaims, from, limit)
}

// readFromOldest reads a page from the oldest record that the log still has.
func (c *Claimer) readFromOldest() (extern.LogBatch, error) {
	bounds, err := c.readPage(ident.Offset(c.tail.maxOffset.Load())+1, 1)
	if offsetExpired(err) {
		bounds, err = c.readPage(offsetBeyondEnd, 1)
	}
	if err != nil {
		return extern.LogBatch{}, err
	}
	c.tail.advance(bounds.Tail)
	return c.readPage(bounds.First, readPageRecords)
}

// offsetExpired reports whether a read failed because the log no longer has the offset.
func offsetExpired(err error) bool {
	logErr := &extern.LogError{}
	return errors.As(err, &logErr) && logErr.Kind == extern.LogExpired
}

// sampleTailLoop samples the tail of the stream and expires copies every tailSampleInterval.
func (c *Claimer) sampleTailLoop() {
	for {
		c.sampleTail()
		c.backupStore.expire(time.Now().Add(-c.retention()))
		if !c.sleep(tailSampleInterval) {
			return
		}
	}
}

// sampleTail adds a sample of the tail and removes those that no replay needs any more.
func (c *Claimer) sampleTail() {
	now := time.Now()
	page, err := c.readPage(ident.Offset(c.tail.maxOffset.Load())+1, 1)
	if err != nil {
		return
	}
	c.tail.advance(page.Tail)
	samples := []tailSample{}
	if old := c.tail.samples.Load(); old != nil {
		samples = append(samples, *old...)
	}
	samples = append(samples, tailSample{at: now, tail: page.Tail})
	cutoff := now.Add(-replayRetentions * c.retention())
	for len(samples) > 1 && samples[1].at.Before(cutoff) {
		samples = samples[1:]
	}
	c.tail.samples.Store(&samples)
}

// replayStartOffset returns an offset that is not after any record of the last replayRetentions retentions; 1, the
// start of the stream, when the samples do not go back so far.
func (c *Claimer) replayStartOffset(now time.Time) ident.Offset {
	samples := c.tail.samples.Load()
	cutoff := now.Add(-replayRetentions * c.retention())
	if samples == nil || (*samples)[0].at.After(cutoff) {
		return 1
	}
	return (*samples)[0].tail + 1
}
