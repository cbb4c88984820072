package load

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/coordination/moves"
	"github.com/gooseberryway/gooseberryway/internal/program/client"
	"github.com/gooseberryway/gooseberryway/internal/standin/engine"
	"github.com/gooseberryway/gooseberryway/internal/state/config"
)

// MoveKind is the fault, if any, of the version that a move shifts traffic to.
type MoveKind string

// Kinds of moves.
const (
	MoveGood MoveKind = "good"
	// MoveBadNow: a third of the requests fail from the start.
	MoveBadNow MoveKind = "badNow"
	// MoveBadLater: a third of the requests fail from two fifths of the time between start and deadline on.
	MoveBadLater MoveKind = "badLater"
	// MoveBadUnderLoad: requests take five times as long while their engine runs at least four.
	MoveBadUnderLoad MoveKind = "badUnderLoad"
	// MoveBadRoute: two thirds of the requests on one of two routes fail.
	MoveBadRoute MoveKind = "badRoute"
)

// MoveKinds lists all kinds of moves.
func MoveKinds() []MoveKind {
	return []MoveKind{MoveGood, MoveBadNow, MoveBadLater, MoveBadUnderLoad, MoveBadRoute}
}

const (
	// moveStartShare and moveDeadlineShare are the start and the deadline of a move as shares of the run's length.
	moveStartShare    = 0.1
	moveDeadlineShare = 0.85
	// badLaterShare is when the version of MoveBadLater becomes faulty, as a share of the time between start and deadline.
	badLaterShare = 0.4
	// moveID is the id of a run's move.
	moveID = "load"
	// movePollInterval is how often the state of the move is read.
	movePollInterval = 50 * time.Millisecond
)

// moveSettings returns settings with steps that are short enough for a move to complete within a run.
func moveSettings() moves.Settings {
	return moves.Settings{MinStepTime: 500, MinSamples: 20, MaxSoak: 2000}
}

// MoveResult is the result of a move.
type MoveResult struct {
	Kind    MoveKind         `json:"kind"`
	Outcome config.MoveState `json:"outcome"`
	Reason  string           `json:"reason"`
	// OnTime is true for a move that was done before its deadline.
	OnTime bool `json:"onTime"`
	exposure
}

// behaviour returns the fault of the new version and the time after which it begins, in engine time.
func (r *run) behaviour() engine.Behaviour {
	badAfter := time.Duration(float64(r.duration) * (moveStartShare + (moveDeadlineShare-moveStartShare)*badLaterShare) / r.profile.TimeScale)
	switch r.move {
	case MoveBadNow:
		return engine.Behaviour{Errors: 1.0 / 3}
	case MoveBadLater:
		return engine.Behaviour{Errors: 1.0 / 3, After: badAfter}
	case MoveBadUnderLoad:
		return engine.Behaviour{SlowFactor: 5, MinRunning: 4}
	case MoveBadRoute:
		return engine.Behaviour{Errors: 2.0 / 3, Route: auditRoute}
	default:
		return engine.Behaviour{}
	}
}

// runMove starts the move through the admin API, waits for its end and its deadline and returns its result.
func (r *run) runMove(ctx context.Context) (*MoveResult, error) {
	for _, e := range r.system.EngineList() {
		e.SetBehaviour(nextVersion, r.behaviour())
	}
	badSince := time.Now().Add(r.profile.wallTime(r.behaviour().After))
	if !sleepUntil(ctx, time.Now().Add(time.Duration(float64(r.duration)*moveStartShare))) {
		return nil, ctx.Err()
	}
	admin := &client.AdminClient{Server: r.system.AdminAddresses()[0], Key: r.system.OperatorKey}
	deadline := time.Now().Add(time.Duration(float64(r.duration) * (moveDeadlineShare - moveStartShare)))
	body := map[string]any{"id": moveID, "team": team, "model": modelID, "to": nextVersion, "deadline": deadline}
	started := time.Now()
	if err := admin.Post(ctx, "/moves", body, nil); err != nil {
		return nil, fmt.Errorf("starting the move: %w", err)
	}
	move := r.awaitMoveEnd(ctx, admin, deadline)
	result := &MoveResult{Kind: r.move, Outcome: move.State, Reason: move.Reason}
	result.OnTime = move.State == config.MoveDone && move.StateSince.Before(deadline)
	ended := time.Now()
	if !sleepUntil(ctx, deadline) {
		return nil, ctx.Err()
	}
	result.exposure = r.dispatches.exposure(started, ended, deadline, r.meetsFault(badSince))
	return result, nil
}

// awaitMoveEnd polls the move until it has ended, or until a second after the deadline, and returns its last known state.
func (r *run) awaitMoveEnd(ctx context.Context, admin *client.AdminClient, deadline time.Time) *config.Move {
	move := &config.Move{}
	reason := ""
	for !move.State.Ended() && time.Now().Before(deadline.Add(time.Second)) && sleepUntil(ctx, time.Now().Add(movePollInterval)) {
		var resource client.Resource
		if err := admin.Get(ctx, "/moves/"+moveID, &resource); err != nil {
			continue
		}
		if err := json.Unmarshal(resource.Entity, move); err != nil {
			klog.ErrorS(err, "Move can't be read")
		}
		if move.Reason != reason {
			reason = move.Reason
			klog.InfoS("Move", "state", move.State, "reason", reason)
		}
	}
	return move
}

// meetsFault returns a function that reports whether an attempt was sent to the new version while it was faulty.
func (r *run) meetsFault(badSince time.Time) func(dispatch) bool {
	return func(d dispatch) bool {
		if r.move == MoveGood || d.version != nextVersion || d.at.Before(badSince) {
			return false
		}
		return r.move != MoveBadRoute || d.route == auditRoute
	}
}
