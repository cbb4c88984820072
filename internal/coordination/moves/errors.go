package moves

import (
	"fmt"

	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// StateError reports that the state of a move rules out a change.
type StateError struct {
	Move   ident.MoveID
	State  config.MoveState
	Change string
}

func (e *StateError) Error() string {
	return fmt.Sprintf("move %s is %s: it can't %s", e.Move, e.State, e.Change)
}

// UnknownMoveError reports that there is no move with the id.
type UnknownMoveError struct {
	Move ident.MoveID
}

func (e *UnknownMoveError) Error() string {
	return fmt.Sprintf("there is no move %s", e.Move)
}

// OverlapError reports that another move that has not ended shifts a route of the move.
type OverlapError struct {
	Move, Other ident.MoveID
}

func (e *OverlapError) Error() string {
	return fmt.Sprintf("move %s shares a route with move %s, which has not ended", e.Move, e.Other)
}

// VersionError reports that a version of a move is unknown, belongs to another model or does not serve the route.
type VersionError struct {
	Move    ident.MoveID
	Version ident.VersionID
	Reason  string
}

func (e *VersionError) Error() string {
	return fmt.Sprintf("move %s: version %s %s", e.Move, e.Version, e.Reason)
}
