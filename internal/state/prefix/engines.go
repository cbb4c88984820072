package prefix

import (
	"sync/atomic"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// engine is the state of an engine in the index, except its blocks. Entries are valid only while their generation is
// that of the engine's slot. A restart, a resync or a gap in the events advances the generation, which invalidates
// all entries of the engine at once.
type engine struct {
	id          ident.UpstreamID
	slot        uint16
	incarnation atomic.Uint64
	sequence    atomic.Uint64
	// needsResync is set from a gap in the events until the next resync.
	needsResync atomic.Bool
	// removed marks a slot whose engine has been removed; the slot can be reused.
	removed bool
}

// position returns the last applied event; its sequence is 0 if the engine needs a resync.
func (e *engine) position() extern.EnginePosition {
	p := extern.EnginePosition{Incarnation: ident.Incarnation(e.incarnation.Load())}
	if !e.needsResync.Load() {
		p.Sequence = ident.Sequence(e.sequence.Load())
	}
	return p
}

// engineList is an immutable list of the engines. Writers replace it as a whole.
type engineList struct {
	slots []*engine
	byID  map[ident.UpstreamID]*engine
}

// with returns a copy of the list in which e occupies its slot.
func (s *engineList) with(e *engine) *engineList {
	next := &engineList{
		slots: append([]*engine(nil), s.slots...),
		byID:  make(map[ident.UpstreamID]*engine, len(s.byID)+1),
	}
	for id, old := range s.byID {
		next.byID[id] = old
	}
	if int(e.slot) == len(next.slots) {
		next.slots = append(next.slots, e)
	} else {
		delete(next.byID, next.slots[e.slot].id)
		next.slots[e.slot] = e
	}
	if !e.removed {
		next.byID[e.id] = e
	}
	return next
}

// freeSlot returns the slot for a new engine, and false if there is none left.
func (s *engineList) freeSlot() (slot uint16, ok bool) {
	for _, e := range s.slots {
		if e.removed {
			return e.slot, true
		}
	}
	return uint16(len(s.slots)), len(s.slots) < maxEngines
}
