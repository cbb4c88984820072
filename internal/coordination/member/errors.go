package member

import (
	"fmt"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// SupersededError says that a newer incarnation of the daemon is known.
type SupersededError struct {
	Daemon      ident.DaemonID
	Incarnation ident.Incarnation
	Known       ident.Incarnation
}

func (e *SupersededError) Error() string {
	return fmt.Sprintf("incarnation %d of %s was superseded by %d", e.Incarnation, e.Daemon, e.Known)
}

// StartingError says that this daemon has not loaded its first snapshot and does not answer heartbeats yet.
type StartingError struct{}

func (e *StartingError) Error() string { return "the daemon is still starting" }
