package member_test

import (
	"flag"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/gooseberryway/gooseberryway/internal/coordination/member"
)

var runsPerRule = flag.Int("runsPerRule", 0, "random runs with each rule of agreement left out")

// TestCountViolationsWithoutARule counts the random runs in which a lease holder was behind a record in force.
func TestCountViolationsWithoutARule(t *testing.T) {
	scripts := rapid.Custom(drawScript)
	for _, rule := range []member.Rule{
		member.RuleNone, member.RuleGrace, member.RuleAcknowledgement, member.RuleRecovery, member.RuleConfirmation,
		member.RuleViews,
	} {
		violations := 0
		for i := range *runsPerRule {
			if v := playScript(t, rule, uint64(i), scripts.Example(i)); v != "" {
				violations++
				if violations < 3 {
					t.Logf("without %q, run %d: %s", rule, i, v)
				}
			}
		}
		t.Logf("without %q: %d violations in %d runs", rule, violations, *runsPerRule)
	}
}

// graceScenario cuts one daemon off while the others take in a record: it must not serve any longer than they wait.
func graceScenario(s *sim) string {
	s.logOnly(0, 1, 2, 3)
	s.run(5 * time.Second)
	s.set(0, "a", 1)
	s.partition(4)
	return s.run(12 * time.Second)
}

// acknowledgementScenario leaves the log to a minority while the majority serves on its own.
func acknowledgementScenario(s *sim) string {
	s.logOnly(0, 1)
	s.partition(0, 1)
	s.run(time.Second)
	s.set(0, "a", 1)
	return s.run(20 * time.Second)
}

// recoveryScenario restarts two of three daemons that hold a record, among the two that don't, while the log is down.
func recoveryScenario(s *sim) string {
	s.logOnly(0, 1, 2)
	s.partition(3, 4)
	s.run(time.Second)
	s.set(0, "a", 1)
	if v := s.run(15 * time.Second); v != "" {
		return v
	}
	s.logOnly()
	s.run(5 * time.Second)
	s.nodes[0].crash()
	s.nodes[1].crash()
	s.partition(2)
	s.nodes[0].start()
	s.nodes[1].start()
	return s.run(15 * time.Second)
}

// confirmationScenario restarts a daemon between its acknowledgement of a record and that of the next daemon. It
// recovers from the next daemon before that one learns the record.
func confirmationScenario(s *sim) string {
	s.logOnly()
	s.run(5 * time.Second)
	s.partition(0, 1)
	s.logOnly(0, 1)
	s.run(time.Second)
	s.set(0, "a", 1)
	s.run(3 * time.Second)
	s.logOnly()
	s.nodes[1].crash()
	s.partition(0)
	s.nodes[1].start()
	if v := s.run(5 * time.Second); v != "" {
		return v
	}
	s.partition(0, 2)
	return s.run(20 * time.Second)
}

// viewsScenario lets daemons join on the side of the log until they outnumber the two that are cut off.
func viewsScenario(s *sim) string {
	s.logOnly(0)
	s.partition(0)
	for i := 5; i < 11; i++ {
		s.add()
	}
	s.logOnly(0, 5, 6, 7, 8, 9, 10)
	s.partition(0, 5, 6, 7, 8, 9, 10)
	for _, n := range s.nodes[5:] {
		n.start()
	}
	return s.run(25 * time.Second)
}

func TestEachRuleIsNeeded(t *testing.T) {
	for rule, c := range map[member.Rule]struct {
		scenario func(s *sim) string
		// attempts is more than 1 where the order of events within a heartbeat interval decides.
		attempts int
	}{
		member.RuleGrace:           {graceScenario, 40},
		member.RuleAcknowledgement: {acknowledgementScenario, 1},
		member.RuleRecovery:        {recoveryScenario, 1},
		member.RuleConfirmation:    {confirmationScenario, 1},
		member.RuleViews:           {viewsScenario, 1},
	} {
		t.Run(string(rule), func(t *testing.T) {
			found := ""
			for range c.attempts {
				require.Empty(t, attempt(t, member.RuleNone, c.scenario), "all rules on")
				if found == "" {
					found = attempt(t, rule, c.scenario)
				}
			}
			require.NotEmpty(t, found, "the rule was left out and nothing was found")
			t.Log(found)
		})
	}
}

func attempt(t *testing.T, rule member.Rule, scenario func(s *sim) string) (violation string) {
	t.Helper()
	inBubble(t, 5, rule, func(s *sim) { violation = scenario(s) })
	return violation
}
