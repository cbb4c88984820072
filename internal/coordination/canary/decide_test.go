package canary

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/coordination/moves"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// playedStep is a share and the time after the order at which it began.
type playedStep struct {
	at    time.Duration
	share ident.Permille
}

// playSteps calls decide every 100 ms and returns the steps and the final state. input may change what a decision depends on.
func playSteps(within time.Duration, input func(in *decisionInput)) (played []playedStep, end view.RolloutState, endedAt time.Duration) {
	stage, since := Stage{State: view.RolloutInProgress, Release: "v2"}, time.Duration(0)
	for elapsed := time.Duration(0); elapsed <= 2*within; elapsed += evaluationInterval {
		in := &decisionInput{
			stage: stage, within: within, elapsed: elapsed, stageAge: elapsed - since, newReady: 4,
			verdict: moves.Verdict{Finding: moves.FindingGood, HasBaseline: true},
		}
		input(in)
		next := decide(in)
		if next == nil {
			continue
		}
		stage, since = *next, elapsed
		if stage.State.Ended() {
			return played, stage.State, elapsed
		}
		played = append(played, playedStep{elapsed, stage.Share})
	}
	return played, stage.State, 2 * within
}

// Guards against a status that is written in time but too late for operators to read it.
func TestGoodReleaseIsCompletedInTime(t *testing.T) {
	for _, within := range []time.Duration{4 * time.Second, 15 * time.Second, time.Minute, time.Hour} {
		_, end, at := playSteps(within, func(*decisionInput) {})
		require.Equal(t, view.RolloutCompleted, end, within)
		require.Less(t, at, within)
		_, end, at = playSteps(within, func(in *decisionInput) { in.oldRequests = 3 })
		require.Equal(t, view.RolloutCompleted, end, "requests at the old release that don't end")
		require.LessOrEqual(t, at, within-min(statusReserve, within/10)+evaluationInterval)
		_, end, at = playSteps(within, func(in *decisionInput) { in.verdict.Suspicious = true })
		require.Equal(t, view.RolloutCompleted, end, "some evidence is no reason to hold a release back")
		require.Less(t, at, within)
	}
}

// Guards against a release that gets more than the tenth of the requests that a bad one may get, before most of the time
// to judge it has passed.
func TestExposureBeforeFullShareIsSmall(t *testing.T) {
	const within = 15 * time.Second
	played, _, _ := playSteps(within, func(*decisionInput) {})
	exposed := 0.0
	for i, p := range played[:len(played)-1] {
		exposed += (played[i+1].at - p.at).Seconds() * float64(p.share) / float64(fullShare)
	}
	last := played[len(played)-1]
	require.Equal(t, fullShare, last.share)
	require.GreaterOrEqual(t, last.at, within*8/10)
	require.Less(t, exposed/within.Seconds(), 0.1)
}

func TestStoppedReleaseIsRolledBackAtEveryShare(t *testing.T) {
	for _, share := range []ident.Permille{0, 30, 80, 200, fullShare} {
		next := decide(&decisionInput{
			stage: Stage{State: view.RolloutInProgress, Share: share}, within: time.Minute, elapsed: 59 * time.Second,
			stageAge: time.Minute, stopReason: "slow", newReady: 4,
		})
		require.NotNil(t, next)
		require.Equal(t, view.RolloutRolledBack, next.State)
		require.Zero(t, next.Share)
		require.Nil(t, decide(&decisionInput{stage: *next, stopReason: "slow"}), "a final state stays")
	}
}

func TestReleaseWithoutUpstreamsIsRolledBackAfterItsTime(t *testing.T) {
	played, end, at := playSteps(10*time.Second, func(in *decisionInput) { in.newReady = 0 })
	require.Empty(t, played)
	require.Equal(t, view.RolloutRolledBack, end)
	require.Greater(t, at, 10*time.Second)
}

// Guards against a stage of a former leader, or one that is told late, that replaces a newer or a final one.
func TestOlderStageDoesNotReplaceNewer(t *testing.T) {
	running := &Stage{Order: 5, Term: 3, Sequence: 2, State: view.RolloutInProgress, Share: 80}
	for name, c := range map[string]struct {
		stage Stage
		want  bool
	}{
		"nothing new":              {Stage{Order: 5, Term: 3, Sequence: 2, State: view.RolloutInProgress}, false},
		"next decision":            {Stage{Order: 5, Term: 3, Sequence: 3, State: view.RolloutInProgress}, true},
		"former leader":            {Stage{Order: 5, Term: 2, Sequence: 9, State: view.RolloutInProgress}, false},
		"next leader":              {Stage{Order: 5, Term: 4, Sequence: 1, State: view.RolloutInProgress}, true},
		"final state":              {Stage{Order: 5, Term: 2, Sequence: 1, State: view.RolloutRolledBack}, true},
		"former order, next term":  {Stage{Order: 4, Term: 9, Sequence: 1, State: view.RolloutCompleted}, false},
		"next order, at its start": {Stage{Order: 6, State: view.RolloutInProgress}, true},
	} {
		require.Equal(t, c.want, c.stage.supersedes(running), name)
	}
	final := &Stage{Order: 5, Term: 3, Sequence: 2, State: view.RolloutCompleted}
	require.False(t, (&Stage{Order: 5, Term: 9, Sequence: 9, State: view.RolloutInProgress}).supersedes(final))
}

// Guards against a good release that is completed too late because nobody led the rollout for some seconds.
func TestLateRolloutCatchesUp(t *testing.T) {
	const within = 15 * time.Second
	noLeaderUntil := func(at time.Duration) func(in *decisionInput) {
		return func(in *decisionInput) {
			if in.elapsed > 9*time.Second && in.elapsed < at {
				in.newReady = 0
			}
		}
	}
	for _, at := range []time.Duration{11 * time.Second, 12 * time.Second, 13 * time.Second} {
		_, end, endedAt := playSteps(within, noLeaderUntil(at))
		require.Equal(t, view.RolloutCompleted, end)
		require.Less(t, endedAt, within, "led from %v on", at)
	}
	_, _, endedAt := playSteps(within, func(in *decisionInput) {
		noLeaderUntil(13 * time.Second)(in)
		in.verdict.Suspicious = true
	})
	require.Greater(t, endedAt, within, "with evidence against the release the steps stay as they are")
}
