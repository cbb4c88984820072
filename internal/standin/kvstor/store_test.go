package kvstor

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/transport/engine"
)

// TestLeastRecentlyUsedBlockIsEvicted checks that a lookup counts as a use of the blocks that it finds.
func TestLeastRecentlyUsedBlockIsEvicted(t *testing.T) {
	s := &Store{Blocks: 3}
	s.Export(t.Context(), []ident.BlockHash{1, 2, 3})
	require.Equal(t, 1, s.LookupPrefix(t.Context(), []ident.BlockHash{1, 9, 2}))
	s.Export(t.Context(), []ident.BlockHash{4})
	require.Equal(t, 2, s.LookupPrefix(t.Context(), []ident.BlockHash{1, 4, 2}), "2 was evicted")
	require.Equal(t, Stats{Exported: 4, Evicted: 1, Lookups: 2, Found: 3}, s.Stats())
}

// TestStoreOverHTTP exports, looks up and watches blocks over HTTP, among them a hash with the top bit set, which a
// signed or floating-point decoding would corrupt. During an outage a lookup finds nothing.
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
	sink := &firstEventSink{stop: cancel}
	require.Error(t, c.Watch(ctx, s.URL(), extern.EnginePosition{}, sink))
	require.True(t, sink.events[0].Resync)
	require.ElementsMatch(t, []ident.BlockHash{1, 1 << 63}, sink.events[0].Added)

	s.SetOutage(true)
	require.Zero(t, r.LookupPrefix(t.Context(), []ident.BlockHash{1}))
}

// firstEventSink is an extern.EngineSink that records cache events and stops the watch at the first one.
type firstEventSink struct {
	events []extern.CacheEvent
	stop   func()
}

func (e *firstEventSink) CacheEvent(event extern.CacheEvent) {
	e.events = append(e.events, event)
	e.stop()
}

func (e *firstEventSink) LoadReport(extern.LoadReport) {}
