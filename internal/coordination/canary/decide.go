package canary

import (
	"fmt"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/coordination/moves"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// decisionInput holds everything that a decision on a rollout depends on.
type decisionInput struct {
	stage Stage
	// within is the time that the operators allow, elapsed the time since their order, stageAge that since the stage
	// was decided.
	within, elapsed, stageAge time.Duration
	verdict                   moves.Verdict
	// stopReason is why a daemon has stopped sending to the release; empty if none has.
	stopReason string
	// newReady is the number of upstreams of the release that take requests, oldRequests the number of requests in
	// progress at the others.
	newReady, oldRequests int
}

// decide returns the next stage, or nil if the rollout stays as it is.
func decide(in *decisionInput) *Stage {
	if in.stage.State.Ended() {
		return nil
	}
	next := in.stage
	switch {
	case in.stopReason != "":
		next.State, next.Share, next.Reason = view.RolloutRolledBack, 0, in.stopReason
	case in.newReady == 0 && in.elapsed > in.within:
		next.State, next.Share, next.Reason = view.RolloutRolledBack, 0, "no upstream of the release takes requests"
	case in.stage.Share == fullShare:
		if !in.mayComplete() {
			return nil
		}
		next.State, next.Reason = view.RolloutCompleted, "the release serves all requests"
	default:
		to := in.nextStep()
		if to == nil {
			return nil
		}
		next.Share = to.share
		next.Reason = fmt.Sprintf("%d of 1000 requests go to the release", to.share)
	}
	return &next
}

// nextStep returns the step to enter now, or nil.
func (in *decisionInput) nextStep() *step {
	for i := range steps {
		if steps[i].share <= in.stage.Share {
			continue
		}
		if in.newReady == 0 || !in.mayEndStep() {
			return nil
		}
		from := in.fraction(steps[i].from)
		if in.verdict.Suspicious {
			from += in.fraction(suspicionDelayFraction)
		}
		if in.elapsed < from {
			return nil
		}
		return &steps[i]
	}
	return nil
}

// mayEndStep reports whether the present step has lasted long enough. Before the first step, that is until the latencies
// of the old release are known.
func (in *decisionInput) mayEndStep() bool {
	if in.stage.Share == 0 {
		return in.verdict.HasBaseline || in.elapsed >= in.fraction(maxBaselineFraction)
	}
	return in.stageAge >= in.stepTime()
}

// stepTime returns the least time in the present step. A rollout that is late, because there was no leader for a while, takes
// shorter steps, unless there is evidence against the release.
func (in *decisionInput) stepTime() time.Duration {
	usual := min(minStepTime, in.within/shortStepDivisor)
	if in.verdict.Suspicious {
		return usual
	}
	left := 1
	for i := range steps {
		if steps[i].share > in.stage.Share {
			left++
		}
	}
	return min(usual, max(lateStepTime, (in.latestCompletion()-in.elapsed)/time.Duration(left)))
}

// latestCompletion returns the time since the order at which the rollout is completed in any case.
func (in *decisionInput) latestCompletion() time.Duration {
	return max(in.within-statusReserve, in.fraction(shortCompleteFraction))
}

// mayComplete reports whether the upstreams of other releases may be stopped.
func (in *decisionInput) mayComplete() bool {
	if in.stageAge < in.stepTime() {
		return false
	}
	if in.elapsed >= in.latestCompletion() {
		return true
	}
	return in.oldRequests == 0 && in.elapsed >= in.fraction(completeFraction)
}

func (in *decisionInput) fraction(f float64) time.Duration {
	return time.Duration(f * float64(in.within))
}
