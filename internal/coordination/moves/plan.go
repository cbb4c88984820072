package moves

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// soakWeight is the weight of the soak after the last step against that of one step.
const soakWeight = 2

// nextStep returns the step that follows the move's present one.
func (s Settings) nextStep(m *config.Move) int {
	if m.Share == 0 {
		return 0
	}
	return min(m.Step+1, len(s.Steps)-1)
}

// stepsLeft returns the number of steps from the given one to the last, the soak of which counts soakWeight.
func (s Settings) stepsLeft(step int) int {
	return len(s.Steps) - 1 - step + soakWeight
}

// planned returns how long a step lasts when the time from its begin to the deadline is spread over the steps left.
func (s Settings) planned(m *config.Move, toDeadline time.Duration) time.Duration {
	toDeadline -= toDeadline / marginPart
	weight := 1
	if m.State == config.MoveSoaking {
		weight = soakWeight
	}
	share := toDeadline * time.Duration(weight) / time.Duration(s.stepsLeft(m.Step))
	if m.State == config.MoveSoaking {
		share = min(share, s.MaxSoak.Duration())
	}
	return max(share, s.MinStepTime.Duration())
}

// shortest returns the least time in which the rest of a move can finish.
func (s Settings) shortest(m *config.Move, held time.Duration) time.Duration {
	if m.Share == 0 {
		return time.Duration(len(s.Steps)) * s.MinStepTime.Duration()
	}
	rest := time.Duration(len(s.Steps)-m.Step) * s.MinStepTime.Duration()
	if m.State == config.MovePaused {
		return rest
	}
	return max(0, rest-held)
}

// early returns the time after which a step that is judged good may end before its planned time.
func (s Settings) early(planned time.Duration) time.Duration {
	return max(s.MinStepTime.Duration(), planned/earlyPart)
}

// validSteps reports whether the shares rise to the whole.
func validSteps(steps []ident.Permille) bool {
	last := ident.Permille(0)
	for _, p := range steps {
		if p <= last {
			return false
		}
		last = p
	}
	return last == wholePermille
}
