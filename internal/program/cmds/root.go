// Package cmds is the command line of gooseberryway.
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
	// ExitUsage is for wrong arguments and bad settings.
	ExitUsage = 2
)

// UsageError says that the command line or a settings file is wrong.
type UsageError struct {
	Err error
}

func (e *UsageError) Error() string { return e.Err.Error() }

func (e *UsageError) Unwrap() error { return e.Err }

// Execute runs the command line and returns the exit code.
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
		RunE:          onlyCommands,
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

// onlyCommands is what a command runs that has no use without one of its own commands: it shows its help.
func onlyCommands(cmd *cobra.Command, args []string) error {
	if len(args) > 0 {
		return &UsageError{Err: &UnknownCommandError{Name: args[0]}}
	}
	return cmd.Help()
}

// addLogFlags offers the verbosity of klog; its other flags keep their defaults.
func addLogFlags(root *cobra.Command) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	_ = flags.Set("logtostderr", "true")
	// An error is written once, not once for each severity below it.
	_ = flags.Set("one_output", "true")
	root.PersistentFlags().AddGoFlag(flags.Lookup("v"))
}

// usageArgs turns wrong arguments into a *UsageError.
func usageArgs(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if err := check(cmd, args); err != nil {
			return &UsageError{Err: err}
		}
		return nil
	}
}
