package daemon

import (
	"context"
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/gooseberryway/gooseberryway/internal/coordination/replay"
	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/transport/admin"
)

// controlWriter implements admin.Writer with a replay.Writer.
type controlWriter struct {
	writer *replay.Writer
}

// Write implements admin.Writer. It returns an *admin.Error if the log service is unavailable or the outcome is unknown.
func (c controlWriter) Write(ctx context.Context, rec *wire.Record) (ident.Offset, error) {
	result, err := c.writer.Write(ctx, rec)
	if err == nil {
		return result.Offset, nil
	}
	var unavailable *replay.UnavailableError
	if errors.As(err, &unavailable) {
		return 0, &admin.Error{
			Code:       admin.CodeLogUnavailable,
			Message:    "the log service takes no changes now; nothing was changed",
			RetryAfter: unavailable.RetryAfter,
			Err:        err,
		}
	}
	var unknown *replay.OutcomeUnknownError
	if errors.As(err, &unknown) {
		return 0, &admin.Error{
			Code:     admin.CodeOutcomeUnknown,
			Message:  "the log service gave no answer; the change may still take effect, look before you repeat it",
			RecordID: unknown.Record,
			Err:      err,
		}
	}
	return 0, err
}

// progress returns how far the change at the offset has been applied by the fleet.
func (c *components) progress(offset ident.Offset) admin.Progress {
	progress := admin.Progress{Offset: offset, State: admin.StatePending}
	view := c.membership.View()
	if view == nil {
		progress.Summary = "this daemon is still starting"
		return progress
	}
	status := view.Status(offset)
	progress.Acknowledged, progress.Total, progress.Missing = status.AppliedCount, status.MemberCount, status.Missing
	switch {
	case status.InForce && status.AppliedByAll():
		progress.State = admin.StateInForce
		progress.Summary = fmt.Sprintf("in force on all %d daemons", status.MemberCount)
	case status.InForce:
		progress.State = admin.StateInForce
		progress.Summary = fmt.Sprintf("in force: no daemon that serves is without it; not heard from: %v", status.Missing)
	case status.Accepted:
		progress.State = admin.StateAccepted
		progress.Summary = fmt.Sprintf("accepted, used by %d of %d daemons", status.AppliedCount, status.MemberCount)
	default:
		progress.Summary = fmt.Sprintf("pending: %d of %d daemons use it, missing %v", status.AppliedCount, status.MemberCount, status.Missing)
	}
	return progress
}

// controlRecords reads up to limit entries of the control stream for the audit trail. Entries that can't be decoded are
// skipped.
func (c *components) controlRecords(ctx context.Context, from ident.Offset, limit int) ([]*wire.LogEntry, error) {
	batch, err := c.log.Read(ctx, extern.StreamControl, from, limit)
	if err != nil {
		return nil, err
	}
	entries := make([]*wire.LogEntry, 0, len(batch.Entries))
	for _, e := range batch.Entries {
		rec := &wire.Record{}
		if proto.Unmarshal(e.Payload, rec) != nil {
			continue
		}
		entries = append(entries, &wire.LogEntry{Offset: uint64(e.Offset), Record: rec})
	}
	return entries, nil
}
