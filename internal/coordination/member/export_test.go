package member

import "context"

// DisableRule disables one agreement rule, so that tests can show that its absence is detected.
func (f *Membership) DisableRule(rule Rule) {
	switch rule {
	case RuleInForceDelay:
		f.tracker.delayOverride = 1
	case RuleAcknowledgement:
		f.tracker.skipAcknowledgement = true
	case RuleRecovery:
		f.skipRecovery = true
	case RuleConfirmation:
		f.tracker.skipConfirmation = true
	case RuleOlderSets:
		f.tracker.newestSetOnly = true
	case RuleRelayAge:
		f.ignoreRelayAge = true
	case RuleDirectRecovery:
		f.trustRelayed = true
	case RuleNone:
	}
}

// Rule names a rule of the agreement on which records are in force.
type Rule string

// Agreement rules.
const (
	RuleNone            Rule = ""
	RuleInForceDelay    Rule = "inForceDelay"
	RuleAcknowledgement Rule = "acknowledgement"
	RuleRecovery        Rule = "recovery"
	RuleConfirmation    Rule = "confirmation"
	RuleOlderSets       Rule = "olderSets"
	RuleRelayAge        Rule = "relayAge"
	RuleDirectRecovery  Rule = "directRecovery"
)

// Boot does what Run does before the first heartbeat.
func (f *Membership) Boot(ctx context.Context) { f.start(ctx) }

// HeartbeatOnce sends one heartbeat to every target and waits for the answers.
func (f *Membership) HeartbeatOnce(ctx context.Context) {
	for _, t := range f.targets() {
		f.sendHeartbeat(ctx, t, nil)
	}
	f.Refresh()
}

// GroupCount returns the number of groups into which n daemons are divided.
func GroupCount(n int) int { return groupCount(n) }
