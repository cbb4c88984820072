package config

import (
	"fmt"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// ConflictError reports that a record was based on another revision of its path than the current one.
type ConflictError struct {
	Path ident.Path
	// BaseRevision is the revision that the record was based on, CurrentRevision that of the path when the conflict was found.
	BaseRevision, CurrentRevision ident.Offset
	// CurrentNode is the last change of the path; nil if the path was never written or its tombstone has been dropped.
	CurrentNode *Node
}

func (e *ConflictError) Error() string {
	if e.CurrentNode == nil {
		return fmt.Sprintf("%s does not exist, the change was based on revision %d", e.Path, e.BaseRevision)
	}
	return fmt.Sprintf("%s was changed by %s at revision %d, the change was based on revision %d",
		e.Path, e.CurrentNode.Author, e.CurrentRevision, e.BaseRevision)
}

// InvalidError reports that an entity or a record is invalid, by itself or in the given state.
type InvalidError struct {
	Path   ident.Path
	Reason string
}

func (e *InvalidError) Error() string {
	return fmt.Sprintf("%s is invalid: %s", e.Path, e.Reason)
}

// OffsetError reports that the offset of a record is not above that of the state to which it is applied.
type OffsetError struct {
	State, Record ident.Offset
}

func (e *OffsetError) Error() string {
	return fmt.Sprintf("record %d does not follow offset %d", e.Record, e.State)
}

// CheckpointError reports that checkpoint chunks are incomplete, inconsistent or belong to several checkpoints.
type CheckpointError struct {
	Reason string
}

func (e *CheckpointError) Error() string { return "checkpoint: " + e.Reason }
