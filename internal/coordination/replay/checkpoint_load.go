package replay

import (
	"context"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// loadCheckpoint replaces the state by the newest complete checkpoint whose following records the log still holds. It
// returns a *NoCheckpointError if there is none.
func (f *Follower) loadCheckpoint(ctx context.Context) error {
	first, tail, err := f.streamBounds(ctx, extern.StreamControl)
	if err != nil {
		return err
	}
	entries, err := f.readRange(ctx, extern.StreamControl, first, tail)
	if err != nil {
		return err
	}
	for _, mark := range marksNewestFirst(decodeEntries(entries), first) {
		base, err := f.readCheckpoint(ctx, mark)
		if err != nil {
			klog.ErrorS(err, "Checkpoint can't be read", "asOf", mark.AsOf)
			continue
		}
		if f.store.reset(base) {
			klog.InfoS("State loaded from a checkpoint", "asOf", mark.AsOf, "first", first, "tail", tail)
			f.notifyChange()
		}
		return nil
	}
	return &NoCheckpointError{State: f.State().Offset(), First: first}
}

// marksNewestFirst returns the checkpoint marks among the entries, newest first. It leaves out checkpoints that are
// older than the record before first, because records between them and first are missing.
func marksNewestFirst(entries []*wire.LogEntry, first ident.Offset) []config.CheckpointMark {
	var marks []config.CheckpointMark
	for i := len(entries) - 1; i >= 0; i-- {
		mark := entries[i].GetRecord().GetCheckpointMark()
		if mark != nil && ident.Offset(mark.GetAsOfOffset())+1 >= first {
			marks = append(marks, config.DecodeMark(mark))
		}
	}
	return marks
}

// readRange returns the entries of the stream from one offset to another, both inclusive.
func (f *Follower) readRange(ctx context.Context, stream extern.Stream, from, to ident.Offset) ([]extern.LogEntry, error) {
	var all []extern.LogEntry
	for from <= to {
		batch, err := f.Log.Read(ctx, stream, from, maxReadRecords)
		if err != nil {
			return nil, err
		}
		if len(batch.Entries) == 0 {
			return all, nil
		}
		all = append(all, batch.Entries...)
		from = batch.Entries[len(batch.Entries)-1].Offset + 1
	}
	return all, nil
}

// readCheckpoint reads and decodes the checkpoint of the mark. Chunks of other checkpoints in its range are skipped.
func (f *Follower) readCheckpoint(ctx context.Context, mark config.CheckpointMark) (*config.State, error) {
	entries, err := f.readRange(ctx, extern.StreamCheckpoints, mark.First, mark.Last)
	if err != nil {
		return nil, err
	}
	var chunks []*wire.CheckpointChunk
	for _, entry := range entries {
		chunk := &wire.CheckpointChunk{}
		if err := proto.Unmarshal(entry.Payload, chunk); err != nil {
			return nil, &config.CheckpointError{Reason: err.Error()}
		}
		if chunk.GetCheckpointId() == string(mark.ID) {
			chunks = append(chunks, chunk)
		}
	}
	return config.DecodeCheckpoint(chunks)
}
