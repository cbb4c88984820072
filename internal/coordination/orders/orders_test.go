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
	model = ident.ModelID("ledger")
	oldV  = ident.VersionID("v1")
	newV  = ident.VersionID("v2")
)

// testEngines are engines that take a second to load.
type testEngines struct {
	extern.Engine
	mu       sync.Mutex
	versions map[string][]ident.VersionID
	fencing  map[string]ident.Offset
	checks   bool
	fail     int
	loading  int
	most     int
	orders   []extern.EngineOrder
}

func (e *testEngines) Order(ctx context.Context, baseURL string, order extern.EngineOrder) error {
	if err := e.begin(baseURL, order); err != nil {
		return err
	}
	defer e.end()
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

func (e *testEngines) begin(baseURL string, order extern.EngineOrder) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, order)
	if e.fail > 0 {
		e.fail--
		return &extern.UpstreamError{Kind: extern.UpstreamUnreachable, NotRun: true}
	}
	if e.checks && order.FencingToken < e.fencing[baseURL] {
		return &extern.UpstreamError{Kind: extern.UpstreamFenced, NotRun: true}
	}
	e.fencing[baseURL] = order.FencingToken
	e.loading++
	e.most = max(e.most, e.loading)
	return nil
}

func (e *testEngines) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loading--
}

func (e *testEngines) loaded(v ident.VersionID) int {
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

func (e *testEngines) given() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.orders)
}

// world is a configuration that a test changes, with engines.
type world struct {
	mu      sync.Mutex
	state   *config.State
	engines *testEngines
}

func newWorld(n int, checks bool) *world {
	w := &world{state: config.NewState(), engines: &testEngines{
		versions: map[string][]ident.VersionID{}, fencing: map[string]ident.Offset{}, checks: checks,
	}}
	w.put(&config.Version{ID: oldV, Model: model, Weights: "w1"})
	w.put(&config.Version{ID: newV, Model: model, Weights: "w2"})
	w.put(&config.Model{ID: model, CurrentVersion: oldV, BlockTokens: 1024})
	for i := range n {
		id := fmt.Sprintf("e%d", i)
		url := fmt.Sprintf("http://127.0.0.1:%d", 9000+i)
		w.put(&config.Upstream{
			ID: ident.UpstreamID(id), Kind: config.UpstreamEngine, BaseURL: url, Model: model, ChecksFencing: checks,
			FailureDomain: ident.FailureDomain(fmt.Sprint("fd", i%3)),
		})
		w.engines.versions[url] = []ident.VersionID{oldV}
	}
	return w
}

func (w *world) put(e config.Entity) ident.Offset {
	w.mu.Lock()
	defer w.mu.Unlock()
	rec := config.NewRecord("r", "test", w.state.Revision(config.PathOf(e)), e)
	next, err := w.state.Apply(w.state.Offset()+1, rec)
	if err != nil {
		panic(err)
	}
	w.state = next
	return next.Offset()
}

func (w *world) current() *config.State {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state
}

func (w *world) move(state config.MoveState, owner ident.DaemonID, epoch ident.Offset) *config.Move {
	return &config.Move{
		ID: "m1", Team: "alder", Model: model, From: oldV, To: newV, State: state, Owner: owner, OwnerEpoch: epoch,
		Deadline: time.Now().Add(time.Hour), StateSince: time.Now(),
	}
}

func (w *world) orders(together int) *Scheduler {
	s := &moves.Splitter{}
	s.Update(w.current())
	return &Scheduler{
		Daemon: "d1", State: w.current, HoldsLease: func() bool { return true }, LastReport: w.report,
		Engine: w.engines, Splitter: s, Settings: func() Settings { return Settings{MaxConcurrentLoads: together} },
	}
}

func (w *world) report(id ident.UpstreamID) (Report, bool) {
	w.engines.mu.Lock()
	defer w.engines.mu.Unlock()
	up, _ := w.current().Upstream(id)
	return Report{Versions: slices.Clone(w.engines.versions[up.BaseURL])}, true
}

// run runs the orders while body goes on.
func run(t *testing.T, o *Scheduler, body func()) {
	t.Helper()
	var wg sync.WaitGroup
	wg.Go(func() { o.Run(t.Context()) })
	synctest.Wait()
	body()
	o.Close()
	wg.Wait()
}

func TestLoadsFewTogether(t *testing.T) {
	for _, together := range []int{2, 3} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(12, true)
			w.put(w.move(config.MoveRunning, "d1", 0))
			o := w.orders(together)
			run(t, o, func() {
				m, _ := w.current().Move("m1")
				require.False(t, o.HasCapacity(m, 10))
				time.Sleep(1500 * time.Millisecond)
				require.True(t, o.HasCapacity(m, 10))
				require.False(t, o.HasCapacity(m, 500))
				require.Positive(t, o.RemainingLoadTime(m))
				time.Sleep(30 * time.Second)
				require.True(t, o.HasCapacity(m, 1000))
				require.Zero(t, o.RemainingLoadTime(m))
			})
			require.Equal(t, 12, w.engines.loaded(newV))
			require.Equal(t, 12, w.engines.loaded(oldV))
			require.Equal(t, 12, w.engines.given())
			require.Equal(t, together, w.engines.most)
		})
	}
}

