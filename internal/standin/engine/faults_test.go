package engine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

func TestOrders(t *testing.T) {
	for _, checks := range []bool{true, false} {
		e := &Engine{Settings: Settings{ChecksFencing: checks, ChecksIdentity: checks, Credential: "secret"}}
		with(t, e, func(t bubble, l *InProcessClient) {
			l.Credential = "secret"
			load := extern.EngineOrder{Kind: extern.OrderLoadVersion, Model: "m", Version: "v3", FencingToken: 7}
			started := time.Now()
			require.NoError(t, l.Order(t.Context(), "e1", load))
			require.Equal(t, defaultLoadVersion, time.Since(started))
			req := ask("r1", 1, 2)
			req.Version = "v3"
			_, _, err := answer(t.T, l, req)
			require.NoError(t, err)

			old := extern.EngineOrder{Kind: extern.OrderUnloadVersion, Version: "v3", FencingToken: 6}
			err = l.Order(t.Context(), "e1", old)
			require.Equal(t, checks, err != nil)
			_, _, err = answer(t.T, l, req)
			require.Equal(t, checks, err == nil, "an engine that ignores the number obeys")
			if !checks {
				require.Empty(t, e.CachedBlocks())
				require.Equal(t, 1, e.Stats().StaleOrdersTaken)
				return
			}
			var up *extern.UpstreamError
			require.ErrorAs(t, l.Order(t.Context(), "e1", old), &up)
			require.Equal(t, extern.UpstreamFenced, up.Kind)
			l.Credential = "guess"
			require.ErrorAs(t, l.Order(t.Context(), "e1", load), &up)
			require.Equal(t, extern.UpstreamRejected, up.Kind)
		})
	}
}

func TestAnOrderDoesNotOutliveACrash(t *testing.T) {
	e := &Engine{}
	with(t, e, func(t bubble, l *InProcessClient) {
		failed := make(chan error, 1)
		go func() {
			failed <- l.Order(t.Context(), "e1", extern.EngineOrder{Kind: extern.OrderLoadVersion, Version: "v3"})
		}()
		time.Sleep(defaultLoadVersion / 2)
		e.Crash(0)
		require.Error(t, <-failed)
		require.False(t, e.hasVersion("v3"))
	})
}

func TestAdaptersAreLoadedByOrder(t *testing.T) {
	e := &Engine{}
	with(t, e, func(t bubble, l *InProcessClient) {
		req := ask("r1", 1, 2)
		req.Adapter = "x"
		_, _, err := answer(t.T, l, req)
		require.Error(t, err)
		require.NoError(t, l.Order(t.Context(), "e1", extern.EngineOrder{Kind: extern.OrderLoadAdapter, Adapter: "x"}))
		_, _, err = answer(t.T, l, req)
		require.NoError(t, err)
		require.Error(t, l.Order(t.Context(), "e1", extern.EngineOrder{Kind: "dance"}))
	})
}

func TestBadVersions(t *testing.T) {
	onRoute := func(route ident.RouteID) extern.EngineRequest {
		req := ask("r1", 1, 20)
		req.Version, req.Route = "v2", route
		return req
	}
	cases := map[string]struct {
		behaviour Behaviour
		wait      time.Duration
		route     ident.RouteID
		fails     bool
	}{
		"fails":               {behaviour: Behaviour{Errors: 1}, fails: true},
		"truncates":           {behaviour: Behaviour{Truncated: 1}, fails: true},
		"later, still good":   {behaviour: Behaviour{Errors: 1, After: time.Minute}},
		"later, now bad":      {behaviour: Behaviour{Errors: 1, After: time.Minute}, wait: time.Minute, fails: true},
		"on another route":    {behaviour: Behaviour{Errors: 1, Route: "checks"}, route: "notes"},
		"on this route":       {behaviour: Behaviour{Errors: 1, Route: "checks"}, route: "checks", fails: true},
		"under load, no load": {behaviour: Behaviour{Errors: 1, MinRunning: 1}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			e := &Engine{}
			with(t, e, func(t bubble, l *InProcessClient) {
				e.SetBehaviour("v2", tc.behaviour)
				time.Sleep(tc.wait)
				_, _, err := answer(t.T, l, onRoute(tc.route))
				require.Equal(t, tc.fails, err != nil, "%v", err)
				_, _, err = answer(t.T, l, ask("r2", 1, 20))
				require.NoError(t, err, "the other version is good")
			})
		})
	}
	with(t, &Engine{}, func(t bubble, l *InProcessClient) {
		e := l.Engines["e1"]
		e.SetBehaviour("v2", Behaviour{Errors: 1, MinRunning: 1})
		s, err := l.Complete(t.Context(), "e1", "e1", ask("r0", 1, 500))
		require.NoError(t, err)
		defer s.Close()
		time.Sleep(100 * time.Millisecond)
		_, _, err = answer(t.T, l, onRoute(""))
		require.Error(t, err, "under load")
	})
}

func TestSlowVersionAndSlowEngine(t *testing.T) {
	duration := func(change func(*Engine)) time.Duration {
		var d time.Duration
		e := &Engine{}
		with(t, e, func(t bubble, l *InProcessClient) {
			change(e)
			started := time.Now()
			_, _, err := answer(t.T, l, ask("r1", 0, 100))
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

func TestTimeScale(t *testing.T) {
	e := &Engine{Settings: Settings{TimeScale: 0.01}}
	with(t, e, func(t bubble, l *InProcessClient) {
		started := time.Now()
		_, _, err := answer(t.T, l, ask("r1", 8, 100))
		require.NoError(t, err)
		require.Less(t, time.Since(started), 50*time.Millisecond)
	})
}

func TestWorkAfterLeavingIsCounted(t *testing.T) {
	e := &Engine{}
	with(t, e, func(t bubble, l *InProcessClient) {
		e.Leave(3 * time.Second)
		_, _, err := answer(t.T, l, ask("r1", 0, 1))
		require.NoError(t, err)
		require.Zero(t, e.Stats().WorkAfterLeaving)
		time.Sleep(3 * time.Second)
		_, _, err = answer(t.T, l, ask("r2", 0, 1))
		require.NoError(t, err)
		require.Equal(t, 1, e.Stats().WorkAfterLeaving)
		require.Equal(t, map[ident.RequestID]int{"r1": 1, "r2": 1}, e.Runs())
	})
}
