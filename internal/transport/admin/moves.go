package admin

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/coordination/moves"
	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// NewMove is a request to move the traffic of routes to another version.
type NewMove struct {
	// ID is chosen by the daemon if it is empty.
	ID    ident.MoveID  `json:"id,omitempty"`
	Team  ident.TeamID  `json:"team"`
	Model ident.ModelID `json:"model"`
	// To is the new version; the old one is the model's current version.
	To ident.VersionID `json:"to"`
	// Routes that move; all routes of the team for the model if empty.
	Routes   []ident.RouteID `json:"routes,omitempty"`
	Deadline time.Time       `json:"deadline"`
}

// MoveAction is a request of an operator during a move.
type MoveAction struct {
	// Action is "pause", "resume", "takeBack" or "deadline".
	Action string `json:"action"`
	// Deadline is the new deadline for the action "deadline".
	Deadline time.Time `json:"deadline,omitzero"`
	// Reason is kept with the move, one sentence.
	Reason string `json:"reason,omitempty"`
}

type moveRequest struct {
	id     string
	action *MoveAction
}

func (s *Server) moveOperations() []operation {
	decodeAction := func(ctx context.Context, r *http.Request) (moveRequest, error) {
		action, err := decodeBody[MoveAction](ctx, r)
		return moveRequest{id: r.PathValue("id"), action: action}, err
	}
	return []operation{
		{
			method: http.MethodPost, path: "/moves", id: "create-move", status: http.StatusCreated,
			summary: "Start to move traffic to another version by a deadline",
			request: NewMove{}, response: Change{}, entity: &config.Move{},
			handler: handle(s, http.StatusCreated, decodeBody[NewMove], s.createMove),
		},
		{
			method: http.MethodPost, path: "/moves/{id}/actions", id: "act-on-move", status: http.StatusAccepted,
			summary: "Pause, resume or take back a move, or change its deadline",
			request: MoveAction{}, response: Change{}, entity: &config.Move{},
			handler: handle(s, http.StatusAccepted, decodeAction, s.actOnMove),
		},
	}
}

func (s *Server) createMove(ctx context.Context, req *NewMove) (*Change, error) {
	st := s.State()
	model, ok := st.Model(req.Model)
	if !ok {
		return nil, &Error{Code: CodeNotFound, Message: "model " + string(req.Model) + " does not exist"}
	}
	if v, ok := st.Version(req.To); !ok || v.Model != req.Model {
		return nil, &Error{Code: CodeNotFound, Message: "version " + string(req.To) + " of the model does not exist"}
	}
	if !req.Deadline.After(time.Now()) {
		return nil, &Error{Code: CodeInvalid, Message: "the deadline has passed"}
	}
	if req.ID == "" {
		req.ID = ident.MoveID("move-" + randomHex(idBytes))
	}
	if len(req.Routes) == 0 {
		req.Routes = modelRoutes(st, req.Team, req.Model)
	}
	move := &config.Move{
		ID:         req.ID,
		Team:       req.Team,
		Model:      req.Model,
		From:       servingVersion(st, model, req.Routes),
		To:         req.To,
		Routes:     req.Routes,
		Deadline:   req.Deadline,
		State:      config.MoveRunning,
		Reason:     "created by " + string(operatorOf(ctx).ID),
		StateSince: time.Now(),
	}
	if err := moves.CheckNew(st, move); err != nil {
		return nil, s.moveError(config.PathOf(move), "", err)
	}
	return s.put(ctx, config.RoleEditor, 0, move)
}

// servingVersion returns the version that the first of the routes has now.
func servingVersion(st *config.State, model *config.Model, routes []ident.RouteID) ident.VersionID {
	var splitter moves.Splitter
	splitter.Update(st)
	if len(routes) == 0 {
		return splitter.ServingVersion(model.ID, "")
	}
	return splitter.ServingVersion(model.ID, routes[0])
}

func modelRoutes(st *config.State, team ident.TeamID, model ident.ModelID) []ident.RouteID {
	var ids []ident.RouteID
	for id, route := range st.Routes() {
		if route.Team == team && route.Model == model {
			ids = append(ids, id)
		}
	}
	return ids
}

func (s *Server) actOnMove(ctx context.Context, req moveRequest) (*Change, error) {
	move, ok := s.State().Move(ident.MoveID(req.id))
	if !ok {
		return nil, &Error{Code: CodeNotFound, Message: "move " + req.id + " does not exist"}
	}
	op, path := operatorOf(ctx), config.PathOf(move)
	if err := checkRole(op, config.RoleEditor, path); err != nil {
		return nil, err
	}
	change, err := req.action.change()
	if err != nil {
		return nil, err
	}
	steering := &moves.Updater{State: s.State, Writer: s.Writer}
	record := s.recordID(ctx, path)
	offset, err := steering.Apply(ctx, move.ID, string(op.ID), record, change)
	if err != nil {
		return nil, s.moveError(path, record, err)
	}
	st := s.State()
	return &Change{Resource: Resource{Path: path, Revision: offset, Entity: st.Entity(path)}, Progress: s.Progress(offset)}, nil
}

// change returns what the action does. The error is an *Error.
func (a *MoveAction) change() (moves.Change, error) {
	switch a.Action {
	case "pause":
		return moves.Pause{}, nil
	case "resume":
		return moves.Resume{}, nil
	case "takeBack":
		return moves.TakeBack{Reason: a.Reason}, nil
	case "deadline":
		if !a.Deadline.After(time.Now()) {
			return nil, &Error{Code: CodeInvalid, Message: "the deadline has passed"}
		}
		return moves.ChangeDeadline{Deadline: a.Deadline}, nil
	default:
		return nil, &Error{Code: CodeInvalid, Message: "allowed actions are pause, resume, takeBack and deadline"}
	}
}

// moveError returns the failure of a move's change.
func (s *Server) moveError(path ident.Path, record ident.RecordID, err error) error {
	var state *moves.StateError
	var overlap *moves.OverlapError
	var version *moves.VersionError
	if errors.As(err, &state) || errors.As(err, &overlap) || errors.As(err, &version) {
		return &Error{Code: CodeInvalid, Message: err.Error(), Path: path, Err: err}
	}
	return s.changeError(path, record, err)
}
