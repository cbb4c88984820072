package engine

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// eventRecorder is an extern.EngineSink that records cache events, with the time of their delivery, and load reports.
type eventRecorder struct {
	mu            sync.Mutex
	cacheEvents   []extern.CacheEvent
	loadReports   []extern.LoadReport
	receivedAfter []time.Duration
	startedAt     time.Time
}

func (s *eventRecorder) CacheEvent(e extern.CacheEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cacheEvents = append(s.cacheEvents, e)
	s.receivedAfter = append(s.receivedAfter, time.Since(s.startedAt))
}

func (s *eventRecorder) LoadReport(r extern.LoadReport) { s.loadReports = append(s.loadReports, r) }

func (s *eventRecorder) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.cacheEvents)
}

// watchInBackground records events until the returned function is called, which returns the error of the watch.
func watchInBackground(t *testing.T, l *InProcessClient, from extern.EnginePosition) (*eventRecorder, func() error) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	s, done := &eventRecorder{startedAt: time.Now()}, make(chan error, 1)
	go func() { done <- l.Watch(ctx, "e1", from, s) }()
	synctest.Wait()
	return s, func() error {
		cancel()
		return <-done
	}
}

// TestEventsAreDeliveredAfterTheLag checks that a watcher gets a resync at once, but later cache events and load reports
// only after EventLag.
func TestEventsAreDeliveredAfterTheLag(t *testing.T) {
	e := &Engine{Settings: Settings{EventLag: time.Second, StepTime: time.Millisecond}}
	runEngine(t, e, func(t synctestT, l *InProcessClient) {
		s, stop := watchInBackground(t.T, l, extern.EnginePosition{})
		_, _, err := readAnswer(t.T, l, newRequest("r1", 2, 1))
		require.NoError(t, err)
		cachedBlocks := e.CachedBlocks()
		time.Sleep(900 * time.Millisecond)
		require.Equal(t, 1, s.count(), "only the resync has been delivered")
		time.Sleep(2 * time.Second)
		require.Error(t, stop())
		require.True(t, s.cacheEvents[0].Resync)
		var added []ident.BlockHash
		for i, event := range s.cacheEvents[1:] {
			require.False(t, event.Resync)
			require.Equal(t, extern.EnginePosition{Incarnation: 1, Sequence: ident.Sequence(i + 1)}, event.Position)
			require.GreaterOrEqual(t, s.receivedAfter[i+1], time.Second)
			added = append(added, event.Added...)
		}
		require.ElementsMatch(t, cachedBlocks, added)
		require.NotEmpty(t, s.loadReports)
		require.Equal(t, time.Second, s.loadReports[0].Lag)
	})
}

// TestLostEventsLeaveGapsThatAResyncCloses checks that lost events show as gaps in the sequence, and that a watch gets a
// resync from the zero position, another incarnation or a sequence not reached yet, but none from the latest position.
func TestLostEventsLeaveGapsThatAResyncCloses(t *testing.T) {
	e := &Engine{Settings: Settings{EventGaps: 0.5, CacheBlocks: 1000, Seed: 1}}
	runEngine(t, e, func(t synctestT, l *InProcessClient) {
		s, stop := watchInBackground(t.T, l, extern.EnginePosition{})
		for i := range 20 {
			req := newRequest("r", 1, 1)
			req.Organisation = ident.OrganisationID(rune('a' + i))
			_, _, err := readAnswer(t.T, l, req)
			require.NoError(t, err)
		}
		require.Error(t, stop())
		last := s.cacheEvents[len(s.cacheEvents)-1].Position.Sequence
		require.Less(t, len(s.cacheEvents)-1, 20, "some were lost")
		require.Greater(t, int(last), len(s.cacheEvents)-1, "the sequence shows the gap")

		s, stop = watchInBackground(t.T, l, extern.EnginePosition{Incarnation: 1, Sequence: last})
		require.Error(t, stop())
		for _, event := range s.cacheEvents {
			require.False(t, event.Resync, "no events since the position are missing")
		}
		for _, from := range []extern.EnginePosition{{}, {Incarnation: 7, Sequence: 3}, {Incarnation: 1, Sequence: 999}} {
			s, stop = watchInBackground(t.T, l, from)
			require.Error(t, stop())
			require.True(t, s.cacheEvents[0].Resync)
			require.ElementsMatch(t, e.CachedBlocks(), s.cacheEvents[0].Added)
		}
	})
}

func TestWatchEndsWhenTheEngineCrashes(t *testing.T) {
	e := &Engine{}
	runEngine(t, e, func(t synctestT, l *InProcessClient) {
		_, stop := watchInBackground(t.T, l, extern.EnginePosition{})
		e.Crash(time.Second)
		var up *extern.UpstreamError
		require.ErrorAs(t, stop(), &up)
		require.Equal(t, extern.UpstreamBroken, up.Kind)
	})
}
