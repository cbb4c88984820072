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

// tail is what is known of the end of the claims stream.
type tail struct {
	// newest is the highest offset seen.
	newest  atomic.Uint64
	samples atomic.Pointer[[]sample]
}

// sample says that the stream ended at the offset at the time.
type sample struct {
	at  time.Time
	end ident.Offset
}

func (t *tail) saw(offset ident.Offset) {
	for {
		old := t.newest.Load()
		if uint64(offset) <= old || t.newest.CompareAndSwap(old, uint64(offset)) {
			return
		}
	}
}

// appendBatch appends a batch until it is known to be in the stream; false when keep returns false or the claimer closes.
// more adds to a batch that was not appended yet; nil for none.
func (c *Claimer) appendBatch(batch *wire.ClaimBatch, more func(*wire.ClaimBatch), keep func() bool) bool {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = appendBackoffMin, appendBackoffMax
	from := ident.Offset(c.tail.newest.Load()) + 1
	fixed := false
	for {
		err := c.appendOnce(batch)
		if err == nil {
			return true
		}
		if !refused(err) {
			fixed = true
			if c.contains(from, batch.GetRecordId()) {
				return true
			}
		}
		if !c.sleep(pause.NextBackOff()) || !keep() {
			return false
		}
		if !fixed && more != nil {
			more(batch)
		}
	}
}

func (c *Claimer) appendOnce(batch *wire.ClaimBatch) error {
	payload, err := proto.Marshal(batch)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.life.Context(), appendTimeout)
	defer cancel()
	offset, err := c.Log.Append(ctx, extern.StreamClaims, payload)
	if err == nil {
		c.tail.saw(offset)
	}
	return err
}

// refused tells whether an append certainly had no effect.
func refused(err error) bool {
	failed := &extern.LogError{}
	return errors.As(err, &failed) && failed.Kind == extern.LogRefused
}

// contains reads the stream from the offset on and tells whether the record is in it.
func (c *Claimer) contains(from ident.Offset, recordID string) bool {
	found := false
	err := c.read(from, func(batch *wire.ClaimBatch) {
		found = found || batch.GetRecordId() == recordID
	})
	return err == nil && found
}

// read calls f with each batch from the offset on, or from the oldest one kept, up to the end of the stream as of a
// read that started after the call.
func (c *Claimer) read(from ident.Offset, f func(*wire.ClaimBatch)) error {
	for {
		entries, err := c.readOnce(from, readEntries)
		if expired(err) {
			entries, err = c.readOldest()
		}
		if err != nil {
			return err
		}
		for _, entry := range entries.Entries {
			from = entry.Offset + 1
			batch := &wire.ClaimBatch{}
			if decodeErr := proto.Unmarshal(entry.Payload, batch); decodeErr != nil {
				klog.ErrorS(decodeErr, "Claims record can't be decoded", "offset", entry.Offset)
				continue
			}
			f(batch)
		}
		c.tail.saw(entries.Tail)
		if from > entries.Tail || len(entries.Entries) == 0 {
			return nil
		}
	}
}

func (c *Claimer) readOnce(from ident.Offset, limit int) (extern.LogBatch, error) {
	ctx, cancel := context.WithTimeout(c.life.Context(), appendTimeout)
	defer cancel()
	return c.Log.Read(ctx, extern.StreamClaims, from, limit)
}

// readOldest reads from the oldest record kept.
func (c *Claimer) readOldest() (extern.LogBatch, error) {
	bounds, err := c.readOnce(ident.Offset(c.tail.newest.Load())+1, 1)
	if expired(err) {
		bounds, err = c.readOnce(farOffset, 1)
	}
	if err != nil {
		return extern.LogBatch{}, err
	}
	c.tail.saw(bounds.Tail)
	return c.readOnce(bounds.First, readEntries)
}

func expired(err error) bool {
	failed := &extern.LogError{}
	return errors.As(err, &failed) && failed.Kind == extern.LogExpired
}

// sample notes the end of the stream from time to time.
func (c *Claimer) sample() {
	for {
		c.sampleOnce()
		c.covers.forget(time.Now().Add(-c.window()))
		if !c.sleep(sampleInterval) {
			return
		}
	}
}

func (c *Claimer) sampleOnce() {
	now := time.Now()
	entries, err := c.readOnce(ident.Offset(c.tail.newest.Load())+1, 1)
	if err != nil {
		return
	}
	c.tail.saw(entries.Tail)
	kept := []sample{}
	if old := c.tail.samples.Load(); old != nil {
		kept = append(kept, *old...)
	}
	kept = append(kept, sample{at: now, end: entries.Tail})
	limit := now.Add(-replayWindows * c.window())
	for len(kept) > 1 && kept[1].at.Before(limit) {
		kept = kept[1:]
	}
	c.tail.samples.Store(&kept)
}

// replayStart returns an offset that all records of the last windows come after.
func (c *Claimer) replayStart(now time.Time) ident.Offset {
	samples := c.tail.samples.Load()
	limit := now.Add(-replayWindows * c.window())
	if samples == nil || (*samples)[0].at.After(limit) {
		return 1
	}
	return (*samples)[0].end + 1
}
