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

// modelEngine is what the simple model knows of an engine: the blocks that events have named and those expected, by
// expiry.
type modelEngine struct {
	incarnation ident.Incarnation
	sequence    ident.Sequence
	suspect     bool
	held        map[ident.BlockHash]bool
	expected    map[ident.BlockHash]time.Time
}

func (e *modelEngine) void() {
	e.held = map[ident.BlockHash]bool{}
	e.expected = map[ident.BlockHash]time.Time{}
}

func (e *modelEngine) restart(incarnation ident.Incarnation) {
	if incarnation > e.incarnation {
		e.void()
		e.incarnation, e.sequence, e.suspect = incarnation, 0, false
	}
}

func (e *modelEngine) apply(ev extern.CacheEvent) {
	at := ev.Position
	if at.Incarnation < e.incarnation {
		return
	}
	e.restart(at.Incarnation)
	switch {
	case ev.Resync && at.Sequence < e.sequence, !ev.Resync && at.Sequence <= e.sequence:
		return
	case ev.Resync:
		e.void()
		e.suspect = false
	case at.Sequence > e.sequence+1:
		e.void()
		e.suspect = true
	}
	e.sequence = at.Sequence
	for _, hash := range ev.Removed {
		delete(e.held, hash)
		delete(e.expected, hash)
	}
	for _, hash := range ev.Added {
		e.held[hash] = true
		delete(e.expected, hash)
	}
}

func (e *modelEngine) blocks(chain []ident.BlockHash, now time.Time) int {
	for i, hash := range chain {
		until, ok := e.expected[hash]
		if !e.held[hash] && (!ok || now.After(until)) {
			return i
		}
	}
	return len(chain)
}

// TestIndexAgreesWithModel drives an index and a simple model with the same events, late, repeated, with gaps,
// restarts and resyncs.
func TestIndexAgreesWithModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		// A panic by which rapid ends a run must not end the bubble's goroutine.
		var stopped any
		synctest.Test(t, func(*testing.T) {
			defer func() { stopped = recover() }()
			runModel(rt)
		})
		if stopped != nil {
			panic(stopped)
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
		model[id].void()
		x.AddExpected(id, nil)
	}
	engineGen := rapid.SampledFrom(names)
	hashes := rapid.SliceOfN(rapid.Map(rapid.Uint64Range(1, 6), func(v uint64) ident.BlockHash { return ident.BlockHash(v) }), 0, 4)
	apply := func(id ident.UpstreamID, ev extern.CacheEvent) {
		model[id].apply(ev)
		if suspect := x.Apply(id, ev); suspect != model[id].suspect {
			rt.Fatalf("suspect is %v, want %v", suspect, model[id].suspect)
		}
	}
	rt.Repeat(map[string]func(*rapid.T){
		"event": func(t *rapid.T) {
			id := engineGen.Draw(t, "engine")
			e := model[id]
			// Mostly the next event; at times one that is late, repeated, after a gap or of another incarnation.
			step := rapid.SampledFrom([]int{1, 1, 1, 1, 1, 1, 0, -1, 2}).Draw(t, "step")
			inc := rapid.SampledFrom([]int{0, 0, 0, 0, 0, 0, -1, 1}).Draw(t, "incarnation")
			apply(id, extern.CacheEvent{
				Position: extern.EnginePosition{
					Incarnation: ident.Incarnation(max(0, int(e.incarnation)+inc)),
					Sequence:    ident.Sequence(max(1, int(e.sequence)+step)),
				},
				Resync:  rapid.IntRange(0, 7).Draw(t, "resync") == 0,
				Added:   hashes.Draw(t, "added"),
				Removed: hashes.Draw(t, "removed"),
			})
		},
		"restart": func(t *rapid.T) {
			id := engineGen.Draw(t, "engine")
			next := model[id].incarnation + ident.Incarnation(rapid.IntRange(0, 1).Draw(t, "more"))
			model[id].restart(next)
			x.UpdateIncarnation(id, next)
		},
		"forget": func(t *rapid.T) {
			id := engineGen.Draw(t, "engine")
			if rapid.IntRange(0, 9).Draw(t, "rarely") != 0 {
				return
			}
			x.RemoveEngine(id)
			model[id] = &modelEngine{}
			model[id].void()
		},
		"expect": func(t *rapid.T) {
			id, chain := engineGen.Draw(t, "engine"), hashes.Draw(t, "chain")
			x.AddExpected(id, chain)
			for _, hash := range chain {
				if !model[id].held[hash] {
					model[id].expected[hash] = time.Now().Add(ttl)
				}
			}
		},
		"unexpect": func(t *rapid.T) {
			id, chain := engineGen.Draw(t, "engine"), hashes.Draw(t, "chain")
			x.RemoveExpected(id, chain)
			for _, hash := range chain {
				delete(model[id].expected, hash)
			}
		},
		"sleep": func(t *rapid.T) {
			time.Sleep(time.Duration(rapid.IntRange(1, 8).Draw(t, "stamps")) * stampUnit)
		},
		"": func(t *rapid.T) {
			chain := hashes.Draw(t, "lookup")
			want := holdings{}
			for id, e := range model {
				if n := e.blocks(chain, time.Now()); n > 0 {
					want[id] = n
				}
			}
			if got := blocks(x, chain...); !maps.Equal(got, want) {
				t.Fatalf("chain %v: held %v, want %v", chain, got, want)
			}
			for _, m := range x.Match(nil, chain) {
				if m.Incarnation != model[m.Engine].incarnation {
					t.Fatalf("engine %s matched by incarnation %d, is %d", m.Engine, m.Incarnation, model[m.Engine].incarnation)
				}
			}
		},
	})
}
