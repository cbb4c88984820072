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

// sink records the cache events and load reports of an engine.
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

// cachedBlocks applies the recorded events in order and returns the blocks in the cache.
func (s *sink) cachedBlocks() map[ident.BlockHash]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	blocks := map[ident.BlockHash]bool{}
	for _, e := range s.cache {
		if e.Resync {
			clear(blocks)
		}
		for _, hash := range e.Added {
			blocks[hash] = true
		}
		for _, hash := range e.Removed {
			delete(blocks, hash)
		}
	}
	return blocks
}

// The recorded cache events must converge to the engine's cache, which evicts blocks because it holds only 5. A crash of
// the engine must end Watch with an error.
func TestWatchFollowsCacheEvents(t *testing.T) {
	e, c := startEngine(t, standin.Settings{CacheBlocks: 5, EventLag: 100 * time.Millisecond}), startClient(t)
	received, watchErr := &sink{}, make(chan error, 1)
	go func() { watchErr <- c.Watch(t.Context(), e.URL(), extern.EnginePosition{}, received) }()
	for _, organisation := range []ident.OrganisationID{"survey", "audit", "crew"} {
		req := newRequest("r1")
		req.Organisation = organisation
		s, err := c.Complete(t.Context(), "e1", e.URL(), req)
		require.NoError(t, err)
		_, _, err = readStream(t, s, 0)
		require.NoError(t, err)
		require.NoError(t, s.Close())
	}
	require.Eventually(t, func() bool {
		want := e.CachedBlocks()
		seen := received.cachedBlocks()
		for _, hash := range want {
			if !seen[hash] {
				return false
			}
		}
		return len(want) == len(seen) && len(seen) > 0
	}, 30*time.Second, time.Millisecond)
	require.Eventually(t, func() bool {
		received.mu.Lock()
		defer received.mu.Unlock()
		return len(received.load) > 0 && received.load[0].Versions[0] == "v1" && received.load[0].Lag >= time.Millisecond
	}, 30*time.Second, time.Millisecond)
	e.Crash(time.Hour)
	var up *extern.UpstreamError
	require.ErrorAs(t, <-watchErr, &up)
	require.Equal(t, extern.UpstreamBroken, up.Kind)
}

// An engine that keeps the connection open without sending must end Watch with a timeout. A cancelled context must not be
// reported as one.
func TestWatchTimesOutOnSilentEngine(t *testing.T) {
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
