// Package demo runs a whole system on loopback and sends it requests whose answers are verified.
package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/gooseberryway/gooseberryway/internal/program/local"
	"github.com/gooseberryway/gooseberryway/internal/standin/engine"
	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

const (
	daemons = 6
	engines = 6
	model   = "girth"
	version = "girth-1"
	// timeScale makes the engines ten times as fast as real ones.
	timeScale = 0.1
	// rate and burst of each organisation, large enough for the demo.
	rate  = 2_000_000
	burst = 8_000_000
)

// Demo is a run of the demo. Its fields are set before Run.
type Demo struct {
	// Requests is the number of requests to send; 0 stays up until the context ends.
	Requests int
	// JSON prints machine-readable lines in place of text.
	JSON bool
	Out  io.Writer
}

// FailedError says that not every request was answered once and whole.
type FailedError struct {
	Summary Summary
}

func (e *FailedError) Error() string {
	s := e.Summary
	return fmt.Sprintf("of %d requests %d were answered and %d were whole; duplicated %d, refused %d, lost %d",
		s.Sent, s.Answered, s.Whole, s.Duplicated, s.Refused, s.Lost)
}

// info is the first line of the demo in JSON.
type info struct {
	Addresses      []string                        `json:"addresses"`
	AdminAddresses []string                        `json:"adminAddresses"`
	Keys           map[ident.OrganisationID]string `json:"keys"`
	OperatorKey    string                          `json:"operatorKey"`
	Models         []ident.ModelID                 `json:"models"`
}

// Run starts the system, sends the requests or waits, and stops it. It returns a *FailedError unless every request
// was answered once and whole.
func (d *Demo) Run(ctx context.Context) error {
	system := &local.System{
		DaemonCount:    daemons,
		FailureDomains: []ident.FailureDomain{"riga-1", "riga-2", "riga-3"},
		EngineCount:    engines,
		EngineSettings: engine.Settings{TimeScale: timeScale},
		Model:          model,
		Version:        version,
		Organisations: []config.Organisation{
			{ID: "survey", Team: "alder", Rate: rate, Burst: burst},
			{ID: "mirror", Team: "birch", Rate: rate, Burst: burst},
		},
	}
	defer system.Close()
	if err := system.Start(ctx); err != nil {
		return err
	}
	d.announce(system)
	if d.Requests == 0 {
		<-ctx.Done()
		return nil
	}
	traffic := &traffic{system: system, requests: d.Requests, progress: d.progress}
	summary := traffic.run(ctx)
	d.conclude(summary)
	if !summary.good() {
		return &FailedError{Summary: summary}
	}
	return nil
}

func (d *Demo) announce(system *local.System) {
	i := info{
		Addresses:      system.Addresses(),
		AdminAddresses: system.AdminAddresses(),
		Keys:           system.Keys,
		OperatorKey:    system.OperatorKey,
		Models:         []ident.ModelID{model},
	}
	if d.JSON {
		_ = json.NewEncoder(d.Out).Encode(i)
		return
	}
	fmt.Fprintf(d.Out, "%d daemons serve callers at %s\n", daemons, strings.Join(i.Addresses, " "))
	fmt.Fprintf(d.Out, "operators use %s with the key %s\n", strings.Join(i.AdminAddresses, " "), i.OperatorKey)
	for _, org := range organisations(system) {
		fmt.Fprintf(d.Out, "organisation %s has the key %s\n", org, system.Keys[org])
	}
	fmt.Fprintf(d.Out, "\ntry:\n  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' \\\n"+
		"    -d '{\"model\":\"%s\",\"stream\":true,\"max_tokens\":20,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'\n\n",
		i.Addresses[0], system.Keys["survey"], model)
}

func organisations(system *local.System) []ident.OrganisationID {
	var ids []ident.OrganisationID
	for id := range system.Keys {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (d *Demo) progress(done int) {
	if !d.JSON {
		fmt.Fprintf(d.Out, "%d of %d answered\n", done, d.Requests)
	}
}

func (d *Demo) conclude(s Summary) {
	if d.JSON {
		_ = json.NewEncoder(d.Out).Encode(s)
		return
	}
	fmt.Fprintf(d.Out, "sent %d, answered %d, whole %d, duplicated %d, refused %d, lost %d\n"+
		"prefix hit rate %.1f %%, time to first token %.1f ms (median), %.1f ms (99 in 100)\n",
		s.Sent, s.Answered, s.Whole, s.Duplicated, s.Refused, s.Lost, 100*s.PrefixHitRate, s.TTFTP50Ms, s.TTFTP99Ms)
}
