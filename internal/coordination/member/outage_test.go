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
		for _, n := range s.servingNodes() {
			serving = append(serving, n.id)
		}
		require.Equal(s.t, ids, serving, "%s", s.describe())
		require.Empty(s.t, s.violation())
	}
}

// TestAllDaemonsServeDuringALogOutage guards against leases that depend on the log service: without it the heartbeats
// must renew them.
func TestAllDaemonsServeDuringALogOutage(t *testing.T) {
	runScenario(t, 5, func(s *sim) {
		s.limitLogTo()
		s.requireServing(time.Second, s.allIndexes()...)
		_, err := s.nodes[0].process.writeSetting(context.Background(), "a", 1)
		var unavailable *replay.UnavailableError
		require.ErrorAs(t, err, &unavailable, "a rejected append must not be reported as of unknown outcome")
		s.requireServing(10*time.Minute, s.allIndexes()...)
		require.Equal(t, lease.GroundWitnesses, s.nodes[1].process.holder.Status().Ground)

		s.limitLogTo(s.allIndexes()...)
		s.requireServing(3*time.Second, s.allIndexes()...)
		result, err := s.nodes[0].process.writeSetting(context.Background(), "a", 1)
		require.NoError(t, err)
		s.eventually(11*time.Second, "the change is in force", func() bool {
			return s.nodes[4].process.membership.View().Status(result.Offset).InForce
		})
	})
}

// TestALostAppendAcknowledgementIsResolvedByReadingBack guards against a change that is applied twice: the writer
// does not learn whether its append succeeded and may append the record again.
func TestALostAppendAcknowledgementIsResolvedByReadingBack(t *testing.T) {
	for name, delay := range map[string]time.Duration{"at once": 0, "after 30 s": 30 * time.Second} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, 3, func(s *sim) {
				s.setAppendFaults(delay, true)
				ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
				defer cancel()
				result, err := s.nodes[0].process.writeSetting(ctx, "a", 1)
				require.NoError(t, err)
				s.setAppendFaults(0, false)
				s.runFor(40 * time.Second)

				state := s.nodes[1].process.follower.State()
				require.Equal(t, result.Offset, state.Revision("/platform/settings/a"), "a later copy took effect")
				require.Equal(t, delay > 0, state.Offset() > result.Offset, "the record must be appended again only if it was not read back")
			})
		})
	}
}

// TestAWriteOfUnknownOutcomeCanBeRetried guards against a second effect when a caller repeats a write whose outcome
// was unknown and the first append takes effect late.
func TestAWriteOfUnknownOutcomeCanBeRetried(t *testing.T) {
	runScenario(t, 3, func(s *sim) {
		p := s.nodes[0].process
		setting := &config.Setting{Path: "/platform/settings/a", Value: "1"}
		rec := config.NewRecord(replay.NewRecordID(), "operator", 0, setting)
		s.setAppendFaults(30*time.Second, true)
		_, err := p.writer.Write(context.Background(), rec)
		var unknown *replay.OutcomeUnknownError
		require.ErrorAs(t, err, &unknown)

		s.setAppendFaults(0, false)
		result, err := p.writer.Write(context.Background(), rec)
		require.NoError(t, err)
		repeated, err := p.writer.Write(context.Background(), rec)
		require.NoError(t, err)
		require.Equal(t, result, repeated)
		s.runFor(40 * time.Second)
		require.Equal(t, result.Offset, p.follower.State().Revision(setting.Path))
	})
}

