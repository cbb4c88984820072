package moves

import (
	"fmt"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// verdict compares all scores of a move with their alarm thresholds.
func (e *moveEvidence) verdict(split *moveSplit, settings Settings) Verdict {
	v := Verdict{Finding: FindingUndecided}
	worstKey, worstFraction := scoreKey{}, 0.0
	suspicious := map[groupKey]bool{}
	for key, score := range e.scores {
		fraction := score.value() / e.alarmThreshold(key)
		if fraction > suspicionThreshold {
			v.Suspicious = true
			suspicious[key.groupKey] = suspicious[key.groupKey] || key.signal == signalFailure || !e.inWarmUp()
		}
		if fraction > worstFraction {
			worstKey, worstFraction = key, fraction
		}
	}
	e.grantConfirmationProbes(split, suspicious)
	v.HasBaseline = e.hasBaseline()
	for _, n := range e.samples {
		v.Samples += n
	}
	if worstFraction >= 1 {
		v.Finding = FindingBad
		v.Reason = e.badReason(split, worstKey)
		return v
	}
	if !v.Suspicious && e.hasEnoughSamples(settings.MinSamples) {
		v.Finding = FindingGood
	}
	return v
}

// alarmThreshold returns the evidence, in nats, at which a score says that the version is bad.
func (e *moveEvidence) alarmThreshold(key scoreKey) float64 {
	alarm := float64(failureAlarmNats)
	if key.signal != signalFailure {
		alarm = e.slowAlarmThreshold(key.route)
	}
	if key.organisation != "" {
		alarm += organisationAlarmExtraNats
	}
	return alarm
}

// slowAlarmThreshold is higher while the caches of the new version fill and while there is no comparison with the old
// version over the same time.
func (e *moveEvidence) slowAlarmThreshold(route ident.RouteID) float64 {
	// At the last step the old version gets too few requests for a recent comparison.
	if e.inWarmUp() || e.permille == fullSharePermille {
		return cautiousSlowAlarmNats
	}
	if e.control.recentByRoute[route].forSignal(signalFailure).answers < minControlRequests {
		return cautiousSlowAlarmNats
	}
	return slowAlarmNats
}

// inWarmUp reports whether the caches of the new version are still filling after a step. Probes for slow answers
// would only find them cold.
func (e *moveEvidence) inWarmUp() bool {
	return e.evaluatedAt.Sub(e.stepStartedAt) < warmUpTime
}

// grantConfirmationProbes grants probes to routes and organisations that have become suspicious.
func (e *moveEvidence) grantConfirmationProbes(split *moveSplit, suspicious map[groupKey]bool) {
	for key, worthProbing := range suspicious {
		if worthProbing && !e.suspiciousGroups[key] && split.permille > 0 && !split.stop.stopped() {
			split.probes.grant(key, confirmationProbes)
		}
	}
	e.suspiciousGroups = suspicious
}

// hasBaseline reports whether the old version's latencies are known on every route with traffic, by most daemons.
func (e *moveEvidence) hasBaseline() bool {
	total := 0.0
	for _, t := range e.control.recentByRoute {
		n := t.forSignal(signalFailure).answers
		if n >= minControlRequests && t.forSignal(signalTTFT).answers < n*baselineMinFraction {
			return false
		}
		total += n
	}
	return total >= limitMinSamples
}

// hasEnoughSamples reports whether every route with traffic has enough samples for a verdict on the step.
func (e *moveEvidence) hasEnoughSamples(minSamples int64) bool {
	routes := 0
	for route, t := range e.control.recentByRoute {
		if t.forSignal(signalFailure).answers < minControlRequests && e.samples[route] == 0 {
			continue
		}
		routes++
		if e.samples[route] < minSamples {
			return false
		}
	}
	return routes > 0
}

// badReason describes the evidence in one sentence.
func (e *moveEvidence) badReason(split *moveSplit, key scoreKey) string {
	sinceZero := e.scores[key].sinceZero
	old := e.control.recentByRoute[key.route].forSignal(key.signal)
	subject := "route " + string(key.route)
	if key.organisation != "" {
		subject += " for organisation " + string(key.organisation)
		old = e.control.recent[key.groupKey].forSignal(key.signal)
	}
	return fmt.Sprintf("on %s, %.0f of %.0f answers of %s %s, at a share of %s; of %s lately %.0f of %.0f",
		subject, sinceZero.bad, sinceZero.answers, split.move.To, describeSignal(key.signal), formatShare(split.permille),
		split.move.From, old.bad, old.answers)
}

func describeSignal(s signal) string {
	switch s {
	case signalFailure:
		return "failed or were cut short"
	case signalTTFT:
		return "were late with the first token"
	default:
		return "were slow between tokens"
	}
}

// formatShare formats a share as a percentage.
func formatShare(p ident.Permille) string {
	if p%10 == 0 {
		return fmt.Sprintf("%d %%", p/10)
	}
	return fmt.Sprintf("%d.%d %%", p/10, p%10)
}
