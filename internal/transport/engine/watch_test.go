package engine_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	standin "github.com/gooseberryway/gooseberryway/internal/standin/engine"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// sink collects what an engine publishes.
type sink struct {
	mu    sync.Mutex
	cache []extern.CacheEvent
	load  []extern.LoadReport
}

func (s *sink) CacheEvent(e extern.CacheEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cache = append(s.cache, e)
}

func (s *sink) LoadReport(r extern.LoadReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.load = append(s.load, r)
}

func (s *sink) held() map[ident.BlockHash]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := map[ident.BlockHash]bool{}
	for _, e := range s.cache {
		if e.Resync {
			clear(held)
		}
		for _, hash := range e.Added {
			held[hash] = true
		}
		for _, hash := range e.Removed {
			delete(held, hash)
		}
	}
	return held
}

func TestWatchFollowsTheCache(t *testing.T) {
	e, c := startEngine(t, standin.Settings{CacheBlocks: 5, EventLag: 100 * time.Millisecond}), startClient(t)
	got, ended := &sink{}, make(chan error, 1)
	go func() { ended <- c.Watch(t.Context(), e.URL(), extern.EnginePosition{}, got) }()
	for _, organisation := range []ident.OrganisationID{"survey", "audit", "crew"} {
		req := request("r1")
		req.Organisation = organisation
		s, err := c.Complete(t.Context(), "e1", e.URL(), req)
		require.NoError(t, err)
		_, _, err = readAll(t, s, 0)
		require.NoError(t, err)
		require.NoError(t, s.Close())
	}
	require.Eventually(t, func() bool {
		held := e.CachedBlocks()
		seen := got.held()
		for _, hash := range held {
			if !seen[hash] {
				return false
			}
		}
		return len(held) == len(seen) && len(seen) > 0
	}, 30*time.Second, time.Millisecond)
	require.Eventually(t, func() bool {
		got.mu.Lock()
		defer got.mu.Unlock()
		return len(got.load) > 0 && got.load[0].Versions[0] == "v1" && got.load[0].Lag >= time.Millisecond
	}, 30*time.Second, time.Millisecond)
	e.Crash(time.Hour)
	var up *extern.UpstreamError
	require.ErrorAs(t, <-ended, &up)
	require.Equal(t, extern.UpstreamBroken, up.Kind)
}

func TestWatchGivesUpOnASilentEngine(t *testing.T) {
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = http.NewResponseController(w).Flush()
		<-release
	}))
	defer server.Close()
	defer close(release)
	c := startClient(t)
	c.WatchTimeout = 50 * time.Millisecond
	var up *extern.UpstreamError
	require.ErrorAs(t, c.Watch(t.Context(), server.URL, extern.EnginePosition{}, &sink{}), &up)
	require.Equal(t, extern.UpstreamTimeout, up.Kind)

	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.ErrorAs(t, c.Watch(ctx, server.URL, extern.EnginePosition{}, &sink{}), &up)
	require.NotEqual(t, extern.UpstreamTimeout, up.Kind)
}
