package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/config"
)

func TestEveryLeaseMeetsEverySetThatPutsInForce(t *testing.T) {
	for n := 1; n <= 500; n++ {
		require.Greater(t, LeaseQuorum(n)+forceQuorum(n), n)
		require.Equal(t, n+1, LeaseQuorum(n)+forceQuorum(n), "a larger lease quorum would serve less often")
		require.Greater(t, 2*forceQuorum(n), n)
	}
	require.Equal(t, 1, LeaseQuorum(0))
}

func TestAnswersAreKeptInTheOrderOfTheirHeartbeats(t *testing.T) {
	start := time.Now()
	p := &peer{}
	for _, second := range []int{1, 3, 2, 6, 5, 4} {
		p.keep(HeartbeatAck{Sent: start.Add(time.Duration(second) * time.Second)})
	}
	require.Len(t, p.answers, keptAnswers)
	for i, second := range []int{6, 5, 4, 3} {
		require.Equal(t, start.Add(time.Duration(second)*time.Second), p.answers[i].Sent)
	}
}

func TestANewIncarnationVoidsTheAnswersOfTheOld(t *testing.T) {
	p := &peer{}
	require.True(t, p.meet(7, 20))
	p.keep(HeartbeatAck{Incarnation: 7, Applied: 20})
	require.False(t, p.meet(6, 30), "an old incarnation is not heard")
	require.EqualValues(t, 20, p.applied)
	require.True(t, p.meet(8, 5))
	require.Empty(t, p.answers)
	require.EqualValues(t, 5, p.applied)
}

func TestSupportIsTheNewestAnswerThatNamesNothingNewer(t *testing.T) {
	start := time.Now()
	p := &peer{}
	p.keep(HeartbeatAck{Sent: start, Applied: 4})
	p.keep(HeartbeatAck{Sent: start.Add(1), Applied: 5})
	p.keep(HeartbeatAck{Sent: start.Add(2), Applied: 6})
	a, ok := p.support(5)
	require.True(t, ok)
	require.EqualValues(t, 5, a.Applied)
	_, ok = p.support(3)
	require.False(t, ok)
	p.answers[1].Recovering = true
	a, _ = p.support(5)
	require.EqualValues(t, 4, a.Applied)
}

func TestViewsLeaveOutWhoIsDeadByTheNewestState(t *testing.T) {
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
	var known sets
	require.Equal(t, "[[a] [a c] [c]]", sprint(known.views(history, state, state.Offset())))
	require.Equal(t, "[[a] [a c]]", sprint(known.views(history, state, 3)))
	require.Len(t, known.byChange, len(history))
	known.prune(history[3:])
	require.Len(t, known.byChange, 2)
}

func sprint(v any) string { return fmt.Sprint(v) }
