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

// inBubble runs a scenario on a fleet that has booted.
func inBubble(t *testing.T, daemons int, scenario func(s *sim)) {
	t.Helper()
	size{daemons: daemons}.inBubble(t, member.RuleNone, scenario)
}

func (z size) inBubble(t *testing.T, rule member.Rule, scenario func(s *sim)) {
	t.Helper()
	if rule != member.RuleNone {
		defer guard.Capture(func(*guard.ViolationError) {})()
	}
	synctest.Test(t, func(t *testing.T) {
		s := newSim(t, z.daemons, 1, rule)
		s.direct, s.prepare = z.direct, z.prepare
		defer s.close()
		s.boot()
		scenario(s)
	})
}

func TestFleetBootsAndPutsAChangeInForce(t *testing.T) {
	inBubble(t, 5, func(s *sim) {
		result, err := s.nodes[0].process.set(context.Background(), "a", 1)
		require.NoError(t, err)
		s.eventually(11*time.Second, "the change is in force on all", func() bool {
			for _, n := range s.nodes {
				if !n.process.fleet.View().Status(result.Offset).InForce {
					return false
				}
			}
			return true
		})
		status := s.nodes[3].process.fleet.View().Status(result.Offset)
		require.True(t, status.Accepted)
		require.True(t, status.AppliedByAll())
		require.Empty(t, s.violation())
	})
}
