package moves

import (
	"fmt"

	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// StateError says that a move is in a state in which it can't be changed that way.
type StateError struct {
	Move   ident.MoveID
	State  config.MoveState
	Change string
}

func (e *StateError) Error() string {
	return fmt.Sprintf("move %s is %s: it can't %s", e.Move, e.State, e.Change)
}

// UnknownMoveError says that there is no move with the id.
type UnknownMoveError struct {
	Move ident.MoveID
}

func (e *UnknownMoveError) Error() string {
	return fmt.Sprintf("there is no move %s", e.Move)
}

// OverlapError says that another move that has not ended shifts a route of the move.
type OverlapError struct {
	Move, Other ident.MoveID
}

func (e *OverlapError) Error() string {
	return fmt.Sprintf("move %s shares a route with move %s, which has not ended", e.Move, e.Other)
}

// VersionError says that a version of the move is unknown, of another model or not the one that serves.
type VersionError struct {
	Move    ident.MoveID
	Version ident.VersionID
	Reason  string
}

func (e *VersionError) Error() string {
	return fmt.Sprintf("move %s: version %s %s", e.Move, e.Version, e.Reason)
}
