package cmds

import (
	"runtime/debug"

	"github.com/spf13/cobra"

	"github.com/gooseberryway/gooseberryway/internal/program/daemon"
	"github.com/gooseberryway/gooseberryway/internal/program/setup"
	"github.com/gooseberryway/gooseberryway/internal/state/memory"
)

func newServe() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:     "serve --settings FILE",
		Short:   "Run the daemon of an entry VM until it is told to stop (SIGTERM)",
		Example: "  gooseberryway serve --settings daemon.json",
		Args:    withUsageError(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			settings, err := setup.Load(file)
			if err != nil {
				return printProblems(cmd, err)
			}
			if settings.Resources.MemoryMB > 0 {
				debug.SetMemoryLimit(int64(settings.Resources.MemoryMB * bytesPerMB * memory.CollectorShare))
			}
			return (&daemon.Daemon{Settings: settings}).Run(cmd.Context())
		},
	}
	settingsFlag(cmd, &file)
	return cmd
}
