package cmds

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/spf13/cobra"

	"github.com/gooseberryway/gooseberryway/internal/program/client"
	"github.com/gooseberryway/gooseberryway/internal/program/daemon"
	"github.com/gooseberryway/gooseberryway/internal/state/burn"
)

func newStatus() *cobra.Command {
	cmd, s := newOperatorCommand("status", "Tell what is wrong, and how daemons, engines and moves are")
	cmd.Args = withUsageError(cobra.NoArgs)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		var st daemon.Status
		if err := s.admin.Get(cmd.Context(), "/status", &st); err != nil {
			return err
		}
		if s.json {
			return printJSON(cmd.OutOrStdout(), st)
		}
		printStatus(cmd.OutOrStdout(), &st)
		return nil
	}
	return cmd
}

func printStatus(w io.Writer, st *daemon.Status) {
	if len(st.Problems) == 0 {
		fmt.Fprintln(w, "all is well")
	}
	for _, problem := range st.Problems {
		fmt.Fprintln(w, "!", problem)
	}
	fmt.Fprintf(w, "\nseen by %s: %s; %d open requests\n", st.Daemon, st.Lease, st.OpenRequests)
	for _, m := range st.Members {
		fmt.Fprintf(w, "daemon %s in %s: %s, answers %t, applied %d\n", m.ID, m.FailureDomain, m.State, m.Live, m.Applied)
	}
	for _, e := range st.Engines {
		fmt.Fprintf(w, "engine %s of %s: versions %v, %d tokens queued, failures %d\n", e.ID, e.Model, e.Versions, e.QueuedTokens, e.Failures)
	}
	for _, m := range st.Moves {
		fmt.Fprintln(w, m.Summary)
	}
}

func newReport() *cobra.Command {
	parent, s := newOperatorCommand("report", "Reports")
	parent.AddCommand(&cobra.Command{
		Use: "burn", Short: "How fast the error budgets of the service-level objectives are used", Args: withUsageError(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			var r burn.Report
			if err := s.admin.Get(cmd.Context(), "/burn", &r); err != nil {
				return err
			}
			if s.json {
				return printJSON(cmd.OutOrStdout(), r)
			}
			return r.WriteTable(cmd.OutOrStdout())
		},
	})
	return parent
}

func newSettings() *cobra.Command {
	parent, s := newOperatorCommand("settings", "Settings of teams and of the platform")
	parent.AddCommand(
		&cobra.Command{
			Use: "get PATH", Short: "Show the settings at and below a path", Args: withUsageError(cobra.ExactArgs(1)),
			RunE: func(cmd *cobra.Command, args []string) error {
				var values []json.RawMessage
				if err := s.admin.Get(cmd.Context(), "/settings"+args[0], &values); err != nil {
					return err
				}
				return printJSON(cmd.OutOrStdout(), values)
			},
		},
		&cobra.Command{
			Use: "set PATH JSON", Short: "Set a setting",
			Example: `  gooseberryway settings set /teams/alder/settings/retry '{"limit":2}'`,
			Args:    withUsageError(cobra.ExactArgs(2)),
			RunE: func(cmd *cobra.Command, args []string) error {
				return s.changeSetting(cmd, http.MethodPut, args[0], json.RawMessage(args[1]))
			},
		},
		&cobra.Command{
			Use: "delete PATH", Short: "Delete a setting", Args: withUsageError(cobra.ExactArgs(1)),
			RunE: func(cmd *cobra.Command, args []string) error {
				return s.changeSetting(cmd, http.MethodDelete, args[0], nil)
			},
		})
	return parent
}

// changeSetting sets or deletes a setting, conditional on the revision that it reads before (0 for a new setting).
func (s *operatorCommand) changeSetting(cmd *cobra.Command, method, path string, value json.RawMessage) error {
	if method == http.MethodPut && !json.Valid(value) {
		return &UsageError{Err: &FieldError{Argument: string(value)}}
	}
	var current []struct {
		Path     string `json:"path"`
		Revision uint64 `json:"revision"`
	}
	if err := s.admin.Get(cmd.Context(), "/settings"+path, &current); err != nil {
		return err
	}
	var baseRevision uint64
	for _, c := range current {
		if c.Path == path {
			baseRevision = c.Revision
		}
	}
	change := &client.Change{}
	var err error
	if method == http.MethodPut {
		err = s.admin.Put(cmd.Context(), "/settings"+path, baseRevision, value, change)
	} else {
		err = s.admin.Delete(cmd.Context(), "/settings"+path, baseRevision, change)
	}
	if err != nil {
		return err
	}
	return s.reportChange(cmd, change)
}
