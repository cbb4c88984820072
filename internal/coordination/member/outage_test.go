package member_test

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/coordination/lease"
	"github.com/gooseberryway/gooseberryway/internal/coordination/member"
	"github.com/gooseberryway/gooseberryway/internal/coordination/replay"
	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/guard"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// requireServing runs the fleet and requires that exactly the given daemons hold a lease all the time.
func (s *sim) requireServing(d time.Duration, want ...int) {
	s.t.Helper()
	var ids []ident.DaemonID
	for _, i := range want {
		ids = append(ids, s.nodes[i].id)
	}
	for deadline := time.Now().Add(d); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		var serving []ident.DaemonID
		for _, n := range s.serving() {
			serving = append(serving, n.id)
		}
		require.Equal(s.t, ids, serving, "%s", s.describe())
		require.Empty(s.t, s.violation())
	}
}

func TestAllServeThroughAnOutageOfTheLog(t *testing.T) {
	inBubble(t, 5, func(s *sim) {
		s.logOnly()
		s.requireServing(time.Second, s.all()...)
		_, err := s.nodes[0].process.set(context.Background(), "a", 1)
		var unavailable *replay.UnavailableError
		require.ErrorAs(t, err, &unavailable, "a record that was refused is known not to be written")
		s.requireServing(10*time.Minute, s.all()...)
		require.Equal(t, lease.GroundWitnesses, s.nodes[1].process.holder.Status().Ground)

		s.logOnly(s.all()...)
		s.requireServing(3*time.Second, s.all()...)
		result, err := s.nodes[0].process.set(context.Background(), "a", 1)
		require.NoError(t, err)
		s.eventually(11*time.Second, "in force", func() bool {
			return s.nodes[4].process.fleet.View().Status(result.Offset).InForce
		})
	})
}

func TestAnAppendWhoseAnswerIsLostIsSettledByReadingBack(t *testing.T) {
	for name, late := range map[string]time.Duration{"at once": 0, "after 30 s": 30 * time.Second} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, 3, func(s *sim) {
				s.setAppends(late, true)
				ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
				defer cancel()
				result, err := s.nodes[0].process.set(ctx, "a", 1)
				require.NoError(t, err)
				s.setAppends(0, false)
				s.run(40 * time.Second)

				state := s.nodes[1].process.follower.State()
				require.Equal(t, result.Offset, state.Revision("/platform/settings/a"), "a later copy took effect")
				require.Equal(t, late > 0, state.Offset() > result.Offset, "appended again only if it was not read back")
			})
		})
	}
}

func TestAWriteThatIsGivenUpCanBeAskedForAgain(t *testing.T) {
	inBubble(t, 3, func(s *sim) {
		p := s.nodes[0].process
		setting := &config.Setting{Path: "/platform/settings/a", Value: "1"}
		rec := config.NewRecord(replay.NewRecordID(), "operator", 0, setting)
		s.setAppends(30*time.Second, true)
		_, err := p.writer.Write(context.Background(), rec)
		var unknown *replay.OutcomeUnknownError
		require.ErrorAs(t, err, &unknown)

		s.setAppends(0, false)
		result, err := p.writer.Write(context.Background(), rec)
		require.NoError(t, err)
		again, err := p.writer.Write(context.Background(), rec)
		require.NoError(t, err)
		require.Equal(t, result, again)
		s.run(40 * time.Second)
		require.Equal(t, result.Offset, p.follower.State().Revision(setting.Path))
	})
}

func TestOfTwoRacingOperatorsOneGetsTheOthersChange(t *testing.T) {
	inBubble(t, 3, func(s *sim) {
		type answer struct {
			result replay.Result
			err    error
		}
		answers := make(chan answer, 2)
		for i := range 2 {
			s.wg.Go(func() {
				result, err := s.nodes[i].process.set(context.Background(), "a", i)
				answers <- answer{result, err}
			})
		}
		first, second := <-answers, <-answers
		if first.err != nil {
			first, second = second, first
		}
		require.NoError(t, first.err)
		var conflict *config.ConflictError
		require.ErrorAs(t, second.err, &conflict)
		require.Equal(t, first.result.Offset, conflict.CurrentRevision)
		require.Equal(t, first.result.Offset, conflict.CurrentNode.Revision)
	})
}

