package moves

import (
	"fmt"
	"strings"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// lateReasonPrefix begins the reason of a move that can't finish by its deadline.
const lateReasonPrefix = "It can't be done by its deadline"

// decisionInput holds everything that a decision on a move depends on.
type decisionInput struct {
	move config.Move
	self ident.DaemonID
	// elected says that this daemon should own the move among the live ones (see electOwner).
	elected bool
	// ownerAbsentFor is the time since the owner was last live.
	ownerAbsentFor time.Duration
	verdict        Verdict
	// stopReason is why a daemon has stopped the version, "" if none has.
	stopReason string
	// precedingMove is another active move of one of the routes, which goes first; "" if there is none.
	precedingMove ident.MoveID
	// stageAge is how long the move has been in its state, step and share, on this daemon's clock.
	stageAge time.Duration
	now      time.Time
	// hasCapacity says that enough engines have loaded the version for the next share.
	hasCapacity bool
	// remainingLoadTime is how long the engines still need to load the version for all traffic.
	remainingLoadTime time.Duration
}

// decide returns the changed move, nil if it stays as it is.
func decide(in *decisionInput, settings Settings) *config.Move {
	if in.move.State.Ended() {
		return nil
	}
	if in.move.Owner != in.self {
		return decideTakeover(in)
	}
	if in.stopReason != "" {
		return takenBackMove(in, in.stopReason)
	}
	if next := decideStep(in, settings); next != nil {
		return next
	}
	return decideLateReason(in, settings)
}

func decideTakeover(in *decisionInput) *config.Move {
	if !in.elected || (in.move.Owner != "" && in.ownerAbsentFor < takeoverAfter) {
		return nil
	}
	next := in.move
	next.Owner, next.OwnerEpoch = in.self, 0
	return &next
}

func takenBackMove(in *decisionInput, reason string) *config.Move {
	next := in.move
	next.State, next.StateSince = config.MoveTakenBack, in.now
	next.Reason = fmt.Sprintf("Taken back to %s at %s: %s.", next.From, formatClock(in.now), reason)
	next.Share = 0
	return &next
}

func decideStep(in *decisionInput, settings Settings) *config.Move {
	if in.move.State == config.MoveRunning && in.precedingMove == "" && in.hasCapacity && mayEndStep(in, settings) {
		return advancedMove(in, settings)
	}
	if in.move.State == config.MoveSoaking && mayEndStep(in, settings) {
		return doneMove(in)
	}
	return nil
}

// mayEndStep reports whether the present step may end.
func mayEndStep(in *decisionInput, settings Settings) bool {
	planned := settings.plannedStepTime(&in.move, in.move.Deadline.Sub(in.now)+in.stageAge)
	if in.move.Share == 0 {
		return in.verdict.HasBaseline || in.stageAge >= min(planned, maxBaselineTime)
	}
	if in.verdict.Suspicious {
		return in.stageAge >= planned*suspiciousStepFactor
	}
	if in.move.State == config.MoveSoaking {
		return in.stageAge >= planned
	}
	if in.verdict.Finding == FindingGood {
		return in.stageAge >= settings.earlyStepTime(planned)
	}
	return in.stageAge >= planned
}

func advancedMove(in *decisionInput, settings Settings) *config.Move {
	next := in.move
	next.Step = settings.nextStep(&in.move)
	next.Share = settings.Steps[next.Step]
	next.StateSince = in.now
	next.Reason = fmt.Sprintf("%s gets %s since %s.", next.To, formatShare(next.Share), formatClock(in.now))
	if next.Share == fullSharePermille {
		next.State = config.MoveSoaking
		next.Reason = fmt.Sprintf("%s gets all requests but a control group since %s and is watched; %s is kept.", next.To, formatClock(in.now), next.From)
	}
	return &next
}

func doneMove(in *decisionInput) *config.Move {
	next := in.move
	next.State, next.StateSince = config.MoveDone, in.now
	next.Reason = fmt.Sprintf("Done at %s, %s: %s serves all requests.", formatClock(in.now), formatDeadlineMargin(in), next.To)
	return &next
}

func formatDeadlineMargin(in *decisionInput) string {
	margin := in.move.Deadline.Sub(in.now).Round(time.Second)
	if margin >= 0 {
		return margin.String() + " before its deadline"
	}
	return (-margin).String() + " after its deadline"
}

// decideLateReason changes the reason of the move when it becomes clear that it can't finish by its deadline, and
// when it can again.
func decideLateReason(in *decisionInput, settings Settings) *config.Move {
	needed := settings.minRemainingTime(&in.move, in.stageAge) + in.remainingLoadTime
	untilDeadline := in.move.Deadline.Sub(in.now)
	saysLate := strings.HasPrefix(in.move.Reason, lateReasonPrefix)
	if saysLate == (needed > untilDeadline) {
		return nil
	}
	next := in.move
	if saysLate {
		next.Reason = fmt.Sprintf("%s gets %s; it can be done by its deadline again.", next.To, formatShare(next.Share))
		return &next
	}
	next.Reason = fmt.Sprintf("%s: at %s it needed %s more and had %s; it goes on.",
		lateReasonPrefix, formatClock(in.now), needed.Round(time.Second), max(0, untilDeadline).Round(time.Second))
	if in.move.State == config.MovePaused {
		next.Reason = fmt.Sprintf("%s: it is paused, and at %s it needed %s more and had %s.",
			lateReasonPrefix, formatClock(in.now), needed.Round(time.Second), max(0, untilDeadline).Round(time.Second))
	}
	return &next
}

// formatClock formats a time for the reason of a move.
func formatClock(at time.Time) string {
	return at.UTC().Format("15:04:05") + " UTC"
}
