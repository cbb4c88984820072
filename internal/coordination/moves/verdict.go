package moves

import (
	"fmt"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// verdict weighs all scores of a move.
func (cf *caseFile) verdict(sh *share, settings Settings) Verdict {
	v := Verdict{Finding: FindingUndecided}
	worst, over := scoreKey{}, 0.0
	suspects := map[controlKey]bool{}
	for key, sc := range cf.scores {
		part := sc.value() / cf.alarm(key)
		if part > suspicion {
			v.Suspicious = true
			suspects[key.controlKey] = suspects[key.controlKey] || key.signal == signalFailure || !cf.warming()
		}
		if part > over {
			worst, over = key, part
		}
	}
	cf.confirm(sh, suspects)
	v.HasBaseline = cf.baseline()
	for _, n := range cf.samples {
		v.Samples += n
	}
	if over >= 1 {
		v.Finding = FindingBad
		v.Reason = cf.reason(sh, worst)
		return v
	}
	if !v.Suspicious && cf.enough(settings.MinSamples) {
		v.Finding = FindingGood
	}
	return v
}

// alarm returns the evidence at which a score says that the version is bad.
func (cf *caseFile) alarm(key scoreKey) float64 {
	alarm := float64(failureAlarm)
	if key.signal != signalFailure {
		alarm = cf.slowAlarm(key.route)
	}
	if key.organisation != "" {
		alarm += organisationAlarm
	}
	return alarm
}

// slowAlarm is higher while the caches of the new version fill and while there is no comparison at the same time.
func (cf *caseFile) slowAlarm(route ident.RouteID) float64 {
	// At the last step the old version's few answers say little about this moment.
	if cf.warming() || cf.permille == wholePermille {
		return cautiousSlowAlarm
	}
	if cf.control.recentRoute[route].of(signalFailure).n < soakingControl {
		return cautiousSlowAlarm
	}
	return slowAlarm
}

// warming reports whether the caches of the new version fill: probes would only find them cold.
func (cf *caseFile) warming() bool {
	return cf.at.Sub(cf.stepAt) < warmUp
}

// confirm sends probes on routes, or for organisations, that have become suspicious.
func (cf *caseFile) confirm(sh *share, suspects map[controlKey]bool) {
	for key, probe := range suspects {
		if probe && !cf.suspects[key] && sh.permille > 0 && !sh.stop.stopped() {
			sh.probes.armOne(key, confirmProbes)
		}
	}
	cf.suspects = suspects
}

// baseline reports whether the old version's latencies are known on every route with traffic, by most daemons.
func (cf *caseFile) baseline() bool {
	total := 0.0
	for _, t := range cf.control.recentRoute {
		n := t.of(signalFailure).n
		if n >= soakingControl && t.of(signalTTFT).n < n*baselinePart {
			return false
		}
		total += n
	}
	return total >= limitSamples
}

// enough reports whether every route with traffic has the samples for a verdict on the step.
func (cf *caseFile) enough(least int64) bool {
	routes := 0
	for route, t := range cf.control.recentRoute {
		if t.of(signalFailure).n < soakingControl && cf.samples[route] == 0 {
			continue
		}
		routes++
		if cf.samples[route] < least {
			return false
		}
	}
	return routes > 0
}

// reason puts the evidence into one sentence.
func (cf *caseFile) reason(sh *share, key scoreKey) string {
	run := cf.scores[key].run
	old := cf.control.recentRoute[key.route].of(key.signal)
	subject := "route " + string(key.route)
	if key.organisation != "" {
		subject += " for organisation " + string(key.organisation)
		old = cf.control.recent[key.controlKey].of(key.signal)
	}
	return fmt.Sprintf("on %s, %.0f of %.0f answers of %s %s, at a share of %s; of %s lately %.0f of %.0f",
		subject, run.bad, run.n, sh.move.To, whatHappened(key.signal), percent(sh.permille),
		sh.move.From, old.bad, old.n)
}

func whatHappened(s signal) string {
	switch s {
	case signalFailure:
		return "failed or were cut short"
	case signalTTFT:
		return "were late with the first token"
	default:
		return "were slow between tokens"
	}
}

// percent writes a share for people.
func percent(p ident.Permille) string {
	if p%10 == 0 {
		return fmt.Sprintf("%d %%", p/10)
	}
	return fmt.Sprintf("%d.%d %%", p/10, p%10)
}
