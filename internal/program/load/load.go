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

// Benchmark is a measurement. Its fields are set before Run.
type Benchmark struct {
	// Profile is the name of a built-in profile or a file in JSON.
	Profile  string
	Policies []string
	Seed     uint64
	// Duration of each run in wall time.
	Duration time.Duration
	Faults   []Fault
	// Moves are the kinds of moves, each made in a run of its own with the first policy; empty for none.
	Moves []MoveKind
	// ReportFile is the file for the report, "-" for standard output; empty for none.
	ReportFile string
	// PlotFile is the file for the plot in SVG or PNG; empty for none.
	PlotFile string
	Out      io.Writer
}

// Report is the outcome of a measurement.
type Report struct {
	Profile         string                    `json:"profile"`
	Seed            uint64                    `json:"seed"`
	DurationSeconds float64                   `json:"seconds"`
	Faults          []Fault                   `json:"faults"`
	Policies        map[string]*PolicyMetrics `json:"policies"`
	// Moves tells what became of each move.
	Moves []*MoveResult `json:"moves"`
	// OmniscientBound bounds what a router could reach that knows everything.
	OmniscientBound *Metrics `json:"best"`
}

// UnknownProfileError names a profile that is neither built in nor a file.
type UnknownProfileError struct {
	Name string
	Err  error
}

func (e *UnknownProfileError) Error() string {
	return fmt.Sprintf("profile %s is neither consortium, spogulis nor a readable file: %v", e.Name, e.Err)
}

func (e *UnknownProfileError) Unwrap() error { return e.Err }

// Run measures each policy on the same arrivals and reports the figures. The error is an *UnknownProfileError, a
// *setup.SettingsError or that of a system that did not start.
func (l *Benchmark) Run(ctx context.Context) error {
	profile, err := l.profile()
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
		OmniscientBound: best(profile, trace),
	}
	for _, policy := range l.Policies {
		if len(l.Moves) > 0 {
			break
		}
		klog.InfoS("Run", "profile", profile.Name, "policy", policy, "seed", l.Seed, "requests", len(trace))
		r := &run{profile: profile, policy: policy, trace: trace, length: l.Duration, faults: l.Faults}
		figures, err := r.play(ctx)
		if err != nil {
			return err
		}
		report.Policies[policy] = figures
	}
	for _, kind := range l.Moves {
		klog.InfoS("Run", "profile", profile.Name, "move", kind, "seed", l.Seed)
		r := &run{profile: profile, policy: l.Policies[0], trace: trace, length: l.Duration, faults: l.Faults, move: kind}
		figures, err := r.play(ctx)
		if err != nil {
			return err
		}
		report.Moves = append(report.Moves, figures.Move)
	}
	report.compare()
	return l.publish(report)
}

func (l *Benchmark) profile() (*Profile, error) {
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

func (l *Benchmark) publish(report *Report) error {
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
