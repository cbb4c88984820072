package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/gooseberryway/gooseberryway/internal/program/client"
	"github.com/gooseberryway/gooseberryway/internal/state/scope"
)

// Environment variables that hold the default values of flags.
const (
	envServer = "GOOSEBERRYWAY_SERVER"
	envKey    = "GOOSEBERRYWAY_KEY" // #nosec G101 -- the name of a variable.
)

const (
	// waitPollInterval is the interval at which a waiting command polls the admin API.
	waitPollInterval = 500 * time.Millisecond
	// defaultWaitLimit is the default of --wait-limit.
	defaultWaitLimit = time.Minute
)

// operatorCommand holds the admin client and the flags that all operator commands share.
type operatorCommand struct {
	admin client.AdminClient
	json  bool
	// wait is set if the command waits until a change is in force or a move has ended, for waitLimit at most.
	wait      bool
	waitLimit time.Duration
}

// addFlags adds the shared flags to a command and makes it require --server and --key, unless it only groups subcommands.
func (s *operatorCommand) addFlags(cmd *cobra.Command) {
	flags := cmd.PersistentFlags()
	flags.StringVar(&s.admin.Server, "server", os.Getenv(envServer), "address of a daemon's administration interface ($"+envServer+")")
	flags.StringVar(&s.admin.Key, "key", os.Getenv(envKey), "operator's key ($"+envKey+")")
	flags.StringVar(&s.admin.CAFile, "ca", "", "CA of the server's certificate in PEM")
	flags.BoolVar(&s.json, "json", false, "print JSON")
	flags.BoolVar(&s.wait, "wait", false, "wait until the change is in force or the move has ended")
	flags.DurationVar(&s.waitLimit, "wait-limit", defaultWaitLimit, "longest wait")
	cmd.PersistentPreRunE = func(called *cobra.Command, _ []string) error {
		if called.HasSubCommands() {
			return nil
		}
		if s.admin.Server == "" {
			return &UsageError{Err: &MissingFlagError{Flag: "server"}}
		}
		if s.admin.Key == "" {
			return &UsageError{Err: &MissingFlagError{Flag: "key"}}
		}
		return nil
	}
}

// newOperatorCommand returns a parent command that has the flags of all operator commands.
func newOperatorCommand(use, short string) (*cobra.Command, *operatorCommand) {
	s := &operatorCommand{}
	cmd := &cobra.Command{Use: use, Short: short, Args: cobra.ArbitraryArgs, RunE: requireSubcommand}
	s.addFlags(cmd)
	return cmd, s
}

// NotInForceError reports a change that was accepted but was not in force within --wait-limit.
type NotInForceError struct {
	Summary string
}

func (e *NotInForceError) Error() string { return "not in force yet: " + e.Summary }

// reportChange prints a change and, with --wait, waits until it is in force.
func (s *operatorCommand) reportChange(cmd *cobra.Command, change *client.Change) error {
	out := cmd.OutOrStdout()
	if s.json {
		if err := printJSON(out, change); err != nil {
			return err
		}
	} else {
		fmt.Fprintf(out, "%s at revision %d\n", change.Path, change.Revision)
		if change.Secret != "" {
			fmt.Fprintf(out, "key, shown only now: %s\n", change.Secret)
		}
		fmt.Fprintln(out, change.Progress.Summary)
	}
	if !s.wait {
		return nil
	}
	return s.waitInForce(cmd.Context(), cmd.ErrOrStderr(), change.Progress)
}

func (s *operatorCommand) waitInForce(ctx context.Context, out io.Writer, p client.Progress) error {
	deadline := time.Now().Add(s.waitLimit)
	for !p.InForce() {
		if time.Now().After(deadline) || !scope.Sleep(ctx, waitPollInterval) {
			return &NotInForceError{Summary: p.Summary}
		}
		lastSummary := p.Summary
		if err := s.admin.Get(ctx, fmt.Sprintf("/changes/%d", p.Offset), &p); err != nil {
			return err
		}
		if p.Summary != lastSummary {
			fmt.Fprintln(out, p.Summary)
		}
	}
	return nil
}

func printJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
