package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"github.com/gooseberryway/gooseberryway/internal/program/client"
	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/scope"
)

func newMove() *cobra.Command {
	parent, s := newOperatorCommand("move", "Moves of traffic to another version")
	parent.AddCommand(s.listCommand("moves"), s.getCommand("moves"), s.createMoveCommand())
	for _, action := range []struct{ use, name, short string }{
		{"pause", "pause", "Keep the share as it is; the version is still watched"},
		{"resume", "resume", "Let a paused move go on"},
		{"take-back", "takeBack", "Send all traffic to the old version and end the move"},
	} {
		parent.AddCommand(s.moveActionCommand(action.use, action.name, action.short))
	}
	parent.AddCommand(s.moveDeadlineCommand())
	return parent
}

func (s *operatorCommand) createMoveCommand() *cobra.Command {
	var id string
	var in time.Duration
	var routes []string
	cmd := &cobra.Command{
		Use: "create TEAM MODEL VERSION --in DURATION", Short: "Start a move that shall be done within the duration",
		Example: "  gooseberryway move create alder girth girth-2 --in 30m --wait",
		Args:    withUsageError(cobra.ExactArgs(3)),
		RunE: func(cmd *cobra.Command, args []string) error {
			if in <= 0 {
				return &UsageError{Err: &MissingFlagError{Flag: "in"}}
			}
			body := map[string]any{
				"id": id, "team": args[0], "model": args[1], "to": args[2], "routes": routes,
				"deadline": time.Now().Add(in).UTC().Format(time.RFC3339Nano),
			}
			change := &client.Change{}
			if err := s.admin.Post(cmd.Context(), "/moves", body, change); err != nil {
				return err
			}
			return s.reportMove(cmd, change)
		},
	}
	cmd.Flags().StringVar(&id, "id", "", "id of the move; one is chosen if it is empty")
	cmd.Flags().DurationVar(&in, "in", 0, "time until the move shall be done (required)")
	cmd.Flags().StringSliceVar(&routes, "routes", nil, "routes to move; all of the team for the model if empty")
	return cmd
}

func (s *operatorCommand) moveActionCommand(use, action, short string) *cobra.Command {
	var reason string
	cmd := &cobra.Command{
		Use: use + " ID", Short: short, Args: withUsageError(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			return s.actOnMove(cmd, args[0], map[string]any{"action": action, "reason": reason})
		},
	}
	cmd.Flags().StringVar(&reason, "reason", "", "one sentence that is kept with the move")
	return cmd
}

func (s *operatorCommand) moveDeadlineCommand() *cobra.Command {
	var in time.Duration
	cmd := &cobra.Command{
		Use: "deadline ID --in DURATION", Short: "Set another deadline", Args: withUsageError(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			if in <= 0 {
				return &UsageError{Err: &MissingFlagError{Flag: "in"}}
			}
			deadline := time.Now().Add(in).UTC().Format(time.RFC3339Nano)
			return s.actOnMove(cmd, args[0], map[string]any{"action": "deadline", "deadline": deadline})
		},
	}
	cmd.Flags().DurationVar(&in, "in", 0, "time until the move shall be done (required)")
	return cmd
}

func (s *operatorCommand) actOnMove(cmd *cobra.Command, id string, body any) error {
	change := &client.Change{}
	if err := s.admin.Post(cmd.Context(), entityPath("moves", id)+"/actions", body, change); err != nil {
		return err
	}
	return s.reportMove(cmd, change)
}

// MoveFailedError reports a move that ended in another state than done, or that did not end within --wait-limit.
type MoveFailedError struct {
	State  config.MoveState
	Reason string
}

func (e *MoveFailedError) Error() string { return fmt.Sprintf("the move is %s: %s", e.State, e.Reason) }

// reportMove prints a change of a move and, with --wait, waits until the move has ended.
// It clears wait, as reportChange would otherwise wait for the change to be in force.
func (s *operatorCommand) reportMove(cmd *cobra.Command, change *client.Change) error {
	wait := s.wait
	s.wait = false
	if err := s.reportChange(cmd, change); err != nil || !wait {
		return err
	}
	var move config.Move
	if err := json.Unmarshal(change.Entity, &move); err != nil {
		return err
	}
	return s.waitMoveEnded(cmd.Context(), cmd.ErrOrStderr(), &move)
}

func (s *operatorCommand) waitMoveEnded(ctx context.Context, out io.Writer, move *config.Move) error {
	deadline := time.Now().Add(s.waitLimit)
	for !move.State.Ended() {
		if time.Now().After(deadline) || !scope.Sleep(ctx, waitPollInterval) {
			return &MoveFailedError{State: move.State, Reason: move.Reason}
		}
		var r client.Resource
		if err := s.admin.Get(ctx, entityPath("moves", string(move.ID)), &r); err != nil {
			return err
		}
		lastReason := move.Reason
		if err := json.Unmarshal(r.Entity, move); err != nil {
			return err
		}
		if move.Reason != lastReason {
			fmt.Fprintln(out, move.Reason)
		}
	}
	if move.State != config.MoveDone {
		return &MoveFailedError{State: move.State, Reason: move.Reason}
	}
	return nil
}
