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

// MoveKind tells how the version that a move goes to behaves.
type MoveKind string

// Kinds of moves.
const (
	MoveGood MoveKind = "good"
	// MoveBadNow: a third of the requests fail from the start.
	MoveBadNow MoveKind = "badNow"
	// MoveBadLater: a third of the requests fail from the middle of the move on.
	MoveBadLater MoveKind = "badLater"
	// MoveBadUnderLoad: the version takes five times as long while an engine runs several requests.
	MoveBadUnderLoad MoveKind = "badUnderLoad"
	// MoveBadRoute: two thirds of the requests on one of two routes fail.
	MoveBadRoute MoveKind = "badRoute"
)

// MoveKinds lists all kinds of moves.
func MoveKinds() []MoveKind {
	return []MoveKind{MoveGood, MoveBadNow, MoveBadLater, MoveBadUnderLoad, MoveBadRoute}
}

const (
	// moveStart and moveEnd are the start and the deadline of a move as parts of the run.
	moveStart = 0.1
	moveEnd   = 0.85
	// laterPart is when MoveBadLater turns bad, as a part of the time between start and deadline.
	laterPart = 0.4
	// moveID names the move of a run.
	moveID = "load"
	// pollMove is how often the move is looked at.
	pollMove = 50 * time.Millisecond
)

// moveSettings lets a move pass within a short run.
func moveSettings() moves.Settings {
	return moves.Settings{MinStepTime: 500, MinSamples: 20, MaxSoak: 2000}
}

// MoveResult is what became of a move.
type MoveResult struct {
	Kind    MoveKind         `json:"kind"`
	Outcome config.MoveState `json:"outcome"`
	Reason  string           `json:"reason"`
	// OnTime is set for a move that was done by its deadline.
	OnTime bool `json:"onTime"`
	exposure
}

// behaviour returns how the new version behaves, and the time until it does.
func (r *run) behaviour() engine.Behaviour {
	later := time.Duration(float64(r.length) * (moveStart + (moveEnd-moveStart)*laterPart) / r.profile.TimeScale)
	switch r.move {
	case MoveBadNow:
		return engine.Behaviour{Errors: 1.0 / 3}
	case MoveBadLater:
		return engine.Behaviour{Errors: 1.0 / 3, After: later}
	case MoveBadUnderLoad:
		return engine.Behaviour{SlowFactor: 5, MinRunning: 4}
	case MoveBadRoute:
		return engine.Behaviour{Errors: 2.0 / 3, Route: auditRoute}
	default:
		return engine.Behaviour{}
	}
}

// steer starts the move through the administration API and follows it to its end.
func (r *run) steer(ctx context.Context) (*MoveResult, error) {
	for _, e := range r.system.EngineList() {
		e.SetBehaviour(nextVersion, r.behaviour())
	}
	turned := time.Now().Add(r.profile.wall(r.behaviour().After))
	if !sleepUntil(ctx, time.Now().Add(time.Duration(float64(r.length)*moveStart))) {
		return nil, ctx.Err()
	}
	admin := &client.AdminClient{Server: r.system.AdminAddresses()[0], Key: r.system.OperatorKey}
	deadline := time.Now().Add(time.Duration(float64(r.length) * (moveEnd - moveStart)))
	body := map[string]any{"id": moveID, "team": team, "model": model, "to": nextVersion, "deadline": deadline}
	started := time.Now()
	if err := admin.Post(ctx, "/moves", body, nil); err != nil {
		return nil, fmt.Errorf("starting the move: %w", err)
	}
	move := r.follow(ctx, admin, deadline)
	f := &MoveResult{Kind: r.move, Outcome: move.State, Reason: move.Reason}
	f.OnTime = move.State == config.MoveDone && move.StateSince.Before(deadline)
	ended := time.Now()
	if !sleepUntil(ctx, deadline) {
		return nil, ctx.Err()
	}
	f.exposure = r.dispatches.exposure(started, ended, deadline, r.meetsFault(turned))
	return f, nil
}

// follow looks at the move until it has ended or the run is over.
func (r *run) follow(ctx context.Context, admin *client.AdminClient, deadline time.Time) *config.Move {
	move := &config.Move{}
	reason := ""
	for !move.State.Ended() && time.Now().Before(deadline.Add(time.Second)) && sleepUntil(ctx, time.Now().Add(pollMove)) {
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

// meetsFault returns whether a request went to the version after it had turned bad.
func (r *run) meetsFault(turned time.Time) func(dispatch) bool {
	return func(d dispatch) bool {
		if r.move == MoveGood || d.version != nextVersion || d.at.Before(turned) {
			return false
		}
		return r.move != MoveBadRoute || d.route == auditRoute
	}
}
