// Package cmds is the command line of gooseberryway: it parses commands and flags, runs the daemon, the stand-ins, the
// load tool or a request to the admin API, and maps errors to exit codes.
package cmds

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
	"k8s.io/klog/v2"
)

// Exit codes.
const (
	ExitOK     = 0
	ExitFailed = 1
	// ExitUsage means wrong arguments or an invalid settings file.
	ExitUsage = 2
)

// UsageError wraps an error of the command line or of a settings file. The exit code is ExitUsage.
type UsageError struct {
	Err error
}

func (e *UsageError) Error() string { return e.Err.Error() }

func (e *UsageError) Unwrap() error { return e.Err }

// Execute runs the command line and returns the exit code. SIGINT and SIGTERM cancel the context of the command.
func Execute(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := newRoot()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.ExecuteContext(ctx)
	klog.Flush()
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(errOut, "gooseberryway:", err)
	var usage *UsageError
	if errors.As(err, &usage) {
		return ExitUsage
	}
	return ExitFailed
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "gooseberryway",
		Short:         "Routes language-model traffic that carries long shared prompts",
		SilenceErrors: true,
		SilenceUsage:  true,
		Args:          cobra.ArbitraryArgs,
		RunE:          requireSubcommand,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &UsageError{Err: err} })
	addLogFlags(root)
	root.AddCommand(newServe(), newEntry(), newExplain(), newCheck(), newDemo(), newLoad(), newStandin())
	root.AddCommand(newKey(), newOperator(), newMove(), newSettings(), newStatus(), newReport())
	root.AddCommand(entityCommands()...)
	return root
}

// UnknownCommandError names a command that does not exist.
type UnknownCommandError struct {
	Name string
}

func (e *UnknownCommandError) Error() string { return "unknown command " + e.Name }

// requireSubcommand is run by a command that only groups subcommands: it prints the help, or returns a *UsageError for an
// unknown subcommand.
func requireSubcommand(cmd *cobra.Command, args []string) error {
	if len(args) > 0 {
		return &UsageError{Err: &UnknownCommandError{Name: args[0]}}
	}
	return cmd.Help()
}

// addLogFlags adds klog's verbosity flag -v. klog's other flags are not on the command line.
func addLogFlags(root *cobra.Command) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	_ = flags.Set("logtostderr", "true")
	// By default klog writes an error also to the logs of all lower severities.
	_ = flags.Set("one_output", "true")
	root.PersistentFlags().AddGoFlag(flags.Lookup("v"))
}

// withUsageError wraps the error of an argument check in a *UsageError.
func withUsageError(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if err := check(cmd, args); err != nil {
			return &UsageError{Err: err}
		}
		return nil
	}
}
