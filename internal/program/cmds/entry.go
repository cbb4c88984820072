package cmds

import (
	"runtime/debug"

	"github.com/spf13/cobra"
	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/program/entry"
	"github.com/gooseberryway/gooseberryway/internal/program/setup"
	"github.com/gooseberryway/gooseberryway/internal/state/logbuf"
	"github.com/gooseberryway/gooseberryway/internal/state/memory"
)

const bytesPerMB = 1e6

func newEntry() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:     "entry --settings FILE",
		Short:   "Run the daemon of an entry VM on a platform that publishes configuration and upstreams (SIGTERM stops it)",
		Example: "  gooseberryway entry --settings entry.json",
		Args:    withUsageError(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			load := func() (*setup.Entry, error) {
				s := &setup.Entry{}
				return s, setup.LoadInto(file, s)
			}
			settings, err := load()
			if err != nil {
				return printProblems(cmd, err)
			}
			if settings.Resources.MemoryMB > 0 {
				debug.SetMemoryLimit(int64(settings.Resources.MemoryMB * bytesPerMB * memory.CollectorShare))
			}
			logs := &logbuf.Writer{Out: cmd.OutOrStdout()}
			logs.Start()
			defer logs.Close()
			klog.LogToStderr(false)
			klog.SetOutput(logs)
			return (&entry.Daemon{Settings: settings, Reload: load}).Run(cmd.Context())
		},
	}
	settingsFlag(cmd, &file)
	return cmd
}
