package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/program/setup"
)

// Benchmark compares routing policies, or tests moves, on one profile. Its fields must be set before Run.
type Benchmark struct {
	// Profile is the name of a built-in profile or the path of a JSON file.
	Profile  string
	Policies []string
	Seed     uint64
	// Duration is the length of each run in wall time.
	Duration time.Duration
	Faults   []Fault
	// Moves are the kinds of moves to test, each in its own run with the first policy. If there are any, policies are not
	// compared.
	Moves []MoveKind
	// ReportFile is the path for the report in JSON; "-" writes only that to Out; empty for none.
	ReportFile string
	// PlotFile is the path for the plot, .svg or .png; empty for none.
	PlotFile string
	Out      io.Writer
}

// Report holds the results of a Benchmark.
type Report struct {
	Profile         string                    `json:"profile"`
	Seed            uint64                    `json:"seed"`
	DurationSeconds float64                   `json:"seconds"`
	Faults          []Fault                   `json:"faults"`
	Policies        map[string]*PolicyMetrics `json:"policies"`
	// Moves are the results of the moves, in the order of Benchmark.Moves.
	Moves []*MoveResult `json:"moves"`
	// OmniscientBound is an upper bound for any router: one that knows the contents of all caches and never queues prompts.
	OmniscientBound *Metrics `json:"best"`
}

// UnknownProfileError is the error for a profile that is neither built in nor a readable file.
type UnknownProfileError struct {
	Name string
	Err  error
}

func (e *UnknownProfileError) Error() string {
	return fmt.Sprintf("profile %s is neither consortium, spogulis nor a readable file: %v", e.Name, e.Err)
}

func (e *UnknownProfileError) Unwrap() error { return e.Err }

// Run measures each policy or move on the same arrivals and writes the report. It returns an *UnknownProfileError or a
// *setup.SettingsError for an invalid profile, else the error of a system that did not start, of a move or of writing the
// report.
func (l *Benchmark) Run(ctx context.Context) error {
	profile, err := l.loadProfile()
	if err != nil {
		return err
	}
	trace := makeTrace(profile, l.Seed, l.Duration)
	report := &Report{
		Profile:         profile.Name,
		Seed:            l.Seed,
		DurationSeconds: l.Duration.Seconds(),
		Faults:          l.Faults,
		Policies:        map[string]*PolicyMetrics{},
		Moves:           []*MoveResult{},
		OmniscientBound: omniscientBound(profile, trace),
	}
	for _, policy := range l.Policies {
		if len(l.Moves) > 0 {
			break
		}
		klog.InfoS("Run", "profile", profile.Name, "policy", policy, "seed", l.Seed, "requests", len(trace))
		r := &run{profile: profile, policy: policy, trace: trace, duration: l.Duration, faults: l.Faults}
		metrics, err := r.measure(ctx)
		if err != nil {
			return err
		}
		report.Policies[policy] = metrics
	}
	for _, kind := range l.Moves {
		klog.InfoS("Run", "profile", profile.Name, "move", kind, "seed", l.Seed)
		r := &run{profile: profile, policy: l.Policies[0], trace: trace, duration: l.Duration, faults: l.Faults, move: kind}
		metrics, err := r.measure(ctx)
		if err != nil {
			return err
		}
		report.Moves = append(report.Moves, metrics.Move)
	}
	report.setGainShares()
	return l.writeReport(report)
}

func (l *Benchmark) loadProfile() (*Profile, error) {
	if p, ok := Profiles()[l.Profile]; ok {
		return &p, nil
	}
	if _, err := os.Stat(l.Profile); err != nil {
		return nil, &UnknownProfileError{Name: l.Profile, Err: err}
	}
	p := &Profile{}
	if err := setup.LoadInto(l.Profile, p); err != nil {
		return nil, err
	}
	return p, nil
}

func (l *Benchmark) writeReport(report *Report) error {
	if l.PlotFile != "" {
		if err := plotReport(report, l.PlotFile); err != nil {
			return err
		}
	}
	if l.ReportFile == "-" {
		return json.NewEncoder(l.Out).Encode(report)
	}
	printReport(l.Out, report)
	if l.ReportFile == "" {
		return nil
	}
	raw, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(l.ReportFile, append(raw, '\n'), reportMode)
}
