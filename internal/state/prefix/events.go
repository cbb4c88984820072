package prefix

import (
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Apply takes in a cache event of an engine and reports whether the engine's events must be read again from a resync
// on, because some are missing. Events that were applied before change nothing.
func (x *Index) Apply(id ident.UpstreamID, ev extern.CacheEvent) (resync bool) {
	x.init()
	x.mu.Lock()
	defer x.mu.Unlock()
	e := x.engine(id)
	if e == nil {
		return false
	}
	at := ev.Position
	if at.Incarnation < ident.Incarnation(e.incarnation.Load()) {
		return e.suspect.Load()
	}
	x.restart(e, at.Incarnation)
	last := ident.Sequence(e.sequence.Load())
	switch {
	case ev.Resync:
		if at.Sequence < last {
			return e.suspect.Load()
		}
		x.void(e)
		e.suspect.Store(false)
	case at.Sequence <= last:
		return e.suspect.Load()
	case at.Sequence > last+1:
		x.void(e)
		e.suspect.Store(true)
	}
	e.sequence.Store(uint64(at.Sequence))
	for _, hash := range ev.Removed {
		x.remove(e, hash)
	}
	for _, hash := range ev.Added {
		x.put(e, hash, 0)
	}
	return e.suspect.Load()
}

// UpdateIncarnation voids all entries of older incarnations of an engine.
func (x *Index) UpdateIncarnation(id ident.UpstreamID, incarnation ident.Incarnation) {
	x.init()
	if e := x.engines.Load().byID[id]; e != nil && incarnation <= ident.Incarnation(e.incarnation.Load()) {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if e := x.engine(id); e != nil {
		x.restart(e, incarnation)
	}
}

// RemoveEngine drops an engine and voids all its entries.
func (x *Index) RemoveEngine(id ident.UpstreamID) {
	x.init()
	x.mu.Lock()
	defer x.mu.Unlock()
	all := x.engines.Load()
	e := all.byID[id]
	if e == nil {
		return
	}
	x.void(e)
	x.engines.Store(all.with(&engine{slot: e.slot, gone: true}))
}

// AddExpected notes that an engine is about to hold the blocks of a chain, because this daemon has sent it a request.
// The entries expire unless events confirm them.
func (x *Index) AddExpected(id ident.UpstreamID, chain []ident.BlockHash) {
	x.init()
	x.mu.Lock()
	defer x.mu.Unlock()
	e := x.engine(id)
	if e == nil {
		return
	}
	for _, hash := range chain {
		x.put(e, hash, expected)
	}
}

// RemoveExpected drops the blocks of a chain that no event has confirmed, because the request failed.
func (x *Index) RemoveExpected(id ident.UpstreamID, chain []ident.BlockHash) {
	x.init()
	x.mu.Lock()
	defer x.mu.Unlock()
	e := x.engines.Load().byID[id]
	if e == nil {
		return
	}
	for _, hash := range chain {
		if at := x.table.find(hash, e.slot); at != nil && meta(at.meta.Load()).has(expected) {
			x.table.clear(at)
		}
	}
}

// engine returns the engine of an id and adds it if need be; nil when the index has no room for more engines.
func (x *Index) engine(id ident.UpstreamID) *engine {
	all := x.engines.Load()
	if e := all.byID[id]; e != nil {
		return e
	}
	slot, ok := all.free()
	if !ok {
		return nil
	}
	e := &engine{id: id, slot: slot}
	x.void(e)
	x.engines.Store(all.with(e))
	return e
}

func (x *Index) restart(e *engine, incarnation ident.Incarnation) {
	if incarnation <= ident.Incarnation(e.incarnation.Load()) {
		return
	}
	x.void(e)
	e.sequence.Store(0)
	e.suspect.Store(false)
	e.incarnation.Store(uint64(incarnation))
}

// void makes all entries of the engine invalid. When the generations start again from 0, entries of earlier
// generations are cleared, so that none becomes valid again.
func (x *Index) void(e *engine) {
	next := (x.generation(e.slot) + 1) & generationMask
	if next == 0 {
		x.sweep(e.slot)
	}
	x.generations[e.slot].Store(next)
}

func (x *Index) sweep(slot uint16) {
	for i := range x.table.entries {
		at := &x.table.entries[i]
		if m := meta(at.meta.Load()); m.has(occupied) && m.slot() == slot {
			x.table.clear(at)
		}
	}
}

// put adds an entry or renews it. What an event has confirmed stays confirmed.
func (x *Index) put(e *engine, hash ident.BlockHash, flags meta) {
	now, generation := x.now(), x.generation(e.slot)
	m := newMeta(e.slot, generation, now, flags)
	at := x.table.find(hash, e.slot)
	if at == nil {
		x.table.insert(hash, m, x.worth(now))
		return
	}
	old := meta(at.meta.Load())
	if old.generation() != generation {
		at.store(uint64(hash), m)
		return
	}
	if !old.has(expected) {
		m = m.without(expected)
	}
	at.store(uint64(hash), m|old&(used|told))
}

func (x *Index) remove(e *engine, hash ident.BlockHash) {
	at := x.table.find(hash, e.slot)
	if at == nil {
		return
	}
	m := meta(at.meta.Load())
	x.table.clear(at)
	if m.has(told) && m.generation() == x.generation(e.slot) && len(x.removals) < maxRemovals {
		x.removals = append(x.removals, removal{engine: e, incarnation: e.incarnation.Load(), hash: hash})
	}
}

// worth ranks entries for replacement: 0 for one that can't be relied on any more, else the higher the more
// recently it was used.
func (x *Index) worth(now uint32) func(meta) uint32 {
	return func(m meta) uint32 {
		if !x.valid(m, now) {
			return 0
		}
		return stampMask - m.age(now) + 1
	}
}
