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

// weightStore is a source of weights that serves so many engines at full speed; beyond that all loads slow down alike.
type weightStore struct {
	atOnce int
	load   time.Duration

	mu      sync.Mutex
	loading int
}

// simFleet stands in for engines that load from one weight store and report with a lag.
type simFleet struct {
	store   weightStore
	lag     time.Duration
	engines map[ident.UpstreamID]*simEngine
	// late of ten orders are left without an answer and carried out after lateBy.
	late   int
	lateBy time.Duration
	orders int
	// unanswered counts orders without an answer.
	unanswered int
	// refused counts orders that came while the engine was busy, misdirected those to engines that are gone.
	refused, misdirected int
}

type simEngine struct {
	version  int64
	accepted int64
	busy     bool
	// gone is true for one that has ended and is still listed: another engine answers at its address.
	gone bool
	// seen is what reports show, older by the lag.
	seen extern.EngineReport
}

// loadStep is how finely the progress of loads is computed.
const loadStep = 5 * time.Millisecond

func (f *simFleet) Load(_ context.Context, to *view.Upstream, o extern.WeightsOrder) (extern.OrderResult, error) {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	e := f.engines[to.ID]
	switch {
	case e.gone:
		f.misdirected++
		return extern.OrderMisdirected, nil
	case e.busy || o.AcceptedOrders != e.accepted:
		f.refused++
		return extern.OrderBusy, nil
	case e.version >= o.Version:
		return extern.OrderAlreadyLoaded, nil
	}
	f.orders++
	if f.orders%10 < f.late {
		f.unanswered++
		accepted := e.accepted
		time.AfterFunc(f.lateBy, func() {
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

// accept begins a load; the store is locked.
func (f *simFleet) accept(e *simEngine, version int64) {
	e.accepted++
	e.busy = true
	f.store.loading++
	f.show(e)
	go f.carryOut(e, version)
}

func (f *simFleet) carryOut(e *simEngine, version int64) {
	for left := f.store.load; left > 0; {
		time.Sleep(loadStep)
		f.store.mu.Lock()
		left -= loadStep * time.Duration(min(f.store.atOnce, f.store.loading)) / time.Duration(f.store.loading)
		f.store.mu.Unlock()
	}
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	f.store.loading--
	e.busy, e.version = false, version
	f.show(e)
}

// show lets reports tell of a change after the lag.
func (f *simFleet) show(e *simEngine) {
	now := extern.EngineReport{WeightVersions: map[ident.ModelID]int64{"m": e.version}, Busy: e.busy, AcceptedOrders: e.accepted}
	time.AfterFunc(f.lag, func() {
		f.store.mu.Lock()
		defer f.store.mu.Unlock()
		e.seen = now
	})
}

func (f *simFleet) Report(_ context.Context, of *view.Upstream) (extern.EngineReport, error) {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	if e := f.engines[of.ID]; e.gone {
		return extern.EngineReport{}, errors.New("refused: another instance")
	}
	return f.engines[of.ID].seen, nil
}

// series is a row of versions that are named in one installation.
type series struct {
	engines, atOnce int
	load            time.Duration
	// named are the times of the versions from 2 on.
	named []time.Duration
	// most is how many engines may take no work at the same time.
	most int
	// within is when all engines must have the newest version, counted from its naming.
	within time.Duration
	// takeover is when another daemon takes the duty; 0 for never.
	takeover time.Duration
	// gone of the engines have ended and are still listed.
	gone int
	// late of ten orders are left without an answer and carried out seconds later.
	late int
}

// played is what was seen of a series.
type played struct {
	mostOut int
	meanOut float64
	took    time.Duration
	// refused and misdirected are orders in vain.
	refused, misdirected int
	// late are orders that were carried out late.
	late int
}

func playSeries(s *series) played {
	f := &simFleet{
		store:   weightStore{atOnce: s.atOnce, load: s.load},
		lag:     200 * time.Millisecond,
		engines: map[ident.UpstreamID]*simEngine{},
		late:    s.late,
		lateBy:  3 * time.Second,
	}
	board := &view.Snapshots{}
	board.SetConfig(&view.Config{Version: 1, Services: map[view.ServiceID]*view.Service{
		"llm": {ID: "llm", Engine: &view.Engine{Slots: 64, Models: []ident.ModelID{"m"}}},
	}})
	byID := map[ident.UpstreamID]*view.Upstream{}
	for i := range s.engines {
		id := ident.UpstreamID(fmt.Sprintf("e%03d", i))
		byID[id] = &view.Upstream{ID: id, Service: "llm", State: view.UpstreamReady, Incarnation: 1, Weights: map[ident.ModelID]int64{"m": 1}}
		f.engines[id] = &simEngine{version: 1, gone: i < s.gone, seen: extern.EngineReport{WeightVersions: map[ident.ModelID]int64{"m": 1}}}
	}
	board.SetUpstreams(view.NewUpstreams(byID, 1))
	board.SetWeights(view.Weights{Model: "m", Version: 1, NamedAt: time.Now()})
	placer := &place.Placer{Snapshots: board}
	ctx, cancel := context.WithCancel(context.Background())
	var holders sync.WaitGroup
	hold := func(term *atomic.Int64) {
		r := &Runner{
			Self: "d", Snapshots: board, Placer: placer, Control: f, OnFenced: func() {}, OnChange: func() {},
			Term: func() ident.Offset { return ident.Offset(term.Load()) },
		}
		holders.Go(func() { r.Run(ctx) })
	}
	first, second := &atomic.Int64{}, &atomic.Int64{}
	first.Store(1)
	hold(first)
	newest := int64(1 + len(s.named))
	out := played{}
	begun, samples := time.Now(), 0
	for next := 0; ; time.Sleep(10 * time.Millisecond) {
		since := time.Since(begun)
		if next < len(s.named) && since >= s.named[next] {
			next++
			board.SetWeights(view.Weights{Model: "m", Version: int64(1 + next), NamedAt: time.Now()})
		}
		if s.takeover > 0 && since >= s.takeover && first.Swap(0) != 0 {
			second.Store(2)
			hold(second)
		}
		off, current := s.engines, 0
		if c, err := placer.Choose(&place.Request{Service: "llm", Model: "m"}); err == nil {
			off -= c.Candidates
		}
		for _, u := range byID {
			if placer.WeightVersion(u, "m") == newest {
				current++
			}
		}
		samples++
		out.mostOut = max(out.mostOut, off)
		out.meanOut += float64(off)
		out.took = since - s.named[len(s.named)-1]
		if off == 0 && current == s.engines-s.gone || out.took > time.Minute {
			break
		}
	}
	out.meanOut /= float64(samples)
	cancel()
	holders.Wait()
	f.store.mu.Lock()
	out.refused, out.misdirected, out.late = f.refused, f.misdirected, f.unanswered
	f.store.mu.Unlock()
	// Loads that were still under way end before the bubble does.
	time.Sleep(time.Minute)
	return out
}

// Versions that follow each other faster than all engines can load them must not take the engines from the callers. The
// published bounds are those of four installations: as many engines load as the weight store serves at full speed, as
// many more become quiet, and all have the newest version within the limit.
func TestVersionsInSeriesLeaveEnginesForTheCallers(t *testing.T) {
	seconds := func(at ...float64) []time.Duration {
		var out []time.Duration
		for _, s := range at {
			out = append(out, time.Duration(s*float64(time.Second)))
		}
		return out
	}
	for name, s := range map[string]series{
		"9 engines, 1.3 s":   {engines: 9, atOnce: 2, load: 1300 * time.Millisecond, most: 4, within: 12 * time.Second, named: seconds(0, 3, 7, 11)},
		"12 engines, 0.57 s": {engines: 12, atOnce: 2, load: 570 * time.Millisecond, most: 4, within: 8 * time.Second, named: seconds(0, 3, 6)},
		"18 engines, 0.32 s": {engines: 18, atOnce: 3, load: 320 * time.Millisecond, most: 6, within: 6 * time.Second, named: seconds(0, 2, 4)},
		"140 engines, 1.3 s": {engines: 140, atOnce: 28, load: 1300 * time.Millisecond, most: 56, within: 15 * time.Second, named: seconds(0, 4, 8)},
		"12 engines, 3 s":    {engines: 12, atOnce: 2, load: 3 * time.Second, most: 4, within: 30 * time.Second, named: seconds(0, 5)},
		"9 engines, slow store": {
			engines: 9, atOnce: 1, load: 600 * time.Millisecond, most: 4, within: 12 * time.Second, named: seconds(0, 4, 8, 12),
		},
		"8 engines, another holder": {
			engines: 8, atOnce: 2, load: 1300 * time.Millisecond, most: 4, within: 9 * time.Second, named: seconds(0, 9),
			takeover: 9 * time.Second,
		},
		"117 engines, a third of the orders late": {
			engines: 117, late: 4, atOnce: 23, load: 570 * time.Millisecond, most: 46, within: 10 * time.Second,
			named: seconds(0, 5, 11, 16, 21, 26, 31, 36, 41, 46),
		},
		"9 engines and 3 that are gone": {
			engines: 12, gone: 3, atOnce: 2, load: 1300 * time.Millisecond, most: 4, within: 12 * time.Second, named: seconds(0, 4),
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := playSeries(&s)
				t.Logf("most engines without work %d, mean %.1f, all current after %v, orders refused %d", p.mostOut, p.meanOut, p.took, p.refused)
				require.LessOrEqual(t, p.mostOut, s.most)
				require.LessOrEqual(t, p.took, s.within)
				require.LessOrEqual(t, p.refused, p.late, "an engine that loads is not ordered again, unless an order is carried out late")
				require.LessOrEqual(t, p.misdirected, s.gone*(1+int((p.took+s.named[len(s.named)-1])/avoidFor)),
					"an engine that is gone is left alone for a while")
			})
		})
	}
}
