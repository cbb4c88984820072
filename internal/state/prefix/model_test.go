package prefix

import (
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// modelEngine is the reference model of an engine: the blocks that events have confirmed, and the expected ones with
// the time at which they expire.
type modelEngine struct {
	incarnation ident.Incarnation
	sequence    ident.Sequence
	needsResync bool
	held        map[ident.BlockHash]bool
	expected    map[ident.BlockHash]time.Time
}

func (e *modelEngine) invalidate() {
	e.held = map[ident.BlockHash]bool{}
	e.expected = map[ident.BlockHash]time.Time{}
}

func (e *modelEngine) setIncarnation(incarnation ident.Incarnation) {
	if incarnation > e.incarnation {
		e.invalidate()
		e.incarnation, e.sequence, e.needsResync = incarnation, 0, false
	}
}

func (e *modelEngine) apply(ev extern.CacheEvent) {
	position := ev.Position
	if position.Incarnation < e.incarnation {
		return
	}
	e.setIncarnation(position.Incarnation)
	switch {
	case ev.Resync && position.Sequence < e.sequence, !ev.Resync && position.Sequence <= e.sequence:
		return
	case ev.Resync:
		e.invalidate()
		e.needsResync = false
	case position.Sequence > e.sequence+1:
		e.invalidate()
		e.needsResync = true
	}
	e.sequence = position.Sequence
	for _, hash := range ev.Removed {
		delete(e.held, hash)
		delete(e.expected, hash)
	}
	for _, hash := range ev.Added {
		e.held[hash] = true
		delete(e.expected, hash)
	}
}

func (e *modelEngine) prefixLength(chain []ident.BlockHash, now time.Time) int {
	for i, hash := range chain {
		until, ok := e.expected[hash]
		if !e.held[hash] && (!ok || now.After(until)) {
			return i
		}
	}
	return len(chain)
}

// TestIndexAgreesWithReferenceModel applies the same random events to an index and to a simple reference model. Events
// may be late, repeated, after a gap, of another incarnation or a resync.
func TestIndexAgreesWithReferenceModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		// rapid ends a run by a panic, which must not end the goroutine of the synctest bubble.
		var panicked any
		synctest.Test(t, func(*testing.T) {
			defer func() { panicked = recover() }()
			runModel(rt)
		})
		if panicked != nil {
			panic(panicked)
		}
	})
}

func runModel(rt *rapid.T) {
	const ttl = time.Second
	x := &Index{Capacity: 4096, ExpectedTTL: ttl}
	names := []ident.UpstreamID{"a", "b", "c"}
	model := map[ident.UpstreamID]*modelEngine{}
	for _, id := range names {
		model[id] = &modelEngine{}
		model[id].invalidate()
		x.AddExpected(id, nil)
	}
	engineGen := rapid.SampledFrom(names)
	chainGen := rapid.SliceOfN(rapid.Map(rapid.Uint64Range(1, 6), func(v uint64) ident.BlockHash { return ident.BlockHash(v) }), 0, 4)
	apply := func(id ident.UpstreamID, ev extern.CacheEvent) {
		model[id].apply(ev)
		if resync := x.Apply(id, ev); resync != model[id].needsResync {
			rt.Fatalf("Apply reports that a resync is needed: %v, want %v", resync, model[id].needsResync)
		}
	}
	rt.Repeat(map[string]func(*rapid.T){
		"event": func(t *rapid.T) {
			id := engineGen.Draw(t, "engine")
			e := model[id]
			// Mostly the next event; sometimes one that is late, repeated, after a gap or of another incarnation.
			step := rapid.SampledFrom([]int{1, 1, 1, 1, 1, 1, 0, -1, 2}).Draw(t, "step")
			inc := rapid.SampledFrom([]int{0, 0, 0, 0, 0, 0, -1, 1}).Draw(t, "incarnation")
			apply(id, extern.CacheEvent{
				Position: extern.EnginePosition{
					Incarnation: ident.Incarnation(max(0, int(e.incarnation)+inc)),
					Sequence:    ident.Sequence(max(1, int(e.sequence)+step)),
				},
				Resync:  rapid.IntRange(0, 7).Draw(t, "resync") == 0,
				Added:   chainGen.Draw(t, "added"),
				Removed: chainGen.Draw(t, "removed"),
			})
		},
		"restart": func(t *rapid.T) {
			id := engineGen.Draw(t, "engine")
			next := model[id].incarnation + ident.Incarnation(rapid.IntRange(0, 1).Draw(t, "more"))
			model[id].setIncarnation(next)
			x.UpdateIncarnation(id, next)
		},
		"forget": func(t *rapid.T) {
			id := engineGen.Draw(t, "engine")
			if rapid.IntRange(0, 9).Draw(t, "rarely") != 0 {
				return
			}
			x.RemoveEngine(id)
			model[id] = &modelEngine{}
			model[id].invalidate()
		},
		"expect": func(t *rapid.T) {
			id, chain := engineGen.Draw(t, "engine"), chainGen.Draw(t, "chain")
			x.AddExpected(id, chain)
			for _, hash := range chain {
				if !model[id].held[hash] {
					model[id].expected[hash] = time.Now().Add(ttl)
				}
			}
		},
		"unexpect": func(t *rapid.T) {
			id, chain := engineGen.Draw(t, "engine"), chainGen.Draw(t, "chain")
			x.RemoveExpected(id, chain)
			for _, hash := range chain {
				delete(model[id].expected, hash)
			}
		},
		"sleep": func(t *rapid.T) {
			time.Sleep(time.Duration(rapid.IntRange(1, 8).Draw(t, "stamps")) * stampUnit)
		},
		"": func(t *rapid.T) {
			chain := chainGen.Draw(t, "lookup")
			want := blockCounts{}
			for id, e := range model {
				if n := e.prefixLength(chain, time.Now()); n > 0 {
					want[id] = n
				}
			}
			if got := matchedBlocks(x, chain...); !maps.Equal(got, want) {
				t.Fatalf("chain %v: matched %v, want %v", chain, got, want)
			}
			for _, m := range x.Match(nil, chain) {
				if m.Incarnation != model[m.Engine].incarnation {
					t.Fatalf("engine %s matched with incarnation %d, want %d", m.Engine, m.Incarnation, model[m.Engine].incarnation)
				}
			}
		},
	})
}
