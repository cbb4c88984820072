package prefix

import (
	"sync/atomic"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// engine is what the index knows about an engine besides its blocks. Entries are valid only while their generation
// is the engine's: a restart, a resync or a gap in the events moves on to the next and so voids all of them at once.
type engine struct {
	id          ident.UpstreamID
	slot        uint16
	incarnation atomic.Uint64
	sequence    atomic.Uint64
	// suspect is set after a gap, until a resync.
	suspect atomic.Bool
	// gone is set in a slot whose engine has been forgotten.
	gone bool
}

func (e *engine) position() extern.EnginePosition {
	p := extern.EnginePosition{Incarnation: ident.Incarnation(e.incarnation.Load())}
	if !e.suspect.Load() {
		p.Sequence = ident.Sequence(e.sequence.Load())
	}
	return p
}

// engines is an immutable list of the engines by slot.
type engines struct {
	slots []*engine
	byID  map[ident.UpstreamID]*engine
}

func (s *engines) with(e *engine) *engines {
	next := &engines{
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
	if !e.gone {
		next.byID[e.id] = e
	}
	return next
}

// free returns the slot for a new engine.
func (s *engines) free() (slot uint16, ok bool) {
	for _, e := range s.slots {
		if e.gone {
			return e.slot, true
		}
	}
	return uint16(len(s.slots)), len(s.slots) < maxEngines
}
