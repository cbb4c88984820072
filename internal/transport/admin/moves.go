package admin

import (
	"context"
	"net/http"
	"time"

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
	return s.put(ctx, config.RoleEditor, 0, &config.Move{
		ID:         req.ID,
		Team:       req.Team,
		Model:      req.Model,
		From:       model.CurrentVersion,
		To:         req.To,
		Routes:     req.Routes,
		Deadline:   req.Deadline,
		State:      config.MoveRunning,
		Reason:     "created by " + string(operatorOf(ctx).ID),
		StateSince: time.Now(),
	})
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
	st := s.State()
	move, ok := st.Move(ident.MoveID(req.id))
	if !ok {
		return nil, &Error{Code: CodeNotFound, Message: "move " + req.id + " does not exist"}
	}
	next, err := afterAction(move, req.action)
	if err != nil {
		return nil, err
	}
	if req.action.Reason == "" {
		next.Reason = req.action.Action + " by " + string(operatorOf(ctx).ID)
	}
	return s.put(ctx, config.RoleEditor, st.Revision(config.PathOf(move)), next)
}

// afterAction returns the move as it is after the action of an operator.
func afterAction(move *config.Move, action *MoveAction) (*config.Move, error) {
	if move.State.Ended() {
		return nil, &Error{Code: CodeInvalid, Message: "the move has ended: " + move.Reason}
	}
	next := *move
	next.Reason = action.Reason
	next.StateSince = time.Now()
	switch action.Action {
	case "pause":
		next.State = config.MovePaused
	case "resume":
		if move.State != config.MovePaused {
			return nil, &Error{Code: CodeInvalid, Message: "the move is not paused"}
		}
		next.State = config.MoveRunning
	case "takeBack":
		next.State = config.MoveTakenBack
		next.Share = 0
	case "deadline":
		if !action.Deadline.After(time.Now()) {
			return nil, &Error{Code: CodeInvalid, Message: "the deadline has passed"}
		}
		next.Deadline = action.Deadline
		next.StateSince = move.StateSince
	default:
		return nil, &Error{Code: CodeInvalid, Message: "allowed actions are pause, resume, takeBack and deadline"}
	}
	return &next, nil
}
