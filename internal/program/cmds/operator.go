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

// Environment variables that stand for flags.
const (
	envServer = "GOOSEBERRYWAY_SERVER"
	envKey    = "GOOSEBERRYWAY_KEY" // #nosec G101 -- the name of a variable.
)

const (
	// waitPoll is how often a waiting command asks for progress.
	waitPoll = 500 * time.Millisecond
	// defaultWait bounds the wait for a change to be in force.
	defaultWait = time.Minute
)

// operator is what the commands of operators have in common.
type operator struct {
	admin client.AdminClient
	json  bool
	wait  bool
	limit time.Duration
}

// addTo gives a command the flags of all commands of operators.
func (s *operator) addTo(cmd *cobra.Command) {
	flags := cmd.PersistentFlags()
	flags.StringVar(&s.admin.Server, "server", os.Getenv(envServer), "address of a daemon's administration interface ($"+envServer+")")
	flags.StringVar(&s.admin.Key, "key", os.Getenv(envKey), "operator's key ($"+envKey+")")
	flags.StringVar(&s.admin.CAFile, "ca", "", "CA of the server's certificate in PEM")
	flags.BoolVar(&s.json, "json", false, "print JSON")
	flags.BoolVar(&s.wait, "wait", false, "wait until the change is in force or the move has ended")
	flags.DurationVar(&s.limit, "wait-limit", defaultWait, "longest wait")
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

// newOperatorCommand returns a parent command with the flags of operators.
func newOperatorCommand(use, short string) (*cobra.Command, *operator) {
	s := &operator{}
	cmd := &cobra.Command{Use: use, Short: short, Args: cobra.ArbitraryArgs, RunE: onlyCommands}
	s.addTo(cmd)
	return cmd, s
}

// NotInForceError says that a change was accepted but not in force within the wait.
type NotInForceError struct {
	Summary string
}

func (e *NotInForceError) Error() string { return "not in force yet: " + e.Summary }

// conclude prints a change and, if asked to, waits until it is in force.
func (s *operator) conclude(cmd *cobra.Command, change *client.Change) error {
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

func (s *operator) waitInForce(ctx context.Context, out io.Writer, p client.Progress) error {
	deadline := time.Now().Add(s.limit)
	for !p.InForce() {
		if time.Now().After(deadline) || !scope.Sleep(ctx, waitPoll) {
			return &NotInForceError{Summary: p.Summary}
		}
		last := p.Summary
		if err := s.admin.Get(ctx, fmt.Sprintf("/changes/%d", p.Offset), &p); err != nil {
			return err
		}
		if p.Summary != last {
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
