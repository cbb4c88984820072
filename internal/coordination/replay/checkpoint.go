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

// Checkpointer writes a checkpoint well before the log service drops records that a start still needs. Every daemon
// runs one; a random delay makes it rare that two write at once, which would do no harm.
// Its fields are set before Run.
type Checkpointer struct {
	Self     ident.DaemonID
	Log      extern.Log
	Follower *Follower
	Writer   *Writer
	// RecordsPerCheckpoint is the number of records after which a checkpoint is due; 0 is 4096.
	RecordsPerCheckpoint int
	// Interval is the time after which a checkpoint is due, well below the retention of the log service; 0 is 1 h.
	Interval time.Duration
	// MaxJitter bounds the random delay; 0 is 30 s.
	MaxJitter time.Duration

	life scope.Scope
	// mark is the newest checkpoint seen, since is when it was first seen.
	mark  config.CheckpointMark
	since time.Time
}

// Run writes checkpoints when they are due, until ctx ends or Close is called. It returns ctx's error.
func (c *Checkpointer) Run(ctx context.Context) error {
	ctx, leave := c.life.Enter(ctx)
	defer leave()
	c.since = time.Now()
	for {
		if !scope.Sleep(ctx, jittered(checkpointCheckInterval)) {
			return ctx.Err()
		}
		if !c.due() || !scope.Sleep(ctx, mathrand.N(c.jitter())) || !c.due() {
			continue
		}
		if err := c.write(ctx); err != nil {
			klog.ErrorS(err, "Checkpoint was not written", "asOf", c.base().Offset())
		}
	}
}

// Close ends Run and waits for it.
func (c *Checkpointer) Close() { c.life.Close() }

func (c *Checkpointer) jitter() time.Duration {
	if c.MaxJitter == 0 {
		return defaultCheckpointJitter
	}
	return c.MaxJitter
}

// due reports whether the newest checkpoint is too old by records, by time or by what the log still keeps.
func (c *Checkpointer) due() bool {
	state := c.Follower.State()
	if mark := state.LatestCheckpoint(); mark != c.mark {
		c.mark, c.since = mark, time.Now()
	}
	base := c.base().Offset()
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
	return base >= c.mark.AsOf+records || time.Since(c.since) >= interval || c.nearlyExpired(base)
}

// nearlyExpired reports whether the newest checkpoint lies in the older half of what the log keeps.
func (c *Checkpointer) nearlyExpired(base ident.Offset) bool {
	read := c.Follower.tail.Load()
	if read == nil || read.first <= 1 {
		return false
	}
	middle := read.first + (read.tail-read.first)/2
	return c.mark.AsOf < middle && base > c.mark.AsOf
}

// base returns the state to write: the one in force, so that a start from it knows all members since. When that
// one is about to fall out of the log, the applied state is written, for losing the configuration is worse.
func (c *Checkpointer) base() *config.State {
	inForce := c.Follower.InForce()
	read := c.Follower.tail.Load()
	if read == nil || read.first <= 1 || inForce.Offset() >= read.first+(read.tail-read.first)/4 {
		return inForce
	}
	return c.Follower.State()
}

func (c *Checkpointer) write(ctx context.Context) error {
	state := c.base()
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
		klog.InfoS("Wrote a checkpoint", "asOf", mark.AsOf, "chunks", mark.Count)
	}
	return err
}

// appendChunk appends a chunk until its offset is known; copies of it do no harm.
func (c *Checkpointer) appendChunk(ctx context.Context, chunk *wire.CheckpointChunk) (ident.Offset, error) {
	payload, err := proto.Marshal(chunk)
	if err != nil {
		return 0, &config.CheckpointError{Reason: err.Error()}
	}
	var last error
	for range chunkAttempts {
		if !scope.Sleep(ctx, chunkAppendInterval) {
			return 0, ctx.Err()
		}
		offset, err := c.appendOnce(ctx, payload)
		if err == nil {
			return offset, nil
		}
		last = err
		if !scope.Sleep(ctx, jittered(maxWriteBackoff)) {
			return 0, ctx.Err()
		}
	}
	return 0, last
}

func (c *Checkpointer) appendOnce(ctx context.Context, payload []byte) (ident.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	return c.Log.Append(ctx, extern.StreamCheckpoints, payload)
}
