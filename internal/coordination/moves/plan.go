package moves

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// soakStepWeight is the weight of the last step, in which the new version soaks, relative to any other step.
const soakStepWeight = 2

// nextStep returns the index of the step after the move's present one.
func (s Settings) nextStep(m *config.Move) int {
	if m.Share == 0 {
		return 0
	}
	return min(m.Step+1, len(s.Steps)-1)
}

// remainingStepWeight returns the sum of the weights of the steps from the given one on: 1 each, and soakStepWeight for
// the last.
func (s Settings) remainingStepWeight(step int) int {
	return len(s.Steps) - 1 - step + soakStepWeight
}

// plannedStepTime returns how long a step lasts when the time from its start to the deadline, less a reserve, is
// divided over the remaining steps.
func (s Settings) plannedStepTime(m *config.Move, toDeadline time.Duration) time.Duration {
	toDeadline -= toDeadline / deadlineMarginDivisor
	weight := 1
	if m.State == config.MoveSoaking {
		weight = soakStepWeight
	}
	stepTime := toDeadline * time.Duration(weight) / time.Duration(s.remainingStepWeight(m.Step))
	if m.State == config.MoveSoaking {
		stepTime = min(stepTime, s.MaxSoak.Duration())
	}
	return max(stepTime, s.MinStepTime.Duration())
}

// minRemainingTime returns the least time in which the rest of a move can finish.
func (s Settings) minRemainingTime(m *config.Move, stageAge time.Duration) time.Duration {
	if m.Share == 0 {
		return time.Duration(len(s.Steps)) * s.MinStepTime.Duration()
	}
	remaining := time.Duration(len(s.Steps)-m.Step) * s.MinStepTime.Duration()
	if m.State == config.MovePaused {
		return remaining
	}
	return max(0, remaining-stageAge)
}

// earlyStepTime returns the time after which a step with a good verdict may end before its planned time.
func (s Settings) earlyStepTime(planned time.Duration) time.Duration {
	return max(s.MinStepTime.Duration(), planned/earlyEndDivisor)
}

// validSteps reports whether the shares rise to all traffic.
func validSteps(steps []ident.Permille) bool {
	last := ident.Permille(0)
	for _, p := range steps {
		if p <= last {
			return false
		}
		last = p
	}
	return last == fullSharePermille
}
