package wstore

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	adapter "github.com/gooseberryway/gooseberryway/internal/transport/wstore"
)

func TestParallelLoadsShareTheRate(t *testing.T) {
	cases := map[string]struct {
		parallel, loads int
		want            time.Duration
	}{
		"one load":                         {parallel: 2, loads: 1, want: 600 * time.Millisecond},
		"as many loads as the limit":       {parallel: 2, loads: 2, want: 600 * time.Millisecond},
		"twice as many loads as the limit": {parallel: 2, loads: 4, want: 1200 * time.Millisecond},
		"limit of three loads":             {parallel: 3, loads: 3, want: 600 * time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &Store{ParallelLoads: tc.parallel}
				started := time.Now()
				var wg sync.WaitGroup
				for range tc.loads {
					wg.Go(func() { _ = s.Load(t.Context(), "v1") })
				}
				wg.Wait()
				require.InDelta(t, tc.want, time.Since(started), float64(10*time.Millisecond))
				require.Equal(t, Stats{Loads: tc.loads, PeakLoads: tc.loads}, s.Stats())
			})
		})
	}
}

// A load that starts and is cancelled while another runs slows the other only for that time: 200 ms at half speed make
// the load of 600 ms take 700 ms.
func TestLoadSlowsOthersOnlyWhileItRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &Store{ParallelLoads: 1}
		ctx, cancel := context.WithCancel(t.Context())
		started := time.Now()
		var wg sync.WaitGroup
		wg.Go(func() { _ = s.Load(t.Context(), "v1") })
		time.Sleep(100 * time.Millisecond)
		wg.Go(func() { _ = s.Load(ctx, "v2") })
		time.Sleep(200 * time.Millisecond)
		cancel()
		wg.Wait()
		require.InDelta(t, 700*time.Millisecond, time.Since(started), float64(time.Millisecond))
	})
}

func TestStatAndLoadOverHTTP(t *testing.T) {
	weights := extern.Weights{Name: "ledger-v2", Bytes: 5}
	s := &Store{Weights: map[ident.VersionID]extern.Weights{"v2": weights}, TimeScale: 0.01}
	require.NoError(t, s.Start(t.Context()))
	c, r := &adapter.Client{BaseURL: s.URL()}, &Remote{BaseURL: s.URL()}
	t.Cleanup(func() {
		require.NoError(t, c.Close())
		require.NoError(t, r.Pool.Close())
		require.NoError(t, s.Close())
	})
	got, err := c.Stat(t.Context(), "v2")
	require.NoError(t, err)
	require.Equal(t, weights, got)
	require.NoError(t, r.Load(t.Context(), "v2"))

	var upstreamErr *extern.UpstreamError
	_, err = c.Stat(t.Context(), "v9")
	require.ErrorAs(t, err, &upstreamErr)
	require.Equal(t, extern.UpstreamRejected, upstreamErr.Kind)
	require.ErrorAs(t, r.Load(t.Context(), "v9"), &upstreamErr)
	s.SetOutage(true)
	_, err = c.Stat(t.Context(), "v2")
	require.ErrorAs(t, err, &upstreamErr)
	require.Equal(t, extern.UpstreamOverloaded, upstreamErr.Kind)
}
