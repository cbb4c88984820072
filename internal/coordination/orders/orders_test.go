package orders

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/coordination/moves"
	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

const (
	model      = ident.ModelID("ledger")
	oldVersion = ident.VersionID("v1")
	newVersion = ident.VersionID("v2")
)

// testEngines is a stand-in for engines that take one second for each order.
type testEngines struct {
	extern.Engine
	mu            sync.Mutex
	versions      map[string][]ident.VersionID
	fencingTokens map[string]ident.Offset
	checksFencing bool
	failNext      int
	loading       int
	maxLoading    int
	orders        []extern.EngineOrder
}

func (e *testEngines) Order(ctx context.Context, baseURL string, order extern.EngineOrder) error {
	if err := e.beginOrder(baseURL, order); err != nil {
		return err
	}
	defer e.endOrder()
	select {
	case <-ctx.Done():
		return &extern.UpstreamError{Kind: extern.UpstreamTimeout, Err: ctx.Err()}
	case <-time.After(time.Second):
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	vs := slices.DeleteFunc(slices.Clone(e.versions[baseURL]), func(v ident.VersionID) bool { return v == order.Version })
	if order.Kind == extern.OrderLoadVersion {
		vs = append(vs, order.Version)
	}
	e.versions[baseURL] = vs
	return nil
}

func (e *testEngines) beginOrder(baseURL string, order extern.EngineOrder) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, order)
	if e.failNext > 0 {
		e.failNext--
		return &extern.UpstreamError{Kind: extern.UpstreamUnreachable, NotRun: true}
	}
	if e.checksFencing && order.FencingToken < e.fencingTokens[baseURL] {
		return &extern.UpstreamError{Kind: extern.UpstreamFenced, NotRun: true}
	}
	e.fencingTokens[baseURL] = order.FencingToken
	e.loading++
	e.maxLoading = max(e.maxLoading, e.loading)
	return nil
}

func (e *testEngines) endOrder() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loading--
}

func (e *testEngines) countLoaded(v ident.VersionID) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, vs := range e.versions {
		if slices.Contains(vs, v) {
			n++
		}
	}
	return n
}

func (e *testEngines) countOrders() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.orders)
}

// testSystem is a configuration that tests change, with its engines.
type testSystem struct {
	mu      sync.Mutex
	state   *config.State
	engines *testEngines
}

func newTestSystem(n int, checksFencing bool) *testSystem {
	sys := &testSystem{state: config.NewState(), engines: &testEngines{
		versions: map[string][]ident.VersionID{}, fencingTokens: map[string]ident.Offset{}, checksFencing: checksFencing,
	}}
	sys.put(&config.Version{ID: oldVersion, Model: model, Weights: "w1"})
	sys.put(&config.Version{ID: newVersion, Model: model, Weights: "w2"})
	sys.put(&config.Model{ID: model, CurrentVersion: oldVersion, BlockTokens: 1024})
	for i := range n {
		id := fmt.Sprintf("e%d", i)
		url := fmt.Sprintf("http://127.0.0.1:%d", 9000+i)
		sys.put(&config.Upstream{
			ID: ident.UpstreamID(id), Kind: config.UpstreamEngine, BaseURL: url, Model: model, ChecksFencing: checksFencing,
			FailureDomain: ident.FailureDomain(fmt.Sprint("fd", i%3)),
		})
		sys.engines.versions[url] = []ident.VersionID{oldVersion}
	}
	return sys
}

func (sys *testSystem) put(e config.Entity) ident.Offset {
	sys.mu.Lock()
	defer sys.mu.Unlock()
	rec := config.NewRecord("r", "test", sys.state.Revision(config.PathOf(e)), e)
	next, err := sys.state.Apply(sys.state.Offset()+1, rec)
	if err != nil {
		panic(err)
	}
	sys.state = next
	return next.Offset()
}

func (sys *testSystem) current() *config.State {
	sys.mu.Lock()
	defer sys.mu.Unlock()
	return sys.state
}

func (sys *testSystem) newMove(state config.MoveState, owner ident.DaemonID, epoch ident.Offset) *config.Move {
	return &config.Move{
		ID: "m1", Team: "alder", Model: model, From: oldVersion, To: newVersion, State: state, Owner: owner, OwnerEpoch: epoch,
		Deadline: time.Now().Add(time.Hour), StateSince: time.Now(),
	}
}

