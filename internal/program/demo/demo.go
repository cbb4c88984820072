// Package demo runs a complete system on loopback, sends a given number of completion requests through it, and verifies
// that each is answered once and completely.
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
	daemonCount = 6
	engineCount = 6
	model       = "girth"
	version     = "girth-1"
	// timeScale makes the stand-in engines ten times as fast as real ones.
	timeScale = 0.1
	// organisationRate (tokens/s) and organisationBurst (tokens) are the rate limit of each organisation. They are so large
	// that the demo does not reach them.
	organisationRate  = 2_000_000
	organisationBurst = 8_000_000
)

// Demo holds the settings of a run. Its fields are set before Run.
type Demo struct {
	// Requests is the number of requests to send. With 0, Run sends none and keeps the system up until its context ends.
	Requests int
	// JSON makes the output JSON lines instead of text.
	JSON bool
	Out  io.Writer
}

// FailedError reports that not every request was answered exactly once and completely.
type FailedError struct {
	Summary Summary
}

func (e *FailedError) Error() string {
	s := e.Summary
	return fmt.Sprintf("of %d requests %d were answered and %d were whole; duplicated %d, refused %d, lost %d",
		s.Sent, s.Answered, s.Complete, s.Duplicated, s.Rejected, s.Lost)
}

// connectionInfo is the first line of the JSON output: the addresses and keys with which the system can be used.
type connectionInfo struct {
	Addresses      []string                        `json:"addresses"`
	AdminAddresses []string                        `json:"adminAddresses"`
	Keys           map[ident.OrganisationID]string `json:"keys"`
	OperatorKey    string                          `json:"operatorKey"`
	Models         []ident.ModelID                 `json:"models"`
}

// Run starts the system, sends the requests or waits for the end of the context, and stops the system. It returns a
// *FailedError if a request was not answered exactly once and completely.
func (d *Demo) Run(ctx context.Context) error {
	system := &local.System{
		DaemonCount:    daemonCount,
		FailureDomains: []ident.FailureDomain{"riga-1", "riga-2", "riga-3"},
		EngineCount:    engineCount,
		EngineSettings: engine.Settings{TimeScale: timeScale},
		Model:          model,
		Version:        version,
		Organisations: []config.Organisation{
			{ID: "survey", Team: "alder", Rate: organisationRate, Burst: organisationBurst},
			{ID: "mirror", Team: "birch", Rate: organisationRate, Burst: organisationBurst},
		},
	}
	defer system.Close()
	if err := system.Start(ctx); err != nil {
		return err
	}
	d.printConnectionInfo(system)
	if d.Requests == 0 {
		<-ctx.Done()
		return nil
	}
	traffic := &traffic{system: system, requests: d.Requests, progress: d.printProgress}
	summary := traffic.run(ctx)
	d.printSummary(summary)
	if !summary.succeeded() {
		return &FailedError{Summary: summary}
	}
	return nil
}

func (d *Demo) printConnectionInfo(system *local.System) {
	i := connectionInfo{
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
	fmt.Fprintf(d.Out, "%d daemons serve callers at %s\n", daemonCount, strings.Join(i.Addresses, " "))
	fmt.Fprintf(d.Out, "operators use %s with the key %s\n", strings.Join(i.AdminAddresses, " "), i.OperatorKey)
	for _, org := range sortedOrganisations(system) {
		fmt.Fprintf(d.Out, "organisation %s has the key %s\n", org, system.Keys[org])
	}
	fmt.Fprintf(d.Out, "\ntry:\n  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' \\\n"+
		"    -d '{\"model\":\"%s\",\"stream\":true,\"max_tokens\":20,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'\n\n",
		i.Addresses[0], system.Keys["survey"], model)
}

func sortedOrganisations(system *local.System) []ident.OrganisationID {
	var ids []ident.OrganisationID
	for id := range system.Keys {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (d *Demo) printProgress(done int) {
	if !d.JSON {
		fmt.Fprintf(d.Out, "%d of %d answered\n", done, d.Requests)
	}
}

func (d *Demo) printSummary(s Summary) {
	if d.JSON {
		_ = json.NewEncoder(d.Out).Encode(s)
		return
	}
	fmt.Fprintf(d.Out, "sent %d, answered %d, whole %d, duplicated %d, refused %d, lost %d\n"+
		"prefix hit rate %.1f %%, time to first token %.1f ms (median), %.1f ms (99 in 100)\n",
		s.Sent, s.Answered, s.Complete, s.Duplicated, s.Rejected, s.Lost, 100*s.PrefixHitRate, s.TTFTP50Ms, s.TTFTP99Ms)
}
