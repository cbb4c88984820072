package replay

import (
	"context"
	"crypto/rand"
	mathrand "math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/scope"
)

// Checkpointer writes a checkpoint well before the log service deletes records that a starting daemon still needs.
// Every daemon runs one. A random delay makes it rare that two daemons write at the same time, which is harmless.
// Its fields must be set before Run.
type Checkpointer struct {
	Self     ident.DaemonID
	Log      extern.Log
	Follower *Follower
	Writer   *Writer
	// RecordsPerCheckpoint is the number of records after which a checkpoint is due; 0 means 4096.
	RecordsPerCheckpoint int
	// Interval is the time after which a checkpoint is due; 0 means 1 h. It must be well below the retention time of
	// the log service.
	Interval time.Duration
	// MaxJitter is the upper bound of the random delay before a checkpoint; 0 means 30 s.
	MaxJitter time.Duration

	lifecycle scope.Scope
	// newestMark is the newest checkpoint in the applied state; newestMarkSeenAt is when it was first seen.
	newestMark       config.CheckpointMark
	newestMarkSeenAt time.Time
}

// Run writes checkpoints when they are due, until ctx is done or Close is called. It returns ctx.Err().
func (c *Checkpointer) Run(ctx context.Context) error {
	ctx, leave := c.lifecycle.Enter(ctx)
	defer leave()
	c.newestMarkSeenAt = time.Now()
	for {
		if !scope.Sleep(ctx, jittered(checkpointCheckInterval)) {
			return ctx.Err()
		}
		if !c.isDue() || !scope.Sleep(ctx, mathrand.N(c.maxJitter())) || !c.isDue() {
			continue
		}
		if err := c.write(ctx); err != nil {
			klog.ErrorS(err, "Checkpoint was not written", "asOf", c.stateToWrite().Offset())
		}
	}
}

// Close stops Run and waits until it has returned.
func (c *Checkpointer) Close() { c.lifecycle.Close() }

func (c *Checkpointer) maxJitter() time.Duration {
	if c.MaxJitter == 0 {
		return defaultMaxCheckpointJitter
	}
	return c.MaxJitter
}

// isDue reports whether the newest checkpoint is too old: by the number of records or the time since it, or because
// the log may soon delete the records that follow it.
func (c *Checkpointer) isDue() bool {
	state := c.Follower.State()
	if mark := state.LatestCheckpoint(); mark != c.newestMark {
		c.newestMark, c.newestMarkSeenAt = mark, time.Now()
	}
	base := c.stateToWrite().Offset()
	if base == 0 {
		return false
	}
	records := ident.Offset(c.RecordsPerCheckpoint)
	if records == 0 {
		records = defaultCheckpointRecords
	}
	interval := c.Interval
	if interval == 0 {
		interval = defaultCheckpointInterval
	}
	return base >= c.newestMark.AsOf+records || time.Since(c.newestMarkSeenAt) >= interval || c.isNearExpiry(base)
}

// isNearExpiry reports whether the newest checkpoint lies in the older half of the offsets that the log retains and a
// checkpoint of base would be newer.
func (c *Checkpointer) isNearExpiry(base ident.Offset) bool {
	read := c.Follower.lastTailRead.Load()
	if read == nil || read.first <= 1 {
		return false
	}
	middle := read.first + (read.tail-read.first)/2
	return c.newestMark.AsOf < middle && base > c.newestMark.AsOf
}

// stateToWrite returns the state to write to a checkpoint. That is the state in force, so that a daemon that starts
// from it replays all later membership changes. If the log may soon delete the records after that state, it is the
// applied state instead, because losing the configuration is worse.
func (c *Checkpointer) stateToWrite() *config.State {
	inForce := c.Follower.InForce()
	read := c.Follower.lastTailRead.Load()
	if read == nil || read.first <= 1 || inForce.Offset() >= read.first+(read.tail-read.first)/4 {
		return inForce
	}
	return c.Follower.State()
}

func (c *Checkpointer) write(ctx context.Context) error {
	state := c.stateToWrite()
	id := config.CheckpointID(rand.Text())
	chunks := state.EncodeCheckpoint(id)
	mark := config.CheckpointMark{ID: id, AsOf: state.Offset(), Count: len(chunks)}
	for _, chunk := range chunks {
		offset, err := c.appendChunk(ctx, chunk)
		if err != nil {
			return err
		}
		if mark.First == 0 {
			mark.First = offset
		}
		mark.Last = offset
	}
	_, err := c.Writer.Write(ctx, &wire.Record{
		RecordId:      string(NewRecordID()),
		Author:        string(c.Self),
		CreatedUnixMs: time.Now().UnixMilli(),
		Entity:        &wire.Record_CheckpointMark{CheckpointMark: mark.Wire()},
	})
	if err == nil {
		countCheckpoints.Inc()
		klog.InfoS("Checkpoint written", "asOf", mark.AsOf, "chunks", mark.Count)
	}
	return err
}

// appendChunk appends a chunk, with retries until an append returns its offset. Duplicate chunks are harmless.
func (c *Checkpointer) appendChunk(ctx context.Context, chunk *wire.CheckpointChunk) (ident.Offset, error) {
	payload, err := proto.Marshal(chunk)
	if err != nil {
		return 0, &config.CheckpointError{Reason: err.Error()}
	}
	var lastErr error
	for range chunkAttempts {
		if !scope.Sleep(ctx, chunkAppendInterval) {
			return 0, ctx.Err()
		}
		offset, err := c.appendOnce(ctx, payload)
		if err == nil {
			return offset, nil
		}
		lastErr = err
		if !scope.Sleep(ctx, jittered(maxWriteBackoff)) {
			return 0, ctx.Err()
		}
	}
	return 0, lastErr
}

func (c *Checkpointer) appendOnce(ctx context.Context, payload []byte) (ident.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	return c.Log.Append(ctx, extern.StreamCheckpoints, payload)
}
