package moves

import (
	"cmp"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Settings are the limits and times of moves. The zero value of a field stands for its default.
type Settings struct {
	// Steps are the shares that a move passes through, in thousandths; the last is 1000.
	Steps []ident.Permille `json:"stepsPermille,omitempty" validate:"omitempty,max=20,risesTo=1000"`
	// MinSamples is the number of requests to the new version on each route before a step can be judged good.
	MinSamples int64 `json:"minSamples,omitempty" validate:"min=0,max=1000000"`
	// MinStepTime is the least time in a step, in milliseconds.
	MinStepTime Millis `json:"minStepMs,omitempty" validate:"min=0,max=86400000"`
	// MaxSoak is the longest soak at the last step, in milliseconds.
	MaxSoak Millis `json:"maxSoakMs,omitempty" validate:"min=0,max=86400000"`
	// SlowMarginPercent is how far above the old version's 95th percentile an answer counts as slow, in percent.
	SlowMarginPercent int `json:"slowPercent,omitempty" validate:"min=0,max=1000"`
}

// Millis is a time in milliseconds.
type Millis int64

// Duration returns the time as a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// DefaultSettings returns the settings with every default.
func DefaultSettings() Settings {
	return Settings{
		Steps:             []ident.Permille{10, 50, 250, 500, fullSharePermille},
		MinSamples:        30,
		MinStepTime:       1000,
		MaxSoak:           600_000,
		SlowMarginPercent: 25,
	}
}

func (s Settings) withDefaults() Settings {
	defaults := DefaultSettings()
	if !validSteps(s.Steps) {
		s.Steps = defaults.Steps
	}
	s.MinSamples = cmp.Or(s.MinSamples, defaults.MinSamples)
	s.MinStepTime = cmp.Or(s.MinStepTime, defaults.MinStepTime)
	s.MaxSoak = cmp.Or(s.MaxSoak, defaults.MaxSoak)
	s.SlowMarginPercent = cmp.Or(s.SlowMarginPercent, defaults.SlowMarginPercent)
	return s
}
