package cmds

import (
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/gooseberryway/gooseberryway/internal/program/load"
)

const (
	defaultLoadDuration = 15 * time.Second
	minLoadDuration     = time.Second
)

var policies = []string{"prefix", "leastLoad", "roundRobin", "random"}

func newLoad() *cobra.Command {
	l := &load.Benchmark{}
	var faults, moves []string
	cmd := &cobra.Command{
		Use:   "load [--profile NAME] [--policy LIST] [--seed N] [--duration D] [--faults LIST] [--json FILE]",
		Short: "Measure routing policies on the same arrivals, with real daemons and stand-in engines on loopback",
		Example: "  gooseberryway load --profile consortium --policy prefix,leastLoad --seed 1\n" +
			"  gooseberryway load --profile spogulis --policy prefix --faults daemonsRestart --json -",
		Args: withUsageError(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := applyLoadFlags(l, faults, moves); err != nil {
				return &UsageError{Err: err}
			}
			l.Out = cmd.OutOrStdout()
			return l.Run(cmd.Context())
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&l.Profile, "profile", "consortium", "consortium, spogulis or a file in JSON")
	flags.StringSliceVar(&l.Policies, "policy", []string{"prefix", "leastLoad"}, "policies to compare: "+strings.Join(policies, ", "))
	flags.Uint64Var(&l.Seed, "seed", 1, "seed of the arrivals")
	flags.DurationVar(&l.Duration, "duration", defaultLoadDuration, "length of each run")
	flags.StringSliceVar(&faults, "faults", nil, "what goes wrong in the middle of each run: "+strings.Join(faultNames(), ", "))
	flags.StringSliceVar(&moves, "move", nil, "make moves in place of comparing policies: "+strings.Join(moveNames(), ", "))
	flags.StringVar(&l.ReportFile, "json", "", "file for the report in JSON; - prints only that to standard output")
	flags.StringVar(&l.PlotFile, "plot", "", "file for a plot, .svg or .png")
	return cmd
}

func faultNames() []string {
	names := make([]string, 0, len(load.Faults()))
	for _, f := range load.Faults() {
		names = append(names, string(f))
	}
	return names
}

func moveNames() []string {
	names := make([]string, 0, len(load.MoveKinds()))
	for _, k := range load.MoveKinds() {
		names = append(names, string(k))
	}
	return names
}

func applyLoadFlags(l *load.Benchmark, faults, moves []string) error {
	if l.Duration < minLoadDuration {
		return &FlagValueError{Flag: "duration", Allowed: "at least " + minLoadDuration.String()}
	}
	for _, p := range l.Policies {
		if !slices.Contains(policies, p) {
			return &FlagValueError{Flag: "policy", Allowed: "a list of " + strings.Join(policies, ", ")}
		}
	}
	for _, f := range faults {
		if !slices.Contains(faultNames(), f) {
			return &FlagValueError{Flag: "faults", Allowed: "a list of " + strings.Join(faultNames(), ", ")}
		}
		l.Faults = append(l.Faults, load.Fault(f))
	}
	for _, k := range moves {
		if !slices.Contains(moveNames(), k) {
			return &FlagValueError{Flag: "move", Allowed: "a list of " + strings.Join(moveNames(), ", ")}
		}
		l.Moves = append(l.Moves, load.MoveKind(k))
	}
	return nil
}
