package moves

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Settings are the limits and times of moves. The zero value of a field stands for its default.
type Settings struct {
	// Steps are the shares that a move passes through; the last is 1000.
	Steps []ident.Permille `json:"stepsPermille,omitempty"`
	// MinSamples is the number of requests to the new version on each route before a step is judged good.
	MinSamples int64 `json:"minSamples,omitempty"`
	// MinStep is the least time in a step, in milliseconds.
	MinStep Millis `json:"minStepMs,omitempty"`
	// MaxSoak is the longest watch after the last step, in milliseconds.
	MaxSoak Millis `json:"maxSoakMs,omitempty"`
	// SlowPercent is how far above the old version's 95th percentile an answer counts as slow, in percent.
	SlowPercent int `json:"slowPercent,omitempty"`
}

// Millis is a time in milliseconds.
type Millis int64

// Duration returns the time as a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

func (s Settings) withDefaults() Settings {
	if !validSteps(s.Steps) {
		s.Steps = []ident.Permille{10, 50, 250, 500, wholePermille}
	}
	if s.MinSamples == 0 {
		s.MinSamples = 30
	}
	if s.MinStep == 0 {
		s.MinStep = 1000
	}
	if s.MaxSoak == 0 {
		s.MaxSoak = 600_000
	}
	if s.SlowPercent == 0 {
		s.SlowPercent = 25
	}
	return s
}
