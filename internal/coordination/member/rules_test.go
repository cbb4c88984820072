package member_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/gooseberryway/gooseberryway/internal/coordination/member"
)

var runsPerRule = flag.Int("runsPerRule", 0, "random runs with each rule of agreement left out")

// TestCountViolationsWithoutARule counts the random runs in which a lease holder was behind a record in force.
func TestCountViolationsWithoutARule(t *testing.T) {
	for _, z := range []size{small, grouped} {
		z.countViolations(t)
	}
}

func (z size) countViolations(t *testing.T) {
	t.Helper()
	scripts := rapid.Custom(z.drawScript)
	for _, rule := range []member.Rule{
		member.RuleNone, member.RuleGrace, member.RuleAcknowledgement, member.RuleRecovery, member.RuleConfirmation,
		member.RuleViews, member.RuleAge, member.RuleHearsay,
	} {
		violations := 0
		for i := range *runsPerRule {
			if v := z.play(t, rule, uint64(i), scripts.Example(i)); v != "" {
				violations++
				if violations < 3 {
					t.Logf("without %q, run %d: %s", rule, i, v)
				}
			}
		}
		t.Logf("%d daemons without %q: %d violations in %d runs", z.daemons, rule, violations, *runsPerRule)
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

// ageScenario cuts two daemons of different groups off: what one has heard of its group grows old, and the other asks it.
func ageScenario(s *sim) string {
	s.logOnly(2, 3, 4, 5, 6, 7, 8)
	s.partition(0, 1)
	s.run(time.Second)
	s.set(8, "a", 1)
	return s.run(20 * time.Second)
}

// hearsayScenario restarts a daemon that holds a record among four that don't. One of them was told before by three others,
// which hold the record by now, that they lack it.
func hearsayScenario(s *sim) string {
	s.partition(1, 4, 6, 8)
	s.logOnly(0, 2, 3, 5, 7)
	s.run(time.Second)
	s.set(2, "a", 1)
	if v := s.run(10 * time.Second); v != "" {
		return v
	}
	s.logOnly()
	s.nodes[0].crash()
	s.partition(0, 1, 4, 6, 8)
	s.nodes[0].start()
	return s.run(20 * time.Second)
}

func TestEachRuleIsNeeded(t *testing.T) {
	twoGroups := size{daemons: small.daemons, direct: 1}
	for rule, c := range map[member.Rule]struct {
		scenario func(s *sim) string
		sizes    []size
		// attempts is more than 1 where the order of events within a heartbeat interval decides.
		attempts int
	}{
		member.RuleGrace:           {graceScenario, []size{small}, 40},
		member.RuleAcknowledgement: {acknowledgementScenario, []size{small, twoGroups}, 1},
		member.RuleRecovery:        {recoveryScenario, []size{small, twoGroups}, 1},
		member.RuleConfirmation:    {confirmationScenario, []size{small, twoGroups}, 1},
		member.RuleViews:           {viewsScenario, []size{small, twoGroups}, 1},
		member.RuleAge:             {ageScenario, []size{grouped}, 1},
		member.RuleHearsay:         {hearsayScenario, []size{grouped}, 1},
	} {
		for _, z := range c.sizes {
			t.Run(fmt.Sprint(rule, " ", z.daemons, " ", z.direct), func(t *testing.T) {
				found := ""
				for range c.attempts {
					require.Empty(t, z.attempt(t, member.RuleNone, c.scenario), "all rules on")
					if found == "" {
						found = z.attempt(t, rule, c.scenario)
					}
				}
				require.NotEmpty(t, found, "the rule was left out and nothing was found")
				t.Log(found)
			})
		}
	}
}

func (z size) attempt(t *testing.T, rule member.Rule, scenario func(s *sim) string) (violation string) {
	t.Helper()
	z.inBubble(t, rule, func(s *sim) { violation = scenario(s) })
	return violation
}