// TestOfTwoConcurrentWritesOneFailsWithAConflict guards against a silently overwritten change when two operators
// write the same setting at the same revision.
func TestOfTwoConcurrentWritesOneFailsWithAConflict(t *testing.T) {
	runScenario(t, 3, func(s *sim) {
		type answer struct {
			result replay.Result
			err    error
		}
		answers := make(chan answer, 2)
		for i := range 2 {
			s.wg.Go(func() {
				result, err := s.nodes[i].process.writeSetting(context.Background(), "a", i)
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

// TestAPausedDaemonFindsItsLeaseExpired guards against a suspended VM that serves with an expired lease in the moment
// when it resumes.
func TestAPausedDaemonFindsItsLeaseExpired(t *testing.T) {
	runScenario(t, 5, func(s *sim) {
		n := s.nodes[0]
		require.NoError(t, n.process.holder.Check())
		n.pause()
		s.runFor(member.LeaseTTL + time.Second)
		require.False(t, n.process.holder.Valid(), "a lease must expire although the daemon is paused")
		n.resume()
		require.False(t, n.process.holder.Valid(), "no heartbeat was acknowledged since the pause")
		var expired *lease.ExpiredError
		require.ErrorAs(t, n.process.holder.Check(), &expired)
		s.eventually(3*time.Second, "the daemon serves again", n.process.holder.Valid)
	})
}

// TestAMinorityWithoutTheLogStopsServingWithinTheLease guards against a cut-off minority that keeps serving while the
// majority puts changes in force.
func TestAMinorityWithoutTheLogStopsServingWithinTheLease(t *testing.T) {
	runScenario(t, 5, func(s *sim) {
		s.limitLogTo(0, 1, 2)
		s.partition(3, 4)
		s.runFor(member.LeaseTTL)
		s.requireServing(20*time.Second, 0, 1, 2)
	})
}

// TestBothSidesServeWhenTheMinorityHasTheLog guards against a change that only a minority has applied and that is
// reported as accepted or in force while the majority serves without it.
func TestBothSidesServeWhenTheMinorityHasTheLog(t *testing.T) {
	runScenario(t, 5, func(s *sim) {
		s.limitLogTo(0, 1)
		s.partition(0, 1)
		s.runFor(time.Second)
		result, err := s.nodes[0].process.writeSetting(context.Background(), "a", 1)
		require.NoError(t, err)
		s.requireServing(30*time.Second, s.allIndexes()...)
		status := s.nodes[0].process.membership.View().Status(result.Offset)
		require.False(t, status.Accepted)
		require.False(t, status.InForce)
		require.Equal(t, []ident.DaemonID{"d2", "d3", "d4"}, status.Missing)
	})
}

// TestHalfOfTheFleetRestartsAtOnce guards against a deadlock of recoveries, in which restarted daemons wait for each
// other, and against lost records.
func TestHalfOfTheFleetRestartsAtOnce(t *testing.T) {
	for name, logUp := range map[string]bool{"log up": true, "log down": false} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, 8, func(s *sim) {
				if !logUp {
					s.limitLogTo()
				}
				s.runFor(5 * time.Second)
				before := s.nodes[7].process.follower.State().Offset()
				s.restart([]int{0, 1, 2, 3})
				s.eventually(2*time.Second, "all daemons serve", func() bool { return len(s.servingNodes()) == 8 })
				for _, n := range s.nodes {
					require.GreaterOrEqual(t, n.process.follower.State().Offset(), before)
				}
				s.requireServing(30*time.Second, s.allIndexes()...)
			})
		})
	}
}

// TestARestartedDaemonCatchesUpWithoutTheLogAfterAPartition guards against a daemon that restarts without log and
// peers and then never fetches a snapshot from its peers.
func TestARestartedDaemonCatchesUpWithoutTheLogAfterAPartition(t *testing.T) {
	runScenario(t, 5, func(s *sim) {
		s.limitLogTo()
		s.partition(0)
		s.restart([]int{0})
		s.runFor(30 * time.Second)
		require.Zero(t, s.nodes[0].process.follower.State().Offset())
		s.partition()
		s.eventually(15*time.Second, "the daemon serves", func() bool { return s.nodes[0].process.holder.Valid() })
		s.requireServing(30*time.Second, s.allIndexes()...)
	})
}

// TestANewDaemonCatchesUpWithoutTheLogAfterAPartition guards against the same for a daemon that has never been a
// member.
func TestANewDaemonCatchesUpWithoutTheLogAfterAPartition(t *testing.T) {
	runScenario(t, 5, func(s *sim) {
		newcomer := s.addNode()
		s.limitLogTo()
		s.partition(5)
		newcomer.start()
		s.runFor(30 * time.Second)
		require.Zero(t, newcomer.process.follower.State().Offset())
		s.partition()
		s.eventually(15*time.Second, "the daemon serves", func() bool { return newcomer.process.holder.Valid() })
	})
}

// TestAMajorityThatRestartsWithoutTheLogDoesNotServe guards against serving without a lost record: after a majority
// has restarted, the remaining daemons can't know all records that may be in force.
func TestAMajorityThatRestartsWithoutTheLogDoesNotServe(t *testing.T) {
	runScenario(t, 5, func(s *sim) {
		s.limitLogTo()
		s.runFor(5 * time.Second)
		s.restart([]int{0, 1, 2})
		s.runFor(member.LeaseTTL)
		s.requireServing(30 * time.Second)
		s.limitLogTo(s.allIndexes()...)
		s.eventually(5*time.Second, "all daemons serve", func() bool { return len(s.servingNodes()) == 5 })
	})
}

// TestAFullRestartFromTheLogPutsItsRecordsInForce guards against a fleet that waits forever for a quorum of old
// witness sets in the log, whose daemons have all been replaced.
func TestAFullRestartFromTheLogPutsItsRecordsInForce(t *testing.T) {
	runScenario(t, 3, func(s *sim) {
		for i := range 3 {
			s.replace([]int{i})
			s.eventually(5*time.Minute, "the old daemon is removed", func() bool {
				inForce := s.remaining()[0].process.follower.InForce()
				return !slices.Contains(member.Witnesses(inForce), s.nodes[i].id) && s.converged()
			})
		}
		for _, n := range s.remaining() {
			n.crash()
		}
		for _, n := range s.remaining() {
			n.start()
		}
		s.eventually(20*time.Second, "all records are in force", s.converged)
	})
}

// TestAnOldIncarnationIsRejected guards against two processes of one daemon that serve at the same time, when a new
// one starts while the old one still runs.
func TestAnOldIncarnationIsRejected(t *testing.T) {
	runScenario(t, 3, func(s *sim) {
		old := s.nodes[0].process
		s.nodes[0].start()
		fresh := s.nodes[0].process
		s.eventually(10*time.Second, "the new incarnation has joined", func() bool {
			m, _ := s.nodes[1].process.follower.State().Member("d0")
			v := fresh.membership.View()
			return v != nil && m.Incarnation == v.Incarnation
		})
		s.eventually(2*time.Second, "the old incarnation stops serving", func() bool { return !old.holder.Valid() })
		require.Equal(t, lease.GroundRemoved, old.holder.Status().Ground)
		_, err := s.nodes[1].process.membership.HandleHeartbeat(&wire.HeartbeatRequest{
			DaemonId:    "d0",
			Incarnation: uint64(old.membership.View().Incarnation),
		})
		var superseded *member.SupersededError
		require.ErrorAs(t, err, &superseded)
		require.True(t, fresh.holder.Valid())
		old.stop()
	})
}

// TestANewIncarnationExceedsTheRecordedOne guards against a daemon that can't join because its recorded incarnation
// comes from a clock that was far ahead.
func TestANewIncarnationExceedsTheRecordedOne(t *testing.T) {
	runScenario(t, 3, func(s *sim) {
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
		s.eventually(10*time.Second, "the daemon has joined", func() bool {
			v := n.process.membership.View()
			return v != nil && v.State == config.MemberJoined && v.Incarnation == ahead.Incarnation+1
		})
	})
}

// TestACrashedDaemonIsRemovedAndALeavingOneLeaves guards against a leaving daemon that stops serving too early or
// serves after it has left, and against crashed daemons that count as witnesses forever.
func TestACrashedDaemonIsRemovedAndALeavingOneLeaves(t *testing.T) {
	runScenario(t, 4, func(s *sim) {
		s.nodes[0].crash()
		s.nodes[0].decommissioned = true
		leaving := s.nodes[1].process
		require.NoError(t, leaving.membership.RecordLeaving(context.Background()))
		require.Equal(t, config.MemberLeaving, leaving.membership.View().State)
		require.True(t, leaving.holder.Valid(), "a leaving daemon must still serve")
		require.NoError(t, leaving.membership.RecordLeft(context.Background()))
		require.False(t, leaving.holder.Valid())
		s.eventually(2*time.Minute, "the crashed daemon is removed", func() bool {
			return len(member.Witnesses(s.nodes[2].process.follower.InForce())) == 2
		})
	})
}

// TestANewDaemonServesBeforeItHasJoined guards against new capacity that is useless during a log outage, in which no
// daemon can record that it joins.
func TestANewDaemonServesBeforeItHasJoined(t *testing.T) {
	runScenario(t, 5, func(s *sim) {
		s.limitLogTo()
		s.runFor(5 * time.Second)
		newcomer := s.addNode()
		s.limitLogTo()
		newcomer.start()
		s.eventually(2*time.Second, "the new daemon serves", func() bool { return newcomer.process.holder.Valid() })
		require.Empty(t, newcomer.process.membership.View().State)
		require.Len(t, newcomer.process.membership.View().Members, 5)
		s.requireServing(time.Minute, s.allIndexes()...)
		s.limitLogTo(s.allIndexes()...)
		s.eventually(20*time.Second, "the daemon has joined", func() bool {
			return newcomer.process.membership.View().State == config.MemberJoined && s.converged()
		})
	})
}

// TestServingBehindARecordInForceIsReported guards against an invariant check that misses a violation. It disables a
// rule so that a daemon serves behind a record in force.
func TestServingBehindARecordInForceIsReported(t *testing.T) {
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
		s.writeSettingAsync(0, "a", 2)
		time.Sleep(2 * time.Second)
		require.Zero(t, reports.Load())
		s.limitLogTo(s.allIndexes()...)
		time.Sleep(5 * time.Second)
	})
	require.NotZero(t, reports.Load())
}

// TestAFleetWithoutMembersDoesNotServe guards against daemons that grant each other leases on an empty state, when
// none has ever reached the log.
func TestAFleetWithoutMembersDoesNotServe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSim(t, 3, 1, member.RuleNone)
		defer s.close()
		s.limitLogTo()
		for _, n := range s.nodes {
			n.start()
		}
		s.requireServing(20 * time.Second)
	})
}
