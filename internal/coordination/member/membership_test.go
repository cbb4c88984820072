package member_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/coordination/member"
	"github.com/gooseberryway/gooseberryway/internal/state/guard"
)

// runScenario runs a scenario in a synctest bubble, on a fleet whose daemons all serve.
func runScenario(t *testing.T, daemons int, scenario func(s *sim)) {
	t.Helper()
	fleetConfig{daemons: daemons}.runScenario(t, member.RuleNone, scenario)
}

func (fc fleetConfig) runScenario(t *testing.T, rule member.Rule, scenario func(s *sim)) {
	t.Helper()
	if rule != member.RuleNone {
		defer guard.Capture(func(*guard.ViolationError) {})()
	}
	synctest.Test(t, func(t *testing.T) {
		s := newSim(t, fc.daemons, 1, rule)
		s.fullMeshLimit, s.prepare = fc.fullMeshLimit, fc.prepare
		defer s.close()
		s.boot()
		scenario(s)
	})
}

// TestNewFleetPutsAChangeInForce guards against a new fleet whose daemons serve but never agree that a change is in
// force.
func TestNewFleetPutsAChangeInForce(t *testing.T) {
	runScenario(t, 5, func(s *sim) {
		result, err := s.nodes[0].process.writeSetting(context.Background(), "a", 1)
		require.NoError(t, err)
		s.eventually(11*time.Second, "the change is in force on all daemons", func() bool {
			for _, n := range s.nodes {
				if !n.process.membership.View().Status(result.Offset).InForce {
					return false
				}
			}
			return true
		})
		status := s.nodes[3].process.membership.View().Status(result.Offset)
		require.True(t, status.Accepted)
		require.True(t, status.AppliedByAll())
		require.Empty(t, s.violation())
	})
}
