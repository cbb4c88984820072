package cmds

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/gooseberryway/gooseberryway/internal/program/setup"
	"github.com/gooseberryway/gooseberryway/internal/standin/engine"
	"github.com/gooseberryway/gooseberryway/internal/standin/httpd"
	"github.com/gooseberryway/gooseberryway/internal/standin/kvstor"
	"github.com/gooseberryway/gooseberryway/internal/standin/logsvc"
	"github.com/gooseberryway/gooseberryway/internal/standin/plain"
	"github.com/gooseberryway/gooseberryway/internal/standin/vmlist"
	"github.com/gooseberryway/gooseberryway/internal/standin/wstore"
)

// standinConfig is the settings of a stand-in, from which its process is made.
type standinConfig interface {
	Process() httpd.Process
}

func newStandin() *cobra.Command {
	parent := &cobra.Command{
		Use: "standin", Short: "Run a stand-in of a system outside: engine, log, vms, weights, store or plain",
		Args: cobra.ArbitraryArgs, RunE: requireSubcommand,
	}
	for _, kind := range standinKinds() {
		parent.AddCommand(standinCommand(kind.name, kind.short, kind.config))
	}
	return parent
}

// standinKind is a stand-in that the command line can run. Its config function returns empty settings to decode into.
type standinKind struct {
	name, short string
	config      func() standinConfig
}

func standinKinds() []standinKind {
	return []standinKind{
		{"engine", "A model engine", func() standinConfig { return &engine.Config{} }},
		{"log", "The platform's log service", func() standinConfig { return &logsvc.Config{} }},
		{"vms", "The platform's VM list", func() standinConfig { return &vmlist.Config{} }},
		{"weights", "The platform's weight store", func() standinConfig { return &wstore.Config{} }},
		{"store", "The KV cache store", func() standinConfig { return &kvstor.Config{} }},
		{"plain", "A plain service", func() standinConfig { return &plain.Config{} }},
	}
}

func standinCommand(name, short string, config func() standinConfig) *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use: name + " --settings FILE", Short: short, Args: withUsageError(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg := config()
			if err := setup.LoadInto(file, cfg); err != nil {
				return printProblems(cmd, err)
			}
			process := cfg.Process()
			if err := process.Start(cmd.Context()); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s stand-in at %s\n", name, process.URL())
			<-cmd.Context().Done()
			return process.Close()
		},
	}
	settingsFlag(cmd, &file)
	return cmd
}
