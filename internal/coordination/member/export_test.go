package member

import "context"

// Break disables one rule, to show that the checks find its absence.
func (f *Membership) Break(rule Rule) {
	switch rule {
	case RuleGrace:
		f.tracker.grace = 1
	case RuleAcknowledgement:
		f.tracker.unheld = true
	case RuleRecovery:
		f.amnesiac = true
	case RuleConfirmation:
		f.tracker.trusting = true
	case RuleViews:
		f.tracker.latest = true
	case RuleAge:
		f.ageless = true
	case RuleHearsay:
		f.credulous = true
	case RuleNone:
	}
}

// Rule names a rule of agreement.
type Rule string

// Rules.
const (
	RuleNone            Rule = ""
	RuleGrace           Rule = "grace"
	RuleAcknowledgement Rule = "acknowledgement"
	RuleRecovery        Rule = "recovery"
	RuleConfirmation    Rule = "confirmation"
	RuleViews           Rule = "views"
	RuleAge             Rule = "age"
	RuleHearsay         Rule = "hearsay"
)

// Boot does what Run does before the first heartbeat.
func (f *Membership) Boot(ctx context.Context) { f.start(ctx) }

// BeatOnce sends a heartbeat to every witness and waits for the answers.
func (f *Membership) BeatOnce(ctx context.Context) {
	for _, t := range f.targets() {
		f.beatOne(ctx, t, nil)
	}
	f.Refresh()
}

// GroupCount returns into how many groups n daemons are divided.
func GroupCount(n int) int { return groupCount(n) }
