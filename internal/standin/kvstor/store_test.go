package kvstor

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/transport/engine"
)

func TestLeastRecentlyUsedBlocksGoFirst(t *testing.T) {
	s := &Store{Blocks: 3}
	s.Export(t.Context(), []ident.BlockHash{1, 2, 3})
	require.Equal(t, 1, s.LookupPrefix(t.Context(), []ident.BlockHash{1, 9, 2}))
	s.Export(t.Context(), []ident.BlockHash{4})
	require.Equal(t, 2, s.LookupPrefix(t.Context(), []ident.BlockHash{1, 4, 2}), "2 was evicted")
	require.Equal(t, Stats{Exported: 4, Evicted: 1, Lookups: 2, Found: 3}, s.Stats())
}

func TestStoreOverHTTP(t *testing.T) {
	s := &Store{}
	require.NoError(t, s.Start(t.Context()))
	r, c := &Remote{BaseURL: s.URL()}, &engine.Client{}
	t.Cleanup(func() {
		require.NoError(t, r.Pool.Close())
		require.NoError(t, c.Close())
		require.NoError(t, s.Close())
	})
	r.Export(t.Context(), []ident.BlockHash{1, 1 << 63})
	require.Equal(t, 2, r.LookupPrefix(t.Context(), []ident.BlockHash{1, 1 << 63, 5}))

	ctx, cancel := context.WithCancel(t.Context())
	watched := &firstEvent{stop: cancel}
	require.Error(t, c.Watch(ctx, s.URL(), extern.EnginePosition{}, watched))
	require.True(t, watched.got[0].Resync)
	require.ElementsMatch(t, []ident.BlockHash{1, 1 << 63}, watched.got[0].Added)

	s.SetOutage(true)
	require.Zero(t, r.LookupPrefix(t.Context(), []ident.BlockHash{1}))
}

// firstEvent collects one event.
type firstEvent struct {
	got  []extern.CacheEvent
	stop func()
}

func (e *firstEvent) CacheEvent(event extern.CacheEvent) {
	e.got = append(e.got, event)
	e.stop()
}

func (e *firstEvent) LoadReport(extern.LoadReport) {}