func (sys *testSystem) newScheduler(maxLoads int) *Scheduler {
	splitter := &moves.Splitter{}
	splitter.Update(sys.current())
	return &Scheduler{
		Daemon: "d1", State: sys.current, HoldsLease: func() bool { return true }, LastReport: sys.report,
		Engine: sys.engines, Splitter: splitter, Settings: func() Settings { return Settings{MaxConcurrentLoads: maxLoads} },
	}
}

func (sys *testSystem) report(id ident.UpstreamID) (Report, bool) {
	sys.engines.mu.Lock()
	defer sys.engines.mu.Unlock()
	up, _ := sys.current().Upstream(id)
	return Report{Versions: slices.Clone(sys.engines.versions[up.BaseURL])}, true
}

// runScheduler runs the scheduler while it calls during, then closes it.
func runScheduler(t *testing.T, s *Scheduler, during func()) {
	t.Helper()
	var wg sync.WaitGroup
	wg.Go(func() { s.Run(t.Context()) })
	synctest.Wait()
	during()
	s.Close()
	wg.Wait()
}

func TestConcurrentLoadsAreLimited(t *testing.T) {
	for _, maxLoads := range []int{2, 3} {
		synctest.Test(t, func(t *testing.T) {
			sys := newTestSystem(12, true)
			sys.put(sys.newMove(config.MoveRunning, "d1", 0))
			s := sys.newScheduler(maxLoads)
			runScheduler(t, s, func() {
				m, _ := sys.current().Move("m1")
				require.False(t, s.HasCapacity(m, 10))
				time.Sleep(1500 * time.Millisecond)
				require.True(t, s.HasCapacity(m, 10))
				require.False(t, s.HasCapacity(m, 500))
				require.Positive(t, s.RemainingLoadTime(m))
				time.Sleep(30 * time.Second)
				require.True(t, s.HasCapacity(m, 1000))
				require.Zero(t, s.RemainingLoadTime(m))
			})
			require.Equal(t, 12, sys.engines.countLoaded(newVersion))
			require.Equal(t, 12, sys.engines.countLoaded(oldVersion))
			require.Equal(t, 12, sys.engines.countOrders())
			require.Equal(t, maxLoads, sys.engines.maxLoading)
		})
	}
}

// Engines that are needed for the current traffic must not load at the same time, even if the limit on concurrent loads
// allows it.
func TestLoadsLeaveEnoughEnginesServing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sys := newTestSystem(4, true)
		sys.put(sys.newMove(config.MoveRunning, "d1", 0))
		s := sys.newScheduler(3)
		s.MinServingEngines = func(ident.ModelID) int { return 3 }
		runScheduler(t, s, func() { time.Sleep(10 * time.Second) })
		require.Equal(t, 1, sys.engines.maxLoading)
		require.Equal(t, 4, sys.engines.countLoaded(newVersion))
	})
}

func TestFailedOrdersAreRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sys := newTestSystem(2, true)
		sys.engines.failNext = 5
		sys.put(sys.newMove(config.MoveRunning, "d1", 0))
		runScheduler(t, sys.newScheduler(2), func() { time.Sleep(time.Minute) })
		require.Equal(t, 2, sys.engines.countLoaded(newVersion))
		require.Equal(t, 7, sys.engines.countOrders())
	})
}

// After a take-back the new version is unloaded, after a completed move the old one. The version that serves stays.
func TestUnusedVersionIsUnloadedAfterGrace(t *testing.T) {
	for state, unused := range map[config.MoveState]ident.VersionID{config.MoveTakenBack: newVersion, config.MoveDone: oldVersion} {
		synctest.Test(t, func(t *testing.T) {
			sys := newTestSystem(3, true)
			epoch := sys.put(sys.newMove(config.MoveRunning, "d1", 0))
			s := sys.newScheduler(3)
			runScheduler(t, s, func() {
				time.Sleep(10 * time.Second)
				sys.put(sys.newMove(state, "d1", epoch))
				sys.put(&config.Model{ID: model, BlockTokens: 1024, CurrentVersion: map[bool]ident.VersionID{true: newVersion, false: oldVersion}[unused == oldVersion]})
				s.Splitter.Update(sys.current())
				time.Sleep(unloadGrace - time.Second)
				require.Equal(t, 3, sys.engines.countLoaded(unused))
				time.Sleep(time.Minute)
			})
			require.Equal(t, 0, sys.engines.countLoaded(unused))
			require.Equal(t, 3, sys.engines.countLoaded(oldVersion)+sys.engines.countLoaded(newVersion))
		})
	}
}

