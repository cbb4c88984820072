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

// large is above the size up to which heartbeats go from all to all.
var large = size{daemons: 24}

func TestGroupsAskFewestDaemons(t *testing.T) {
	for n, want := range map[int]int{1: 1, 2: 1, 3: 2, 8: 2, 9: 4, 24: 4, 64: 8, 410: 16} {
		require.Equal(t, want, member.GroupCount(n), "%d daemons", n)
	}
}

func TestALargeFleetServesOnWhenAThirdIsGone(t *testing.T) {
	large.inBubble(t, member.RuleNone, func(s *sim) {
		s.logOnly()
		s.requireServing(20*time.Second, s.all()...)
		for _, n := range s.nodes[:8] {
			n.crash()
		}
		s.run(5 * time.Second)
		s.requireServing(time.Minute, s.all()[8:]...)
	})
}

func TestADeadDaemonOfALargeFleetIsRemoved(t *testing.T) {
	large.inBubble(t, member.RuleNone, func(s *sim) {
		s.nodes[0].crash()
		s.nodes[0].gone = true
		s.eventually(2*time.Minute, "the dead daemon is removed", func() bool {
			return len(member.Witnesses(s.nodes[1].process.follower.InForce())) == 23
		})
		s.run(time.Minute)
		require.Len(t, member.Witnesses(s.nodes[1].process.follower.State()), 23, "nobody else is removed")
	})
}

func TestDigestsReachAllGroups(t *testing.T) {
	var mu sync.Mutex
	heard := map[ident.DaemonID]map[string]bool{}
	z := large
	z.prepare = func(f *member.Membership) {
		digest := &wire.Digest{DaemonId: string(f.Self.ID), Moves: []*wire.MoveDigest{{}}}
		f.Digest = func() *wire.Digest { return digest }
		f.OnDigest = func(d *wire.Digest) {
			mu.Lock()
			defer mu.Unlock()
			if heard[f.Self.ID] == nil {
				heard[f.Self.ID] = map[string]bool{}
			}
			heard[f.Self.ID][d.GetDaemonId()] = true
		}
	}
	z.inBubble(t, member.RuleNone, func(s *sim) {
		mu.Lock()
		clear(heard)
		mu.Unlock()
		s.run(3 * time.Second)
		mu.Lock()
		defer mu.Unlock()
		for _, n := range s.nodes {
			require.Len(t, heard[n.id], large.daemons-1, "%s", n.id)
		}
	})
}

func TestASilentDaemonOfAnotherGroupIsNotLive(t *testing.T) {
	large.inBubble(t, member.RuleNone, func(s *sim) {
		live := func() int { return len(s.nodes[0].process.fleet.View().Live()) }
		s.eventually(5*time.Second, "all are live", func() bool { return live() == large.daemons })
		for i := 1; i < large.daemons; i += 8 {
			s.nodes[i].pause()
		}
		s.eventually(10*time.Second, "three are not", func() bool { return live() == large.daemons-3 })
		_, err := s.nodes[0].process.set(context.Background(), "a", 1)
		require.NoError(t, err, s.describe())
	})
}
