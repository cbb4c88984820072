package reload

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/coordination/place"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// fakeWeightStore serves fullSpeedLoads loads at full speed. Beyond that all loads slow down equally.
type fakeWeightStore struct {
	fullSpeedLoads int
	loadTime       time.Duration

	mu      sync.Mutex
	loading int
}

// simFleet simulates engines that load from one weight store and whose reports lag.
type simFleet struct {
	store     fakeWeightStore
	reportLag time.Duration
	engines   map[ident.UpstreamID]*simEngine
	// lateOrders of ten orders get no response and are carried out after lateDelay.
	lateOrders int
	lateDelay  time.Duration
	orders     int
	// unanswered counts orders without a response.
	unanswered int
	// refused counts orders that arrived while the engine was busy, misdirected those to engines that have stopped.
	refused, misdirected int
}

type simEngine struct {
	version  int64
	accepted int64
	busy     bool
	// stopped is true for an engine that has ended but is still listed: another engine answers at its address.
	stopped bool
	// report is the engine's lagging report.
	report extern.EngineReport
}

// simulationStep is the time step of the simulated loads.
const simulationStep = 5 * time.Millisecond

func (f *simFleet) Load(_ context.Context, to *view.Upstream, o extern.WeightsOrder) (extern.OrderResult, error) {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	e := f.engines[to.ID]
	switch {
	case e.stopped:
		f.misdirected++
		return extern.OrderMisdirected, nil
	case e.busy || o.AcceptedOrders != e.accepted:
		f.refused++
		return extern.OrderBusy, nil
	case e.version >= o.Version:
		return extern.OrderAlreadyLoaded, nil
	}
	f.orders++
	if f.orders%10 < f.lateOrders {
		f.unanswered++
		accepted := e.accepted
		time.AfterFunc(f.lateDelay, func() {
			f.store.mu.Lock()
			defer f.store.mu.Unlock()
			if !e.busy && e.accepted == accepted && e.version < o.Version {
				f.accept(e, o.Version)
			}
		})
		return "", errors.New("no answer: context deadline exceeded")
	}
	f.accept(e, o.Version)
	return extern.OrderAccepted, nil
}

// accept starts a load. The store is locked.
func (f *simFleet) accept(e *simEngine, version int64) {
	e.accepted++
	e.busy = true
	f.store.loading++
	f.publishReport(e)
	go f.runLoad(e, version)
}

func (f *simFleet) runLoad(e *simEngine, version int64) {
	for remaining := f.store.loadTime; remaining > 0; {
		time.Sleep(simulationStep)
		f.store.mu.Lock()
		remaining -= simulationStep * time.Duration(min(f.store.fullSpeedLoads, f.store.loading)) / time.Duration(f.store.loading)
		f.store.mu.Unlock()
	}
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	f.store.loading--
	e.busy, e.version = false, version
	f.publishReport(e)
}

// publishReport updates the engine's report after the lag.
func (f *simFleet) publishReport(e *simEngine) {
	now := extern.EngineReport{WeightVersions: map[ident.ModelID]int64{"m": e.version}, Busy: e.busy, AcceptedOrders: e.accepted}
	time.AfterFunc(f.reportLag, func() {
		f.store.mu.Lock()
		defer f.store.mu.Unlock()
		e.report = now
	})
}

func (f *simFleet) Report(_ context.Context, u *view.Upstream) (extern.EngineReport, error) {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	if e := f.engines[u.ID]; e.stopped {
		return extern.EngineReport{}, errors.New("refused: another instance")
	}
	return f.engines[u.ID].report, nil
}

// scenario is a sequence of weight versions named in one deployment.
type scenario struct {
	engines, fullSpeedLoads int
	loadTime                time.Duration
	// namedAt holds the times at which the versions from 2 on are named.
	namedAt []time.Duration
	// unavailableLimit is how many engines may be unavailable at the same time.
	unavailableLimit int
	// within is the time, from the naming of the newest version, within which all engines must have it.
	within time.Duration
	// takeoverAt is when another daemon becomes the leader; 0 for never.
	takeoverAt time.Duration
	// stopped is the number of engines that have ended but are still listed.
	stopped int
	// lateOrders of ten orders get no response and are carried out seconds later.
	lateOrders int
}

