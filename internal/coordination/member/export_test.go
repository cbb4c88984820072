package member

// Break disables one rule, to show that the checks find its absence.
func (f *Fleet) Break(rule Rule) {
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
)
