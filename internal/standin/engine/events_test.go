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

// seen collects what an engine publishes.
type seen struct {
	mu    sync.Mutex
	cache []extern.CacheEvent
	load  []extern.LoadReport
	at    []time.Duration
	start time.Time
}

func (s *seen) CacheEvent(e extern.CacheEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cache = append(s.cache, e)
	s.at = append(s.at, time.Since(s.start))
}

func (s *seen) LoadReport(r extern.LoadReport) { s.load = append(s.load, r) }

func (s *seen) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.cache)
}

// watch collects events in the background until the returned function is called.
func watch(t *testing.T, l *InProcessClient, from extern.EnginePosition) (*seen, func() error) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	s, done := &seen{start: time.Now()}, make(chan error, 1)
	go func() { done <- l.Watch(ctx, "e1", from, s) }()
	synctest.Wait()
	return s, func() error {
		cancel()
		return <-done
	}
}

func TestEventsComeLate(t *testing.T) {
	e := &Engine{Settings: Settings{EventLag: time.Second, StepTime: time.Millisecond}}
	with(t, e, func(t bubble, l *InProcessClient) {
		s, stop := watch(t.T, l, extern.EnginePosition{})
		_, _, err := answer(t.T, l, ask("r1", 2, 1))
		require.NoError(t, err)
		held := e.CachedBlocks()
		time.Sleep(900 * time.Millisecond)
		require.Equal(t, 1, s.count(), "the resync only")
		time.Sleep(2 * time.Second)
		require.Error(t, stop())
		require.True(t, s.cache[0].Resync)
		var added []ident.BlockHash
		for i, event := range s.cache[1:] {
			require.False(t, event.Resync)
			require.Equal(t, extern.EnginePosition{Incarnation: 1, Sequence: ident.Sequence(i + 1)}, event.Position)
			require.GreaterOrEqual(t, s.at[i+1], time.Second)
			added = append(added, event.Added...)
		}
		require.ElementsMatch(t, held, added)
		require.NotEmpty(t, s.load)
		require.Equal(t, time.Second, s.load[0].Lag)
	})
}

func TestEventsHaveGapsAndAResyncMendsThem(t *testing.T) {
	e := &Engine{Settings: Settings{EventGaps: 0.5, CacheBlocks: 1000, Seed: 1}}
	with(t, e, func(t bubble, l *InProcessClient) {
		s, stop := watch(t.T, l, extern.EnginePosition{})
		for i := range 20 {
			req := ask("r", 1, 1)
			req.Organisation = ident.OrganisationID(rune('a' + i))
			_, _, err := answer(t.T, l, req)
			require.NoError(t, err)
		}
		require.Error(t, stop())
		last := s.cache[len(s.cache)-1].Position.Sequence
		require.Less(t, len(s.cache)-1, 20, "some were lost")
		require.Greater(t, int(last), len(s.cache)-1, "the sequence shows the gap")

		s, stop = watch(t.T, l, extern.EnginePosition{Incarnation: 1, Sequence: last})
		require.Error(t, stop())
		for _, event := range s.cache {
			require.False(t, event.Resync, "nothing is missing since")
		}
		for _, from := range []extern.EnginePosition{{}, {Incarnation: 7, Sequence: 3}, {Incarnation: 1, Sequence: 999}} {
			s, stop = watch(t.T, l, from)
			require.Error(t, stop())
			require.True(t, s.cache[0].Resync)
			require.ElementsMatch(t, e.CachedBlocks(), s.cache[0].Added)
		}
	})
}

func TestWatchEndsWithACrash(t *testing.T) {
	e := &Engine{}
	with(t, e, func(t bubble, l *InProcessClient) {
		_, stop := watch(t.T, l, extern.EnginePosition{})
		e.Crash(time.Second)
		var up *extern.UpstreamError
		require.ErrorAs(t, stop(), &up)
		require.Equal(t, extern.UpstreamBroken, up.Kind)
	})
}
