package config

import (
	"fmt"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// ConflictError says that a record was based on an older revision of its path than the one in the log.
type ConflictError struct {
	Path ident.Path
	// BaseRevision is the revision that the record was based on, Current the one in the log.
	BaseRevision, CurrentRevision ident.Offset
	// CurrentNode is the change that won; nil if the path has never been written.
	CurrentNode *Node
}

func (e *ConflictError) Error() string {
	if e.CurrentNode == nil {
		return fmt.Sprintf("%s does not exist, the change was based on revision %d", e.Path, e.BaseRevision)
	}
	return fmt.Sprintf("%s was changed by %s at revision %d, the change was based on revision %d",
		e.Path, e.CurrentNode.Author, e.CurrentRevision, e.BaseRevision)
}

// InvalidError says that a record can't be applied to any state or not to this one.
type InvalidError struct {
	Path   ident.Path
	Reason string
}

func (e *InvalidError) Error() string {
	return fmt.Sprintf("%s is invalid: %s", e.Path, e.Reason)
}

// OffsetError says that a record does not follow the state that it is applied to.
type OffsetError struct {
	State, Record ident.Offset
}

func (e *OffsetError) Error() string {
	return fmt.Sprintf("record %d does not follow offset %d", e.Record, e.State)
}

// CheckpointError says that the chunks of a checkpoint are not whole or don't belong together.
type CheckpointError struct {
	Reason string
}

func (e *CheckpointError) Error() string { return "checkpoint: " + e.Reason }
