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

var runsPerRule = flag.Int("runsPerRule", 0, "number of random runs for each disabled agreement rule")

// TestCountViolationsWithARuleDisabled logs, for each rule, in how many random runs without it a lease holder was
// behind a record in force. It shows whether the random scripts reach the faults that the rules prevent.
func TestCountViolationsWithARuleDisabled(t *testing.T) {
	for _, fc := range []fleetConfig{small, grouped} {
		fc.countViolations(t)
	}
}

func (fc fleetConfig) countViolations(t *testing.T) {
	t.Helper()
	scripts := rapid.Custom(fc.drawScript)
	for _, rule := range []member.Rule{
		member.RuleNone, member.RuleInForceDelay, member.RuleAcknowledgement, member.RuleRecovery, member.RuleConfirmation,
		member.RuleOlderSets, member.RuleRelayAge, member.RuleDirectRecovery,
	} {
		violations := 0
		for i := range *runsPerRule {
			if v := fc.runScript(t, rule, uint64(i), scripts.Example(i)); v != "" {
				violations++
				if violations < 3 {
					t.Logf("without %q, run %d: %s", rule, i, v)
				}
			}
		}
		t.Logf("%d daemons without %q: %d violations in %d runs", fc.daemons, rule, violations, *runsPerRule)
	}
}

// inForceDelayScenario cuts off one daemon while the others apply a record. Its lease must expire before the record
// comes into force.
func inForceDelayScenario(s *sim) string {
	s.limitLogTo(0, 1, 2, 3)
	s.runFor(5 * time.Second)
	s.writeSettingAsync(0, "a", 1)
	s.partition(4)
	return s.runFor(12 * time.Second)
}

// acknowledgementScenario lets only a minority reach the log and separates it from the majority, which keeps serving.
func acknowledgementScenario(s *sim) string {
	s.limitLogTo(0, 1)
	s.partition(0, 1)
	s.runFor(time.Second)
	s.writeSettingAsync(0, "a", 1)
	return s.runFor(20 * time.Second)
}

// recoveryScenario restarts two of the three daemons that have applied a record, on the side of the two that have
// not, while the log is down. The restarted daemons must not support leases without the record.
func recoveryScenario(s *sim) string {
	s.limitLogTo(0, 1, 2)
	s.partition(3, 4)
	s.runFor(time.Second)
	s.writeSettingAsync(0, "a", 1)
	if v := s.runFor(15 * time.Second); v != "" {
		return v
	}
	s.limitLogTo()
	s.runFor(5 * time.Second)
	s.nodes[0].crash()
	s.nodes[1].crash()
	s.partition(2)
	s.nodes[0].start()
	s.nodes[1].start()
	return s.runFor(15 * time.Second)
}

// confirmationScenario restarts a daemon after it has acknowledged a record. The daemon recovers from others that lack
// the record, and then one of these acknowledges it. The acknowledgement from before the restart must no longer count.
func confirmationScenario(s *sim) string {
	s.limitLogTo()
	s.runFor(5 * time.Second)
	s.partition(0, 1)
	s.limitLogTo(0, 1)
	s.runFor(time.Second)
	s.writeSettingAsync(0, "a", 1)
	s.runFor(3 * time.Second)
	s.limitLogTo()
	s.nodes[1].crash()
	s.partition(0)
	s.nodes[1].start()
	if v := s.runFor(5 * time.Second); v != "" {
		return v
	}
	s.partition(0, 2)
	return s.runFor(20 * time.Second)
}

// olderSetsScenario adds daemons on the side of the log until they are a majority of the newest state, while the
// other side still serves by an older state.
func olderSetsScenario(s *sim) string {
	s.limitLogTo(0)
	s.partition(0)
	for i := 5; i < 11; i++ {
		s.addNode()
	}
	s.limitLogTo(0, 5, 6, 7, 8, 9, 10)
	s.partition(0, 5, 6, 7, 8, 9, 10)
	for _, n := range s.nodes[5:] {
		n.start()
	}
	return s.runFor(25 * time.Second)
}

// relayAgeScenario cuts off two daemons of different groups together. One of them relays acknowledgements of its
// group, which grow old, to the other.
func relayAgeScenario(s *sim) string {
	s.limitLogTo(2, 3, 4, 5, 6, 7, 8)
	s.partition(0, 1)
	s.runFor(time.Second)
	s.writeSettingAsync(8, "a", 1)
	return s.runFor(20 * time.Second)
}

// directRecoveryScenario restarts a daemon that has applied a record on the side of four that have not. One of these
// holds old relayed acknowledgements without the record, of three daemons that have applied it since.
func directRecoveryScenario(s *sim) string {
	s.partition(1, 4, 6, 8)
	s.limitLogTo(0, 2, 3, 5, 7)
	s.runFor(time.Second)
	s.writeSettingAsync(2, "a", 1)
	if v := s.runFor(10 * time.Second); v != "" {
		return v
	}
	s.limitLogTo()
	s.nodes[0].crash()
	s.partition(0, 1, 4, 6, 8)
	s.nodes[0].start()
	return s.runFor(20 * time.Second)
}

// TestEachRuleIsNeeded guards against a redundant rule, and against a test fleet that can't detect a missing one:
// without the rule its scenario must lead to a violation, with all rules to none.
func TestEachRuleIsNeeded(t *testing.T) {
	twoGroups := fleetConfig{daemons: small.daemons, fullMeshLimit: 1}
	for rule, tc := range map[member.Rule]struct {
		scenario func(s *sim) string
		sizes    []fleetConfig
		// attempts is more than 1 where the violation depends on the order of events within a heartbeat interval.
		attempts int
	}{
		member.RuleInForceDelay:    {inForceDelayScenario, []fleetConfig{small}, 40},
		member.RuleAcknowledgement: {acknowledgementScenario, []fleetConfig{small, twoGroups}, 1},
		member.RuleRecovery:        {recoveryScenario, []fleetConfig{small, twoGroups}, 1},
		member.RuleConfirmation:    {confirmationScenario, []fleetConfig{small, twoGroups}, 1},
		member.RuleOlderSets:       {olderSetsScenario, []fleetConfig{small, twoGroups}, 1},
		member.RuleRelayAge:        {relayAgeScenario, []fleetConfig{grouped}, 1},
		member.RuleDirectRecovery:  {directRecoveryScenario, []fleetConfig{grouped}, 1},
	} {
		for _, fc := range tc.sizes {
			t.Run(fmt.Sprint(rule, " ", fc.daemons, " ", fc.fullMeshLimit), func(t *testing.T) {
				violation := ""
				for range tc.attempts {
					require.Empty(t, fc.runScenarioOnce(t, member.RuleNone, tc.scenario), "violation with all rules enabled")
					if violation == "" {
						violation = fc.runScenarioOnce(t, rule, tc.scenario)
					}
				}
				require.NotEmpty(t, violation, "no violation although the rule was disabled")
				t.Log(violation)
			})
		}
	}
}

func (fc fleetConfig) runScenarioOnce(t *testing.T, rule member.Rule, scenario func(s *sim) string) (violation string) {
	t.Helper()
	fc.runScenario(t, rule, func(s *sim) { violation = scenario(s) })
	return violation
}
