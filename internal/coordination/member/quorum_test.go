package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/config"
)

// TestLeaseQuorumIntersectsInForceQuorum guards against a lease whose witnesses include none that has applied a
// record in force.
func TestLeaseQuorumIntersectsInForceQuorum(t *testing.T) {
	for n := 1; n <= 500; n++ {
		require.Greater(t, LeaseQuorum(n)+inForceQuorum(n), n)
		require.Equal(t, n+1, LeaseQuorum(n)+inForceQuorum(n), "a larger lease quorum would make leases rarer without need")
		require.Greater(t, 2*inForceQuorum(n), n)
	}
	require.Equal(t, 1, LeaseQuorum(0))
}

// TestAcksAreKeptInTheOrderOfTheirHeartbeats guards against an older acknowledgement that arrives late and counts as
// the newest.
func TestAcksAreKeptInTheOrderOfTheirHeartbeats(t *testing.T) {
	start := time.Now()
	p := &peer{}
	for _, second := range []int{1, 3, 2, 6, 5, 4} {
		p.addAck(HeartbeatAck{Sent: start.Add(time.Duration(second) * time.Second)})
	}
	require.Len(t, p.acks, maxKeptAcks)
	for i, second := range []int{6, 5, 4, 3} {
		require.Equal(t, start.Add(time.Duration(second)*time.Second), p.acks[i].Sent)
	}
}

// TestANewIncarnationDiscardsAcksOfTheOldOne guards against acknowledgements of a crashed process that count for its
// successor, which has lost their records.
func TestANewIncarnationDiscardsAcksOfTheOldOne(t *testing.T) {
	p := &peer{}
	require.True(t, p.observe(7, 20))
	p.addAck(HeartbeatAck{Incarnation: 7, Applied: 20})
	require.False(t, p.observe(6, 30), "a message of an old incarnation must be ignored")
	require.EqualValues(t, 20, p.applied)
	require.True(t, p.observe(8, 5))
	require.Empty(t, p.acks)
	require.EqualValues(t, 5, p.applied)
}

// TestSupportingAckIsTheNewestWithoutAHigherOffset guards against a lease that is based on a daemon which already has a
// newer record or which is recovering.
func TestSupportingAckIsTheNewestWithoutAHigherOffset(t *testing.T) {
	start := time.Now()
	p := &peer{}
	p.addAck(HeartbeatAck{Sent: start, Applied: 4})
	p.addAck(HeartbeatAck{Sent: start.Add(1), Applied: 5})
	p.addAck(HeartbeatAck{Sent: start.Add(2), Applied: 6})
	a, ok := p.supportingAck(5)
	require.True(t, ok)
	require.EqualValues(t, 5, a.Applied)
	_, ok = p.supportingAck(3)
	require.False(t, ok)
	p.acks[1].Recovering = true
	a, _ = p.supportingAck(5)
	require.EqualValues(t, 4, a.Applied)
}

// TestQuorumSetsLeaveOutDaemonsDeadInTheNewestState guards against records that never come into force because a dead
// daemon is needed for the quorum of an older state.
func TestQuorumSetsLeaveOutDaemonsDeadInTheNewestState(t *testing.T) {
	state := config.NewState()
	var history []*config.State
	for i, m := range []*config.Member{
		{ID: "a", Incarnation: 1, State: config.MemberJoined},
		{ID: "b", Incarnation: 1, State: config.MemberJoined},
		{ID: "c", Incarnation: 1, State: config.MemberJoined},
		{ID: "b", Incarnation: 1, State: config.MemberDead},
		{ID: "a", Incarnation: 1, State: config.MemberRemoved},
	} {
		next, err := state.Apply(state.Offset()+1, config.NewRecord("r", "o", state.Revision(config.PathOf(m)), m))
		require.NoError(t, err, "%d", i)
		state = next
		history = append(history, state)
	}
	var cache witnessSets
	require.Equal(t, "[[a] [a c] [c]]", sprint(cache.quorumSets(history, state, state.Offset())))
	require.Equal(t, "[[a] [a c]]", sprint(cache.quorumSets(history, state, 3)))
	require.Len(t, cache.byChange, len(history))
	cache.prune(history[3:])
	require.Len(t, cache.byChange, 2)
}

func sprint(v any) string { return fmt.Sprint(v) }
