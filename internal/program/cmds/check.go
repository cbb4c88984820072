package cmds

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/gooseberryway/gooseberryway/internal/program/setup"
)

// InvalidSettingsError says that a settings file has faults, which have been printed.
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
		Args:    usageArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if forEntry {
				return printFaults(cmd, setup.LoadInto(file, &setup.Entry{}))
			}
			_, err := setup.Load(file)
			return printFaults(cmd, err)
		},
	}
	settingsFlag(cmd, &file)
	cmd.Flags().BoolVar(&forEntry, "entry", false, "the settings are those of the command entry")
	return cmd
}

// settingsFlag adds the required flag that names the settings file.
func settingsFlag(cmd *cobra.Command, file *string) {
	cmd.Flags().StringVar(file, "settings", "", "settings file in JSON (required)")
	cmd.PreRunE = func(*cobra.Command, []string) error {
		if *file == "" {
			return &UsageError{Err: &MissingFlagError{Flag: "settings"}}
		}
		return nil
	}
}

// MissingFlagError names a required flag that was not given.
type MissingFlagError struct {
	Flag string
}

func (e *MissingFlagError) Error() string { return fmt.Sprintf("--%s is required", e.Flag) }

// printFaults prints the faults of a settings file, one a line, and returns a *UsageError for them.
func printFaults(cmd *cobra.Command, err error) error {
	var faulty *setup.SettingsError
	if !errors.As(err, &faulty) {
		return err
	}
	for _, fault := range faulty.Problems {
		fmt.Fprintln(cmd.OutOrStdout(), fault)
	}
	return &UsageError{Err: &InvalidSettingsError{File: faulty.File, Count: len(faulty.Problems)}}
}

// FlagValueError says that the value of a flag is not allowed.
type FlagValueError struct {
	Flag, Allowed string
}

func (e *FlagValueError) Error() string { return fmt.Sprintf("--%s must be %s", e.Flag, e.Allowed) }
