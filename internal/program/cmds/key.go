package cmds

import (
	"github.com/spf13/cobra"

	"github.com/gooseberryway/gooseberryway/internal/program/client"
)

func newKey() *cobra.Command {
	parent, s := newOperatorCommand("key", "Callers' keys")
	parent.AddCommand(s.listCommand("keys"), s.createKeyCommand(), s.withdrawCommand())
	return parent
}

func (s *operatorCommand) createKeyCommand() *cobra.Command {
	var id string
	cmd := &cobra.Command{
		Use: "create ORGANISATION", Short: "Create a key and show it once", Args: withUsageError(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			change := &client.Change{}
			body := map[string]string{"organisation": args[0], "id": id}
			if err := s.admin.Post(cmd.Context(), "/keys", body, change); err != nil {
				return err
			}
			return s.reportChange(cmd, change)
		},
	}
	cmd.Flags().StringVar(&id, "id", "", "id of the key; one is chosen if it is empty")
	return cmd
}

func (s *operatorCommand) withdrawCommand() *cobra.Command {
	return &cobra.Command{
		Use: "withdraw ID", Short: "Withdraw a key on all daemons", Args: withUsageError(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			change := &client.Change{}
			if err := s.admin.Post(cmd.Context(), entityPath("keys", args[0])+"/withdraw", nil, change); err != nil {
				return err
			}
			return s.reportChange(cmd, change)
		},
	}
}

func newOperator() *cobra.Command {
	parent, s := newOperatorCommand("operator", "Operators and their keys")
	create := &cobra.Command{
		Use: "create ID ROLE SUBTREE", Short: "Create an operator with a role (viewer, editor, admin) on a subtree",
		Example: "  gooseberryway operator create amara admin /teams/alder",
		Args:    withUsageError(cobra.ExactArgs(3)),
		RunE: func(cmd *cobra.Command, args []string) error {
			change := &client.Change{}
			body := map[string]any{"id": args[0], "grants": []map[string]string{{"role": args[1], "subtree": args[2]}}}
			if err := s.admin.Post(cmd.Context(), "/operators", body, change); err != nil {
				return err
			}
			return s.reportChange(cmd, change)
		},
	}
	parent.AddCommand(s.listCommand("operators"), create)
	return parent
}