// scenarioResult holds what was observed in a scenario.
type scenarioResult struct {
	maxUnavailable  int
	meanUnavailable float64
	lastUpdateTime  time.Duration
	// refused and misdirected count orders that were rejected.
	refused, misdirected int
	// lateOrders counts orders that were carried out late.
	lateOrders int
}

func runScenario(s *scenario) scenarioResult {
	f := &simFleet{
		store:      fakeWeightStore{fullSpeedLoads: s.fullSpeedLoads, loadTime: s.loadTime},
		reportLag:  200 * time.Millisecond,
		engines:    map[ident.UpstreamID]*simEngine{},
		lateOrders: s.lateOrders,
		lateDelay:  3 * time.Second,
	}
	snapshots := &view.Snapshots{}
	snapshots.SetConfig(&view.Config{Version: 1, Services: map[view.ServiceID]*view.Service{
		"llm": {ID: "llm", Engine: &view.Engine{Slots: 64, Models: []ident.ModelID{"m"}}},
	}})
	byID := map[ident.UpstreamID]*view.Upstream{}
	for i := range s.engines {
		id := ident.UpstreamID(fmt.Sprintf("e%03d", i))
		byID[id] = &view.Upstream{ID: id, Service: "llm", State: view.UpstreamReady, Incarnation: 1, Weights: map[ident.ModelID]int64{"m": 1}}
		f.engines[id] = &simEngine{
			version: 1, stopped: i < s.stopped, report: extern.EngineReport{WeightVersions: map[ident.ModelID]int64{"m": 1}},
		}
	}
	snapshots.SetUpstreams(view.NewUpstreams(byID, 1))
	snapshots.SetWeights(view.Weights{Model: "m", Version: 1, NamedAt: time.Now()})
	placer := &place.Placer{Snapshots: snapshots}
	ctx, cancel := context.WithCancel(context.Background())
	var leaders sync.WaitGroup
	runLeader := func(term *atomic.Int64) {
		r := &Runner{
			Self: "d", Snapshots: snapshots, Placer: placer, Control: f, OnFenced: func() {}, OnChange: func() {},
			Term: func() ident.Offset { return ident.Offset(term.Load()) },
		}
		leaders.Go(func() { r.Run(ctx) })
	}
	firstTerm, secondTerm := &atomic.Int64{}, &atomic.Int64{}
	firstTerm.Store(1)
	runLeader(firstTerm)
	newest := int64(1 + len(s.namedAt))
	result := scenarioResult{}
	start, samples := time.Now(), 0
	for next := 0; ; time.Sleep(10 * time.Millisecond) {
		since := time.Since(start)
		if next < len(s.namedAt) && since >= s.namedAt[next] {
			next++
			snapshots.SetWeights(view.Weights{Model: "m", Version: int64(1 + next), NamedAt: time.Now()})
		}
		if s.takeoverAt > 0 && since >= s.takeoverAt && firstTerm.Swap(0) != 0 {
			secondTerm.Store(2)
			runLeader(secondTerm)
		}
		unavailable, current := s.engines, 0
		if c, err := placer.Choose(&place.Request{Service: "llm", Model: "m"}); err == nil {
			unavailable -= c.Candidates
		}
		for _, u := range byID {
			if placer.WeightVersion(u, "m") == newest {
				current++
			}
		}
		samples++
		result.maxUnavailable = max(result.maxUnavailable, unavailable)
		result.meanUnavailable += float64(unavailable)
		result.lastUpdateTime = since - s.namedAt[len(s.namedAt)-1]
		if unavailable == 0 && current == s.engines-s.stopped || result.lastUpdateTime > time.Minute {
			break
		}
	}
	result.meanUnavailable /= float64(samples)
	cancel()
	leaders.Wait()
	f.store.mu.Lock()
	result.refused, result.misdirected, result.lateOrders = f.refused, f.misdirected, f.unanswered
	f.store.mu.Unlock()
	// Loads still in progress must end before the synctest bubble does.
	time.Sleep(time.Minute)
	return result
}

