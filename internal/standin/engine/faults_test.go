package engine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// TestOrdersWithStaleTokenOrWrongCredential checks that an engine rejects orders with an older fencing token or another
// credential if its settings say so, and that without the checks it obeys a stale order and counts it.
func TestOrdersWithStaleTokenOrWrongCredential(t *testing.T) {
	for _, checks := range []bool{true, false} {
		e := &Engine{Settings: Settings{ChecksFencing: checks, ChecksIdentity: checks, Credential: "secret"}}
		runEngine(t, e, func(t synctestT, l *InProcessClient) {
			l.Credential = "secret"
			load := extern.EngineOrder{Kind: extern.OrderLoadVersion, Model: "m", Version: "v3", FencingToken: 7}
			started := time.Now()
			require.NoError(t, l.Order(t.Context(), "e1", load))
			require.Equal(t, defaultLoadTime, time.Since(started))
			req := newRequest("r1", 1, 2)
			req.Version = "v3"
			_, _, err := readAnswer(t.T, l, req)
			require.NoError(t, err)

			stale := extern.EngineOrder{Kind: extern.OrderUnloadVersion, Version: "v3", FencingToken: 6}
			err = l.Order(t.Context(), "e1", stale)
			require.Equal(t, checks, err != nil)
			_, _, err = readAnswer(t.T, l, req)
			require.Equal(t, checks, err == nil, "without the check, the stale order is obeyed")
			if !checks {
				require.Empty(t, e.CachedBlocks())
				require.Equal(t, 1, e.Stats().StaleOrdersAccepted)
				return
			}
			var up *extern.UpstreamError
			require.ErrorAs(t, l.Order(t.Context(), "e1", stale), &up)
			require.Equal(t, extern.UpstreamFenced, up.Kind)
			l.Credential = "guess"
			require.ErrorAs(t, l.Order(t.Context(), "e1", load), &up)
			require.Equal(t, extern.UpstreamRejected, up.Kind)
		})
	}
}

// TestLoadOrderFailsIfTheEngineCrashes guards against an order that loads a version into the incarnation after the crash.
func TestLoadOrderFailsIfTheEngineCrashes(t *testing.T) {
	e := &Engine{}
	runEngine(t, e, func(t synctestT, l *InProcessClient) {
		failed := make(chan error, 1)
		go func() {
			failed <- l.Order(t.Context(), "e1", extern.EngineOrder{Kind: extern.OrderLoadVersion, Version: "v3"})
		}()
		time.Sleep(defaultLoadTime / 2)
		e.Crash(0)
		require.Error(t, <-failed)
		require.False(t, e.hasVersion("v3"))
	})
}

func TestAdaptersAreLoadedByOrder(t *testing.T) {
	e := &Engine{}
	runEngine(t, e, func(t synctestT, l *InProcessClient) {
		req := newRequest("r1", 1, 2)
		req.Adapter = "x"
		_, _, err := readAnswer(t.T, l, req)
		require.Error(t, err)
		require.NoError(t, l.Order(t.Context(), "e1", extern.EngineOrder{Kind: extern.OrderLoadAdapter, Adapter: "x"}))
		_, _, err = readAnswer(t.T, l, req)
		require.NoError(t, err)
		require.Error(t, l.Order(t.Context(), "e1", extern.EngineOrder{Kind: "dance"}))
	})
}

func TestBadVersionFailsOnlyUnderItsConditions(t *testing.T) {
	onRoute := func(route ident.RouteID) extern.EngineRequest {
		req := newRequest("r1", 1, 20)
		req.Version, req.Route = "v2", route
		return req
	}
	cases := map[string]struct {
		behaviour Behaviour
		wait      time.Duration
		route     ident.RouteID
		wantError bool
	}{
		"requests fail":            {behaviour: Behaviour{Errors: 1}, wantError: true},
		"answers are truncated":    {behaviour: Behaviour{Truncated: 1}, wantError: true},
		"before faults begin":      {behaviour: Behaviour{Errors: 1, After: time.Minute}},
		"after faults begin":       {behaviour: Behaviour{Errors: 1, After: time.Minute}, wait: time.Minute, wantError: true},
		"on another route":         {behaviour: Behaviour{Errors: 1, Route: "checks"}, route: "notes"},
		"on this route":            {behaviour: Behaviour{Errors: 1, Route: "checks"}, route: "checks", wantError: true},
		"too few running requests": {behaviour: Behaviour{Errors: 1, MinRunning: 1}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			e := &Engine{}
			runEngine(t, e, func(t synctestT, l *InProcessClient) {
				e.SetBehaviour("v2", tc.behaviour)
				time.Sleep(tc.wait)
				_, _, err := readAnswer(t.T, l, onRoute(tc.route))
				require.Equal(t, tc.wantError, err != nil, "%v", err)
				_, _, err = readAnswer(t.T, l, newRequest("r2", 1, 20))
				require.NoError(t, err, "the other version has no faults")
			})
		})
	}
	runEngine(t, &Engine{}, func(t synctestT, l *InProcessClient) {
		e := l.Engines["e1"]
		e.SetBehaviour("v2", Behaviour{Errors: 1, MinRunning: 1})
		s, err := l.Complete(t.Context(), "e1", "e1", newRequest("r0", 1, 500))
		require.NoError(t, err)
		defer s.Close()
		time.Sleep(100 * time.Millisecond)
		_, _, err = readAnswer(t.T, l, onRoute(""))
		require.Error(t, err, "enough requests are running")
	})
}

func TestSlowFactorSlowsVersionOrEngine(t *testing.T) {
	duration := func(change func(*Engine)) time.Duration {
		var d time.Duration
		e := &Engine{}
		runEngine(t, e, func(t synctestT, l *InProcessClient) {
			change(e)
			started := time.Now()
			_, _, err := readAnswer(t.T, l, newRequest("r1", 0, 100))
			require.NoError(t, err)
			d = time.Since(started)
		})
		return d
	}
	good := duration(func(*Engine) {})
	version := duration(func(e *Engine) { e.SetBehaviour("v1", Behaviour{SlowFactor: 3}) })
	engine := duration(func(e *Engine) { e.SetFaults(Faults{SlowFactor: 3}) })
	require.InDelta(t, 3, float64(version)/float64(good), 0.2)
	require.InDelta(t, 3, float64(engine)/float64(good), 0.2)
}

func TestTimeScaleShortensAllDurations(t *testing.T) {
	e := &Engine{Settings: Settings{TimeScale: 0.01}}
	runEngine(t, e, func(t synctestT, l *InProcessClient) {
		started := time.Now()
		_, _, err := readAnswer(t.T, l, newRequest("r1", 8, 100))
		require.NoError(t, err)
		require.Less(t, time.Since(started), 50*time.Millisecond)
	})
}

// TestWorkAfterLeavingIsCounted checks that only requests that start after the grace period count as work after leaving.
func TestWorkAfterLeavingIsCounted(t *testing.T) {
	e := &Engine{}
	runEngine(t, e, func(t synctestT, l *InProcessClient) {
		e.Leave(3 * time.Second)
		_, _, err := readAnswer(t.T, l, newRequest("r1", 0, 1))
		require.NoError(t, err)
		require.Zero(t, e.Stats().WorkAfterLeaving)
		time.Sleep(3 * time.Second)
		_, _, err = readAnswer(t.T, l, newRequest("r2", 0, 1))
		require.NoError(t, err)
		require.Equal(t, 1, e.Stats().WorkAfterLeaving)
		require.Equal(t, map[ident.RequestID]int{"r1": 1, "r2": 1}, e.Runs())
	})
}