func TestAPausedHolderFindsItsLeaseLapsed(t *testing.T) {
	inBubble(t, 5, func(s *sim) {
		n := s.nodes[0]
		require.NoError(t, n.process.holder.Check())
		n.pause()
		s.run(member.LeaseTTL + time.Second)
		require.False(t, n.process.holder.Valid(), "the clock is read on every call")
		n.resume()
		require.False(t, n.process.holder.Valid(), "nothing has been heard since")
		var lapsed *lease.ExpiredError
		require.ErrorAs(t, n.process.holder.Check(), &lapsed)
		s.eventually(3*time.Second, "it serves again", n.process.holder.Valid)
	})
}

func TestAMinorityWithoutTheLogStopsWithinTheLease(t *testing.T) {
	inBubble(t, 5, func(s *sim) {
		s.logOnly(0, 1, 2)
		s.partition(3, 4)
		s.run(member.LeaseTTL)
		s.requireServing(20*time.Second, 0, 1, 2)
	})
}

func TestBothSidesServeWhenTheMinorityHasTheLog(t *testing.T) {
	inBubble(t, 5, func(s *sim) {
		s.logOnly(0, 1)
		s.partition(0, 1)
		s.run(time.Second)
		result, err := s.nodes[0].process.set(context.Background(), "a", 1)
		require.NoError(t, err)
		s.requireServing(30*time.Second, s.all()...)
		status := s.nodes[0].process.fleet.View().Status(result.Offset)
		require.False(t, status.Accepted)
		require.False(t, status.InForce)
		require.Equal(t, []ident.DaemonID{"d2", "d3", "d4"}, status.Missing)
	})
}

func TestHalfOfTheFleetRestartsTogether(t *testing.T) {
	for name, logUp := range map[string]bool{"log up": true, "log down": false} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, 8, func(s *sim) {
				if !logUp {
					s.logOnly()
				}
				s.run(5 * time.Second)
				before := s.nodes[7].process.follower.State().Offset()
				s.restart([]int{0, 1, 2, 3})
				s.eventually(2*time.Second, "all serve", func() bool { return len(s.serving()) == 8 })
				for _, n := range s.nodes {
					require.GreaterOrEqual(t, n.process.follower.State().Offset(), before)
				}
				s.requireServing(30*time.Second, s.all()...)
			})
		})
	}
}

func TestARestartBehindAPartitionCatchesUpWithoutTheLog(t *testing.T) {
	inBubble(t, 5, func(s *sim) {
		s.logOnly()
		s.partition(0)
		s.restart([]int{0})
		s.run(30 * time.Second)
		require.Zero(t, s.nodes[0].process.follower.State().Offset())
		s.partition()
		s.eventually(15*time.Second, "it serves", func() bool { return s.nodes[0].process.holder.Valid() })
		s.requireServing(30*time.Second, s.all()...)
	})
}

func TestANewcomerBehindAPartitionCatchesUpWithoutTheLog(t *testing.T) {
	inBubble(t, 5, func(s *sim) {
		guest := s.add()
		s.logOnly()
		s.partition(5)
		guest.start()
		s.run(30 * time.Second)
		require.Zero(t, guest.process.follower.State().Offset())
		s.partition()
		s.eventually(15*time.Second, "it serves", func() bool { return guest.process.holder.Valid() })
	})
}

func TestAMajorityThatRestartsWithoutTheLogWaitsForIt(t *testing.T) {
	inBubble(t, 5, func(s *sim) {
		s.logOnly()
		s.run(5 * time.Second)
		s.restart([]int{0, 1, 2})
		s.run(member.LeaseTTL)
		s.requireServing(30 * time.Second)
		s.logOnly(s.all()...)
		s.eventually(5*time.Second, "all serve", func() bool { return len(s.serving()) == 5 })
	})
}

// TestARestartFromTheLogAloneComesIntoForce has views in the log whose daemons are long gone.
func TestARestartFromTheLogAloneComesIntoForce(t *testing.T) {
	inBubble(t, 3, func(s *sim) {
		for i := range 3 {
			s.replace([]int{i})
			s.eventually(5*time.Minute, "the old daemon is removed", func() bool {
				inForce := s.present()[0].process.follower.InForce()
				return !slices.Contains(member.Witnesses(inForce), s.nodes[i].id) && s.settled()
			})
		}
		for _, n := range s.present() {
			n.crash()
		}
		for _, n := range s.present() {
			n.start()
		}
		s.eventually(20*time.Second, "all is in force", s.settled)
	})
}

