package prefix

import (
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Apply applies a cache event of an engine and reports whether the engine's events must be read again, beginning with
// a resync, because some were lost. Events that were applied before change nothing.
func (x *Index) Apply(id ident.UpstreamID, ev extern.CacheEvent) (resync bool) {
	x.init()
	x.mu.Lock()
	defer x.mu.Unlock()
	e := x.engineFor(id)
	if e == nil {
		return false
	}
	position := ev.Position
	if position.Incarnation < ident.Incarnation(e.incarnation.Load()) {
		return e.needsResync.Load()
	}
	x.setIncarnation(e, position.Incarnation)
	last := ident.Sequence(e.sequence.Load())
	switch {
	case ev.Resync:
		if position.Sequence < last {
			return e.needsResync.Load()
		}
		x.invalidate(e)
		e.needsResync.Store(false)
	case position.Sequence <= last:
		return e.needsResync.Load()
	case position.Sequence > last+1:
		x.invalidate(e)
		e.needsResync.Store(true)
	}
	e.sequence.Store(uint64(position.Sequence))
	for _, hash := range ev.Removed {
		x.remove(e, hash)
	}
	for _, hash := range ev.Added {
		x.put(e, hash, 0)
	}
	return e.needsResync.Load()
}

// UpdateIncarnation invalidates all entries of older incarnations of an engine.
func (x *Index) UpdateIncarnation(id ident.UpstreamID, incarnation ident.Incarnation) {
	x.init()
	if e := x.engines.Load().byID[id]; e != nil && incarnation <= ident.Incarnation(e.incarnation.Load()) {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if e := x.engineFor(id); e != nil {
		x.setIncarnation(e, incarnation)
	}
}

// RemoveEngine removes an engine and invalidates all its entries.
func (x *Index) RemoveEngine(id ident.UpstreamID) {
	x.init()
	x.mu.Lock()
	defer x.mu.Unlock()
	all := x.engines.Load()
	e := all.byID[id]
	if e == nil {
		return
	}
	x.invalidate(e)
	x.engines.Store(all.with(&engine{slot: e.slot, removed: true}))
}

// AddExpected adds the blocks of a chain that an engine is about to cache because this daemon has sent it a request.
// The entries expire after ExpectedTTL unless events confirm them.
func (x *Index) AddExpected(id ident.UpstreamID, chain []ident.BlockHash) {
	x.init()
	x.mu.Lock()
	defer x.mu.Unlock()
	e := x.engineFor(id)
	if e == nil {
		return
	}
	for _, hash := range chain {
		x.put(e, hash, expected)
	}
}

// RemoveExpected removes the blocks of a chain that no event has confirmed. It is called when the request has failed.
func (x *Index) RemoveExpected(id ident.UpstreamID, chain []ident.BlockHash) {
	x.init()
	x.mu.Lock()
	defer x.mu.Unlock()
	e := x.engines.Load().byID[id]
	if e == nil {
		return
	}
	for _, hash := range chain {
		if ent := x.table.find(hash, e.slot); ent != nil && meta(ent.meta.Load()).has(expected) {
			x.table.clear(ent)
		}
	}
}

// engineFor returns the engine with an ID and adds it if it is new; nil if the index already has maxEngines engines.
func (x *Index) engineFor(id ident.UpstreamID) *engine {
	all := x.engines.Load()
	if e := all.byID[id]; e != nil {
		return e
	}
	slot, ok := all.freeSlot()
	if !ok {
		return nil
	}
	e := &engine{id: id, slot: slot}
	x.invalidate(e)
	x.engines.Store(all.with(e))
	return e
}

// setIncarnation starts over with an empty engine if the incarnation is newer than the known one.
func (x *Index) setIncarnation(e *engine, incarnation ident.Incarnation) {
	if incarnation <= ident.Incarnation(e.incarnation.Load()) {
		return
	}
	x.invalidate(e)
	e.sequence.Store(0)
	e.needsResync.Store(false)
	e.incarnation.Store(uint64(incarnation))
}

// invalidate makes all entries of the engine invalid by advancing the generation of its slot. When the generation
// wraps around to 0, the entries of earlier generations are cleared, so that none becomes valid again.
func (x *Index) invalidate(e *engine) {
	next := (x.generation(e.slot) + 1) & generationMask
	if next == 0 {
		x.clearSlot(e.slot)
	}
	x.generations[e.slot].Store(next)
}

// clearSlot removes all entries of a slot from the table.
func (x *Index) clearSlot(slot uint16) {
	for i := range x.table.entries {
		ent := &x.table.entries[i]
		if m := meta(ent.meta.Load()); m.has(occupied) && m.slot() == slot {
			x.table.clear(ent)
		}
	}
}

// put adds an entry or renews it. An entry that an event has confirmed stays confirmed.
func (x *Index) put(e *engine, hash ident.BlockHash, flags meta) {
	now, generation := x.now(), x.generation(e.slot)
	m := newMeta(e.slot, generation, now, flags)
	ent := x.table.find(hash, e.slot)
	if ent == nil {
		x.table.insert(hash, m, x.retentionPriority(now))
		return
	}
	old := meta(ent.meta.Load())
	if old.generation() != generation {
		ent.store(uint64(hash), m)
		return
	}
	if !old.has(expected) {
		m = m.without(expected)
	}
	ent.store(uint64(hash), m|old&(used|advertised))
}

// remove deletes an entry and, if it was advertised to peers, queues the removal for the next digest.
func (x *Index) remove(e *engine, hash ident.BlockHash) {
	ent := x.table.find(hash, e.slot)
	if ent == nil {
		return
	}
	m := meta(ent.meta.Load())
	x.table.clear(ent)
	if m.has(advertised) && m.generation() == x.generation(e.slot) && len(x.pendingRemovals) < maxPendingRemovals {
		x.pendingRemovals = append(x.pendingRemovals, removal{engine: e, incarnation: e.incarnation.Load(), hash: hash})
	}
}

// retentionPriority returns the priority by which entries are kept: 0 for one that is not valid, otherwise higher the
// more recently it was used.
func (x *Index) retentionPriority(now uint32) func(meta) uint32 {
	return func(m meta) uint32 {
		if !x.valid(m, now) {
			return 0
		}
		return stampMask - m.age(now) + 1
	}
}
