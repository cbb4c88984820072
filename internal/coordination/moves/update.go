package moves

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Change is an operator's change to a move.
type Change interface {
	isChange()
	// apply returns the changed move. The error is a *StateError.
	apply(m config.Move, by string, now time.Time) (config.Move, error)
}

// Pause keeps the share as it is. The version is still monitored and taken back if it is bad.
type Pause struct{}

// Resume lets a paused move continue.
type Resume struct{}

// TakeBack sends all requests to the old version again and ends the move.
type TakeBack struct {
	// Reason is a text for operators; it may be empty.
	Reason string
}

// ChangeDeadline sets another deadline.
type ChangeDeadline struct {
	Deadline time.Time
}

func (Pause) isChange()          {}
func (Resume) isChange()         {}
func (TakeBack) isChange()       {}
func (ChangeDeadline) isChange() {}

func (Pause) apply(m config.Move, by string, now time.Time) (config.Move, error) {
	if m.State != config.MoveRunning && m.State != config.MoveSoaking {
		return m, &StateError{Move: m.ID, State: m.State, Change: "be paused"}
	}
	m.State, m.StateSince = config.MovePaused, now
	m.Reason = fmt.Sprintf("Paused by %s at %s; %s keeps %s.", by, formatClock(now), m.To, formatShare(m.Share))
	return m, nil
}

func (Resume) apply(m config.Move, by string, now time.Time) (config.Move, error) {
	if m.State != config.MovePaused {
		return m, &StateError{Move: m.ID, State: m.State, Change: "be resumed"}
	}
	m.State, m.StateSince = config.MoveRunning, now
	if m.Share == fullSharePermille {
		m.State = config.MoveSoaking
	}
	m.Reason = fmt.Sprintf("Resumed by %s at %s; %s gets %s.", by, formatClock(now), m.To, formatShare(m.Share))
	return m, nil
}

func (c TakeBack) apply(m config.Move, by string, now time.Time) (config.Move, error) {
	if m.State.Ended() {
		return m, &StateError{Move: m.ID, State: m.State, Change: "be taken back"}
	}
	m.State, m.StateSince, m.Share = config.MoveTakenBack, now, 0
	m.Reason = fmt.Sprintf("Taken back to %s by %s at %s.", m.From, by, formatClock(now))
	if c.Reason != "" {
		m.Reason = fmt.Sprintf("Taken back to %s by %s at %s: %s", m.From, by, formatClock(now), c.Reason)
	}
	return m, nil
}

func (c ChangeDeadline) apply(m config.Move, by string, now time.Time) (config.Move, error) {
	if m.State.Ended() {
		return m, &StateError{Move: m.ID, State: m.State, Change: "get another deadline"}
	}
	m.Deadline = c.Deadline
	m.Reason = fmt.Sprintf("Deadline changed by %s at %s; %s gets %s.", by, formatClock(now), m.To, formatShare(m.Share))
	return m, nil
}

// Updater applies an operator's changes to moves.
type Updater struct {
	State  func() *config.State
	Writer Writer
}

// Apply applies a change to the move in its present state and retries after every conflict, until the record is
// written, the move's state rules the change out or ctx ends. The error is an *UnknownMoveError, a *StateError, that
// of the Writer or, if ctx ends, one that wraps ctx.Err().
func (u *Updater) Apply(ctx context.Context, move ident.MoveID, by string, record ident.RecordID, change Change) (ident.Offset, error) {
	for attempt := 0; ; attempt++ {
		state := u.State()
		m, ok := state.Move(move)
		if !ok {
			return 0, &UnknownMoveError{Move: move}
		}
		next, err := ApplyChange(state, m, by, change)
		if err != nil {
			return 0, err
		}
		baseRevision := state.Revision(config.PathOf(m))
		id := ident.RecordID(fmt.Sprintf("%s-%d", record, attempt))
		offset, err := u.Writer.Write(ctx, config.NewRecord(id, by, baseRevision, &next))
		var conflict *config.ConflictError
		if !errors.As(err, &conflict) {
			return offset, err
		}
		if err := u.waitForNewerRevision(ctx, config.PathOf(m), baseRevision); err != nil {
			return 0, err
		}
	}
}

// ApplyChange returns the move after a change by an operator. The error is a *StateError.
func ApplyChange(state *config.State, m *config.Move, by string, change Change) (config.Move, error) {
	next, err := change.apply(*m, by, time.Now())
	if err == nil && m.Owner != "" {
		next.OwnerEpoch = OwnerEpoch(state, m)
	}
	return next, err
}

// waitForNewerRevision waits until a newer revision of the path has been replayed.
func (u *Updater) waitForNewerRevision(ctx context.Context, path ident.Path, revision ident.Offset) error {
	ticker := time.NewTicker(updatePollInterval)
	defer ticker.Stop()
	for u.State().Revision(path) == revision {
		select {
		case <-ctx.Done():
			return fmt.Errorf("waiting for the newer state of %s: %w", path, ctx.Err())
		case <-ticker.C:
		}
	}
	return nil
}

// CheckNew checks a move that is about to be created. The error is a *VersionError, an *OverlapError or a
// *StateError.
func CheckNew(state *config.State, m *config.Move) error {
	if m.State != config.MoveRunning || m.Share != 0 || m.Step != 0 {
		return &StateError{Move: m.ID, State: m.State, Change: "be created"}
	}
	for _, v := range []ident.VersionID{m.From, m.To} {
		version, ok := state.Version(v)
		if !ok || version.Model != m.Model {
			return &VersionError{Move: m.ID, Version: v, Reason: "is not a version of " + string(m.Model)}
		}
	}
	for _, other := range activeMoves(state) {
		if other.ID != m.ID && movesOverlap(other, m) {
			return &OverlapError{Move: m.ID, Other: other.ID}
		}
	}
	return checkServingVersion(state, m)
}

// checkServingVersion checks that the version that the move starts from serves its routes.
func checkServingVersion(state *config.State, m *config.Move) error {
	var s Splitter
	s.Update(state)
	routes := m.Routes
	if len(routes) == 0 {
		routes = []ident.RouteID{""}
	}
	for _, r := range routes {
		if s.ServingVersion(m.Model, r) != m.From {
			return &VersionError{Move: m.ID, Version: m.From, Reason: "does not serve route " + string(r)}
		}
	}
	return nil
}
