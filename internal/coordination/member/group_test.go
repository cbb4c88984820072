package member_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/coordination/member"
	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// largeFleet is larger than the default FullMeshLimit, so its daemons form groups.
var largeFleet = fleetConfig{daemons: 24}

// TestGroupCountIsAPowerOfTwoNearTheSquareRoot guards against group counts with which daemons send more heartbeats
// than needed.
func TestGroupCountIsAPowerOfTwoNearTheSquareRoot(t *testing.T) {
	for n, want := range map[int]int{1: 1, 2: 1, 3: 2, 8: 2, 9: 4, 24: 4, 64: 8, 410: 16} {
		require.Equal(t, want, member.GroupCount(n), "%d daemons", n)
	}
}

// TestALargeFleetKeepsServingWhenAThirdCrashes guards against leases that expire because the daemon asked to relay
// for a group has crashed.
func TestALargeFleetKeepsServingWhenAThirdCrashes(t *testing.T) {
	largeFleet.runScenario(t, member.RuleNone, func(s *sim) {
		s.limitLogTo()
		s.requireServing(20*time.Second, s.allIndexes()...)
		for _, n := range s.nodes[:8] {
			n.crash()
		}
		s.runFor(5 * time.Second)
		s.requireServing(time.Minute, s.allIndexes()[8:]...)
	})
}

// TestACrashedDaemonOfALargeFleetIsRemoved guards against removals that fail, or hit live daemons, when most daemons
// are known by relayed acknowledgements only.
func TestACrashedDaemonOfALargeFleetIsRemoved(t *testing.T) {
	largeFleet.runScenario(t, member.RuleNone, func(s *sim) {
		s.nodes[0].crash()
		s.nodes[0].decommissioned = true
		s.eventually(2*time.Minute, "the crashed daemon is removed", func() bool {
			return len(member.Witnesses(s.nodes[1].process.follower.InForce())) == 23
		})
		s.runFor(time.Minute)
		require.Len(t, member.Witnesses(s.nodes[1].process.follower.State()), 23, "a live daemon was removed")
	})
}

// TestDigestsReachAllGroups guards against digests that are not relayed to daemons of other groups.
func TestDigestsReachAllGroups(t *testing.T) {
	var mu sync.Mutex
	receivedFrom := map[ident.DaemonID]map[string]bool{}
	fc := largeFleet
	fc.prepare = func(f *member.Membership) {
		digest := &wire.Digest{DaemonId: string(f.Self.ID), Moves: []*wire.MoveDigest{{}}}
		f.Digest = func() *wire.Digest { return digest }
		f.OnDigest = func(d *wire.Digest) {
			mu.Lock()
			defer mu.Unlock()
			if receivedFrom[f.Self.ID] == nil {
				receivedFrom[f.Self.ID] = map[string]bool{}
			}
			receivedFrom[f.Self.ID][d.GetDaemonId()] = true
		}
	}
	fc.runScenario(t, member.RuleNone, func(s *sim) {
		mu.Lock()
		clear(receivedFrom)
		mu.Unlock()
		s.runFor(3 * time.Second)
		mu.Lock()
		defer mu.Unlock()
		for _, n := range s.nodes {
			require.Len(t, receivedFrom[n.id], largeFleet.daemons-1, "%s", n.id)
		}
	})
}

// TestAPausedDaemonOfAnotherGroupIsNotLive guards against daemons that stay live after they stopped answering,
// because this daemon sends no heartbeats to them and so counts no misses of its own.
func TestAPausedDaemonOfAnotherGroupIsNotLive(t *testing.T) {
	largeFleet.runScenario(t, member.RuleNone, func(s *sim) {
		live := func() int { return len(s.nodes[0].process.membership.View().Live()) }
		s.eventually(5*time.Second, "all daemons are live", func() bool { return live() == largeFleet.daemons })
		for i := 1; i < largeFleet.daemons; i += 8 {
			s.nodes[i].pause()
		}
		s.eventually(10*time.Second, "the three paused daemons are not live", func() bool { return live() == largeFleet.daemons-3 })
		_, err := s.nodes[0].process.writeSetting(context.Background(), "a", 1)
		require.NoError(t, err, s.describe())
	})
}