func TestAnOldIncarnationIsRefused(t *testing.T) {
	inBubble(t, 3, func(s *sim) {
		old := s.nodes[0].process
		s.nodes[0].start()
		fresh := s.nodes[0].process
		s.eventually(10*time.Second, "the new incarnation has joined", func() bool {
			m, _ := s.nodes[1].process.follower.State().Member("d0")
			v := fresh.fleet.View()
			return v != nil && m.Incarnation == v.Incarnation
		})
		s.eventually(2*time.Second, "the old one stops", func() bool { return !old.holder.Valid() })
		require.Equal(t, lease.GroundRemoved, old.holder.Status().Ground)
		_, err := s.nodes[1].process.fleet.HandleHeartbeat(&wire.HeartbeatRequest{
			DaemonId:    "d0",
			Incarnation: uint64(old.fleet.View().Incarnation),
		})
		var superseded *member.SupersededError
		require.ErrorAs(t, err, &superseded)
		require.True(t, fresh.holder.Valid())
		old.stop()
	})
}

// TestAnIncarnationFollowsTheRecordedOne has a recorded incarnation from a clock that was far ahead.
func TestAnIncarnationFollowsTheRecordedOne(t *testing.T) {
	inBubble(t, 3, func(s *sim) {
		n := s.nodes[0]
		n.crash()
		p := s.nodes[1].process
		m, _ := p.follower.State().Member(n.id)
		ahead := *m
		ahead.Incarnation += ident.Incarnation(10 * time.Minute / time.Millisecond)
		base := p.follower.State().Revision(config.PathOf(m))
		_, err := p.writer.Write(context.Background(), config.NewRecord("ahead", "d0", base, &ahead))
		require.NoError(t, err)
		n.start()
		s.eventually(10*time.Second, "it has joined", func() bool {
			v := n.process.fleet.View()
			return v != nil && v.State == config.MemberJoined && v.Incarnation == ahead.Incarnation+1
		})
	})
}

func TestADeadDaemonIsRemovedAndALeavingOneRetires(t *testing.T) {
	inBubble(t, 4, func(s *sim) {
		s.nodes[0].crash()
		s.nodes[0].gone = true
		leaving := s.nodes[1].process
		require.NoError(t, leaving.fleet.RecordLeaving(context.Background()))
		require.Equal(t, config.MemberLeaving, leaving.fleet.View().State)
		require.True(t, leaving.holder.Valid(), "a leaving daemon still serves")
		require.NoError(t, leaving.fleet.RecordLeft(context.Background()))
		require.False(t, leaving.holder.Valid())
		s.eventually(2*time.Minute, "the dead daemon is removed", func() bool {
			return len(member.Witnesses(s.nodes[2].process.follower.InForce())) == 2
		})
	})
}

func TestANewcomerWithoutTheLogServesAsAGuest(t *testing.T) {
	inBubble(t, 5, func(s *sim) {
		s.logOnly()
		s.run(5 * time.Second)
		guest := s.add()
		s.logOnly()
		guest.start()
		s.eventually(2*time.Second, "the guest serves", func() bool { return guest.process.holder.Valid() })
		require.Empty(t, guest.process.fleet.View().State)
		require.Len(t, guest.process.fleet.View().Members, 5)
		s.requireServing(time.Minute, s.all()...)
		s.logOnly(s.all()...)
		s.eventually(20*time.Second, "it has joined", func() bool {
			return guest.process.fleet.View().State == config.MemberJoined && s.settled()
		})
	})
}

// TestServingBehindWhatIsInForceIsReported breaks the rules and looks for the report of the invariant.
func TestServingBehindWhatIsInForceIsReported(t *testing.T) {
	var reports atomic.Int64
	synctest.Test(t, func(t *testing.T) {
		defer guard.Capture(func(v *guard.ViolationError) {
			if v.Invariant == guard.ConfigMonotonic {
				reports.Add(1)
			}
		})()
		s := newSim(t, 5, 1, member.RuleAcknowledgement)
		defer s.close()
		s.boot()
		acknowledgementScenario(s)
		time.Sleep(5 * time.Second)
		s.set(0, "a", 2)
		time.Sleep(2 * time.Second)
		require.Zero(t, reports.Load())
		s.logOnly(s.all()...)
		time.Sleep(5 * time.Second)
	})
	require.NotZero(t, reports.Load())
}

func TestAFleetWithoutMembersDoesNotServe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSim(t, 3, 1, member.RuleNone)
		defer s.close()
		s.logOnly()
		for _, n := range s.nodes {
			n.start()
		}
		s.requireServing(20 * time.Second)
	})
}
