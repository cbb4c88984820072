package cmds

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/gooseberryway/gooseberryway/internal/program/setup"
)

// InvalidSettingsError reports a settings file with problems. The problems have been printed before it is returned.
type InvalidSettingsError struct {
	File  string
	Count int
}

func (e *InvalidSettingsError) Error() string {
	return fmt.Sprintf("%s has %d faults", e.File, e.Count)
}

func newCheck() *cobra.Command {
	var file string
	var forEntry bool
	cmd := &cobra.Command{
		Use:     "check --settings FILE",
		Short:   "Check a settings file and print each fault",
		Example: "  gooseberryway check --settings daemon.json\n  gooseberryway check --entry --settings entry.json",
		Args:    withUsageError(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if forEntry {
				return printProblems(cmd, setup.LoadInto(file, &setup.Entry{}))
			}
			_, err := setup.Load(file)
			return printProblems(cmd, err)
		},
	}
	settingsFlag(cmd, &file)
	cmd.Flags().BoolVar(&forEntry, "entry", false, "the settings are those of the command entry")
	return cmd
}

// settingsFlag adds the required flag --settings, which names the settings file.
func settingsFlag(cmd *cobra.Command, file *string) {
	cmd.Flags().StringVar(file, "settings", "", "settings file in JSON (required)")
	cmd.PreRunE = func(*cobra.Command, []string) error {
		if *file == "" {
			return &UsageError{Err: &MissingFlagError{Flag: "settings"}}
		}
		return nil
	}
}

// MissingFlagError reports a required flag that is not set.
type MissingFlagError struct {
	Flag string
}

func (e *MissingFlagError) Error() string { return fmt.Sprintf("--%s is required", e.Flag) }

// printProblems prints the problems of a settings file, one per line, and returns a *UsageError.
// Any other error, nil included, is returned unchanged.
func printProblems(cmd *cobra.Command, err error) error {
	var settingsErr *setup.SettingsError
	if !errors.As(err, &settingsErr) {
		return err
	}
	for _, problem := range settingsErr.Problems {
		fmt.Fprintln(cmd.OutOrStdout(), problem)
	}
	return &UsageError{Err: &InvalidSettingsError{File: settingsErr.File, Count: len(settingsErr.Problems)}}
}

// FlagValueError reports a flag whose value is not allowed.
type FlagValueError struct {
	Flag, Allowed string
}

func (e *FlagValueError) Error() string { return fmt.Sprintf("--%s must be %s", e.Flag, e.Allowed) }