// Engines that serve what current traffic needs don't load meanwhile.
func TestKeepsEnoughServing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(4, true)
		w.put(w.move(config.MoveRunning, "d1", 0))
		o := w.orders(3)
		o.MinServingEngines = func(ident.ModelID) int { return 3 }
		run(t, o, func() { time.Sleep(10 * time.Second) })
		require.Equal(t, 1, w.engines.most)
		require.Equal(t, 4, w.engines.loaded(newV))
	})
}

func TestFailedOrdersAreRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(2, true)
		w.engines.fail = 5
		w.put(w.move(config.MoveRunning, "d1", 0))
		run(t, w.orders(2), func() { time.Sleep(time.Minute) })
		require.Equal(t, 2, w.engines.loaded(newV))
		require.Equal(t, 7, w.engines.given())
	})
}

// After a take-back the new version is unloaded, after a done move the old one, and never the one that serves.
func TestUnloadsWhatNothingUses(t *testing.T) {
	for state, gone := range map[config.MoveState]ident.VersionID{config.MoveTakenBack: newV, config.MoveDone: oldV} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(3, true)
			epoch := w.put(w.move(config.MoveRunning, "d1", 0))
			o := w.orders(3)
			run(t, o, func() {
				time.Sleep(10 * time.Second)
				w.put(w.move(state, "d1", epoch))
				w.put(&config.Model{ID: model, BlockTokens: 1024, CurrentVersion: map[bool]ident.VersionID{true: newV, false: oldV}[gone == oldV]})
				o.Splitter.Update(w.current())
				time.Sleep(unloadGrace - time.Second)
				require.Equal(t, 3, w.engines.loaded(gone))
				time.Sleep(time.Minute)
			})
			require.Equal(t, 0, w.engines.loaded(gone))
			require.Equal(t, 3, w.engines.loaded(oldV)+w.engines.loaded(newV))
		})
	}
}

// A new owner of engines that ignore fencing numbers waits until the old owner can't order any more; with engines
// that check them it does not wait.
func TestNewOwnerWaitsForEnginesThatIgnoreFencing(t *testing.T) {
	for _, checks := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(3, checks)
			w.put(w.move(config.MoveRunning, "d0", 0))
			o := w.orders(2)
			run(t, o, func() {
				time.Sleep(time.Second)
				w.put(w.move(config.MoveRunning, "d1", 0))
				time.Sleep(5 * time.Second)
				require.Equal(t, checks, w.engines.given() > 0)
				time.Sleep(time.Minute)
				require.Equal(t, 3, w.engines.loaded(newV))
			})
		})
	}
}

// An owner whose view is stale is refused by engines that check and gives no more orders with that number.
func TestStaleOwnerIsFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(3, true)
		for id := range w.engines.versions {
			w.engines.fencing[id] = 1000
		}
		w.put(w.move(config.MoveRunning, "d1", 0))
		run(t, w.orders(2), func() { time.Sleep(time.Minute) })
		require.Equal(t, 0, w.engines.loaded(newV))
		require.LessOrEqual(t, w.engines.given(), 2)
	})
}

// An engine that ignores fencing numbers and obeyed a stale unload gets the version again.
func TestStaleOrderIsRepaired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(3, false)
		w.put(w.move(config.MoveRunning, "", 0))
		o := w.orders(2)
		run(t, o, func() {
			o.Splitter.Update(w.current())
			w.put(w.move(config.MoveRunning, "d1", 0))
			o.Splitter.Update(w.current())
			time.Sleep(10 * time.Second)
			require.Equal(t, 3, w.engines.loaded(newV))
			require.NoError(t, w.engines.Order(t.Context(), "http://127.0.0.1:9001", extern.EngineOrder{Kind: extern.OrderUnloadVersion, Version: newV}))
			require.Equal(t, 2, w.engines.loaded(newV))
			m, _ := w.current().Move("m1")
			require.False(t, o.HasCapacity(m, 1000))
			time.Sleep(30 * time.Second)
			require.Equal(t, 3, w.engines.loaded(newV))
		})
	})
}

func TestNoOrderWithoutTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(3, true)
		w.put(w.move(config.MoveRunning, "d1", 0))
		o := w.orders(2)
		o.HoldsLease = func() bool { return false }
		run(t, o, func() { time.Sleep(time.Minute) })
		require.Zero(t, w.engines.given())
	})
}

func TestCheckRoute(t *testing.T) {
	w := newWorld(0, false)
	w.put(&config.Upstream{ID: "e1", Kind: config.UpstreamEngine, BaseURL: "http://127.0.0.1:80", Model: model})
	w.put(&config.Upstream{ID: "p1", Kind: config.UpstreamPlain, BaseURL: "http://127.0.0.1:9000"})
	w.put(&config.Upstream{ID: "p2", Kind: config.UpstreamPlain, BaseURL: "http://127.0.0.1/orders"})
	route := &config.Route{ID: "book", Kind: config.RoutePlain, Upstreams: []ident.UpstreamID{"p1"}}
	require.NoError(t, CheckRoute(w.current(), route))
	for _, id := range []ident.UpstreamID{"p2", "e1"} {
		route.Upstreams = []ident.UpstreamID{id}
		var exposed *ExposedError
		require.ErrorAs(t, CheckRoute(w.current(), route), &exposed)
		require.EqualValues(t, "e1", exposed.Engine)
	}
}
