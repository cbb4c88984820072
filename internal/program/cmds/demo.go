package cmds

import (
	"github.com/spf13/cobra"

	"github.com/gooseberryway/gooseberryway/internal/program/demo"
)

func newDemo() *cobra.Command {
	d := &demo.Demo{}
	cmd := &cobra.Command{
		Use:   "demo [--requests N] [--json]",
		Short: "Run a whole system on loopback, with stand-ins for engines and platform",
		Example: "  gooseberryway demo                  stay up and print a request to try\n" +
			"  gooseberryway demo --requests 200   send requests, verify the answers and stop",
		Args: withUsageError(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if d.Requests < 0 {
				return &UsageError{Err: &FlagValueError{Flag: "requests", Allowed: "0 or more"}}
			}
			d.Out = cmd.OutOrStdout()
			return d.Run(cmd.Context())
		},
	}
	cmd.Flags().IntVar(&d.Requests, "requests", 0, "number of requests to send; 0 stays up")
	cmd.Flags().BoolVar(&d.JSON, "json", false, "print JSON lines; logs go to standard error")
	return cmd
}