// Guards against versions that are named faster than all engines can load them leaving too few engines for requests. At
// most as many engines load as the weight store serves at full speed, as many more drain, and all engines must have the
// newest version within the limit. The cases cover the supported sizes of deployments.
func TestRapidVersionChangesKeepEnginesAvailable(t *testing.T) {
	seconds := func(at ...float64) []time.Duration {
		var out []time.Duration
		for _, s := range at {
			out = append(out, time.Duration(s*float64(time.Second)))
		}
		return out
	}
	for name, s := range map[string]scenario{
		"9 engines, 1.3 s": {
			engines: 9, fullSpeedLoads: 2, loadTime: 1300 * time.Millisecond,
			unavailableLimit: 4, within: 12 * time.Second, namedAt: seconds(0, 3, 7, 11),
		},
		"12 engines, 0.57 s": {
			engines: 12, fullSpeedLoads: 2, loadTime: 570 * time.Millisecond,
			unavailableLimit: 4, within: 8 * time.Second, namedAt: seconds(0, 3, 6),
		},
		"18 engines, 0.32 s": {
			engines: 18, fullSpeedLoads: 3, loadTime: 320 * time.Millisecond,
			unavailableLimit: 6, within: 6 * time.Second, namedAt: seconds(0, 2, 4),
		},
		"140 engines, 1.3 s": {
			engines: 140, fullSpeedLoads: 28, loadTime: 1300 * time.Millisecond,
			unavailableLimit: 56, within: 15 * time.Second, namedAt: seconds(0, 4, 8),
		},
		"12 engines, 3 s": {
			engines: 12, fullSpeedLoads: 2, loadTime: 3 * time.Second,
			unavailableLimit: 4, within: 30 * time.Second, namedAt: seconds(0, 5),
		},
		"9 engines, slow store": {
			engines: 9, fullSpeedLoads: 1, loadTime: 600 * time.Millisecond,
			unavailableLimit: 4, within: 12 * time.Second, namedAt: seconds(0, 4, 8, 12),
		},
		"8 engines, change of leader": {
			engines: 8, fullSpeedLoads: 2, loadTime: 1300 * time.Millisecond, unavailableLimit: 4, within: 9 * time.Second, namedAt: seconds(0, 9),
			takeoverAt: 9 * time.Second,
		},
		"117 engines, a third of the orders late": {
			engines: 117, lateOrders: 4, fullSpeedLoads: 23, loadTime: 570 * time.Millisecond, unavailableLimit: 46, within: 10 * time.Second,
			namedAt: seconds(0, 5, 11, 16, 21, 26, 31, 36, 41, 46),
		},
		"9 engines and 3 that have stopped": {
			engines: 12, stopped: 3, fullSpeedLoads: 2, loadTime: 1300 * time.Millisecond,
			unavailableLimit: 4, within: 12 * time.Second, namedAt: seconds(0, 4),
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := runScenario(&s)
				t.Logf("most engines unavailable %d, mean %.1f, all current after %v, orders refused %d",
					p.maxUnavailable, p.meanUnavailable, p.lastUpdateTime, p.refused)
				require.LessOrEqual(t, p.maxUnavailable, s.unavailableLimit)
				require.LessOrEqual(t, p.lastUpdateTime, s.within)
				require.LessOrEqual(t, p.refused, p.lateOrders, "a loading engine gets no second order, unless an order is carried out late")
				require.LessOrEqual(t, p.misdirected, s.stopped*(1+int((p.lastUpdateTime+s.namedAt[len(s.namedAt)-1])/avoidPeriod)),
					"a stopped engine is avoided for a while")
			})
		})
	}
}