// If engines ignore fencing tokens, a new owner must wait until orders of the previous owner can no longer arrive. If
// they check the tokens, it need not wait.
func TestNewOwnerWaitsForEnginesThatIgnoreFencing(t *testing.T) {
	for _, checksFencing := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			sys := newTestSystem(3, checksFencing)
			sys.put(sys.newMove(config.MoveRunning, "d0", 0))
			s := sys.newScheduler(2)
			runScheduler(t, s, func() {
				time.Sleep(time.Second)
				sys.put(sys.newMove(config.MoveRunning, "d1", 0))
				time.Sleep(5 * time.Second)
				require.Equal(t, checksFencing, sys.engines.countOrders() > 0)
				time.Sleep(time.Minute)
				require.Equal(t, 3, sys.engines.countLoaded(newVersion))
			})
		})
	}
}

// An owner whose state is stale is rejected by engines that check fencing tokens, and then gives no more orders with
// its token.
func TestStaleOwnerIsFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sys := newTestSystem(3, true)
		for id := range sys.engines.versions {
			sys.engines.fencingTokens[id] = 1000
		}
		sys.put(sys.newMove(config.MoveRunning, "d1", 0))
		runScheduler(t, sys.newScheduler(2), func() { time.Sleep(time.Minute) })
		require.Equal(t, 0, sys.engines.countLoaded(newVersion))
		require.LessOrEqual(t, sys.engines.countOrders(), 2)
	})
}

// An engine that ignores fencing tokens may carry out a late unload order of a previous owner. The current owner must
// have the version loaded again.
func TestVersionUnloadedByStaleOrderIsReloaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sys := newTestSystem(3, false)
		sys.put(sys.newMove(config.MoveRunning, "", 0))
		s := sys.newScheduler(2)
		runScheduler(t, s, func() {
			s.Splitter.Update(sys.current())
			sys.put(sys.newMove(config.MoveRunning, "d1", 0))
			s.Splitter.Update(sys.current())
			time.Sleep(10 * time.Second)
			require.Equal(t, 3, sys.engines.countLoaded(newVersion))
			require.NoError(t, sys.engines.Order(t.Context(), "http://127.0.0.1:9001", extern.EngineOrder{Kind: extern.OrderUnloadVersion, Version: newVersion}))
			require.Equal(t, 2, sys.engines.countLoaded(newVersion))
			m, _ := sys.current().Move("m1")
			require.False(t, s.HasCapacity(m, 1000))
			time.Sleep(30 * time.Second)
			require.Equal(t, 3, sys.engines.countLoaded(newVersion))
		})
	})
}

func TestNoOrdersWithoutLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sys := newTestSystem(3, true)
		sys.put(sys.newMove(config.MoveRunning, "d1", 0))
		s := sys.newScheduler(2)
		s.HoldsLease = func() bool { return false }
		runScheduler(t, s, func() { time.Sleep(time.Minute) })
		require.Zero(t, sys.engines.countOrders())
	})
}

func TestCheckRouteRejectsEngineAddress(t *testing.T) {
	sys := newTestSystem(0, false)
	sys.put(&config.Upstream{ID: "e1", Kind: config.UpstreamEngine, BaseURL: "http://127.0.0.1:80", Model: model})
	sys.put(&config.Upstream{ID: "p1", Kind: config.UpstreamPlain, BaseURL: "http://127.0.0.1:9000"})
	sys.put(&config.Upstream{ID: "p2", Kind: config.UpstreamPlain, BaseURL: "http://127.0.0.1/orders"})
	route := &config.Route{ID: "book", Kind: config.RoutePlain, Upstreams: []ident.UpstreamID{"p1"}}
	require.NoError(t, CheckRoute(sys.current(), route))
	for _, id := range []ident.UpstreamID{"p2", "e1"} {
		route.Upstreams = []ident.UpstreamID{id}
		var exposed *ExposedError
		require.ErrorAs(t, CheckRoute(sys.current(), route), &exposed)
		require.EqualValues(t, "e1", exposed.Engine)
	}
}
