package reload

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

func engine(id string, has int64, requests int) candidate {
	return candidate{engine: &view.Upstream{ID: ident.UpstreamID(id)}, has: has, version: 9, requests: requests}
}

func TestTheOldestVersionGoesFirstThenTheLeastBusy(t *testing.T) {
	all := []candidate{engine("idle", 3, 0), engine("busy", 2, 9), engine("calm", 3, 1), engine("old", 2, 4)}
	picked := next(12, 0, all)
	var ids []string
	for _, c := range picked {
		ids = append(ids, string(c.engine.ID))
	}
	require.Equal(t, []string{"old", "busy", "idle", "calm"}, ids)
}

func TestOnlySoManyEnginesAreOutAtOnce(t *testing.T) {
	for all, loads := range map[int]int{1: 1, 2: 1, 3: 1, 12: 2, 18: 3, 140: 23} {
		require.Equal(t, loads, atOnce(all), "%d engines", all)
	}
	require.Len(t, next(2, 0, []candidate{engine("a", 1, 0), engine("b", 1, 0)}), 1, "one of two stays")
	require.Empty(t, next(12, 4, []candidate{engine("a", 1, 0)}))
}

func TestAnEngineLoadsWhenItIsIdleOrHasWaitedLong(t *testing.T) {
	now := time.Now()
	j := &job{since: now.Add(-100 * time.Millisecond)}
	require.True(t, mayLoad(j, 0, 0, 12, now))
	require.False(t, mayLoad(j, 1, 0, 12, now), "requests run")
	require.False(t, mayLoad(j, 0, 2, 12, now), "two load")
	require.True(t, mayLoad(&job{since: now.Add(-quietMost)}, 3, 0, 12, now))
	require.False(t, mayLoad(&job{since: now}, 0, 0, 12, now), "the other daemons have not heard of it")
}

func TestAReportThatLagsDoesNotHoldUpTheNextLoad(t *testing.T) {
	now := time.Now()
	j := &job{phase: phaseLoading, since: now.Add(-loadGuess + reportLag)}
	require.True(t, j.nearlyDone(loadGuess, now))
	j.phase = phaseQuiet
	require.False(t, j.nearlyDone(loadGuess, now))
}
