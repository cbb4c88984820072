package prefix

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Index tells which engines hold which blocks, as far as their events and this daemon's own requests show.
// Lookups take no lock. Set the fields before the first use; the zero value uses the defaults.
type Index struct {
	// Capacity is the number of entries, one per block and engine, beyond which the least recently used ones go.
	// The memory is 25 bytes an entry of capacity.
	Capacity int
	// ExpectedTTL bounds the life of entries that no event has confirmed.
	ExpectedTTL time.Duration

	once    sync.Once
	base    time.Time
	ttl     uint32
	table   *table
	engines atomic.Pointer[engines]
	scratch sync.Pool
	// generations holds the generation of each engine's slot.
	generations []atomic.Uint32

	// mu serialises writers.
	mu       sync.Mutex
	removals []removal
	cursor   int
}

// Match is the longest prefix that an engine is known to hold.
type Match struct {
	Engine      ident.UpstreamID
	Incarnation ident.Incarnation
	// Blocks counts the blocks held, from the first one on without a hole.
	Blocks int
}

func (x *Index) init() {
	x.once.Do(func() {
		if x.Capacity <= 0 {
			x.Capacity = DefaultCapacity
		}
		if x.ExpectedTTL <= 0 {
			x.ExpectedTTL = DefaultExpectedTTL
		}
		x.base = time.Now()
		x.ttl = uint32(x.ExpectedTTL / stampUnit)
		x.table = newTable(x.Capacity)
		x.generations = make([]atomic.Uint32, maxEngines)
		x.engines.Store(&engines{})
	})
}

func (x *Index) now() uint32 {
	return uint32(time.Since(x.base)/stampUnit) & stampMask
}

// generation returns the generation whose entries of a slot are valid.
func (x *Index) generation(slot uint16) uint32 { return x.generations[slot].Load() }

// valid reports whether an entry may be relied on.
func (x *Index) valid(m meta, now uint32) bool {
	return x.generation(m.slot()) == m.generation() && (!m.has(expected) || m.age(now) <= x.ttl)
}

// lookup is the working memory of one Match.
type lookup struct {
	// blocks is the length of the prefix found so far, by slot; found lists the slots with any.
	blocks []uint16
	found  []uint16
}

// Match appends to dst the longest prefix of the chain that each engine holds, for engines that hold at least the
// first block. The order is arbitrary.
func (x *Index) Match(dst []Match, chain []ident.BlockHash) []Match {
	x.init()
	all := x.engines.Load()
	look, _ := x.scratch.Get().(*lookup)
	if look == nil || cap(look.blocks) < len(all.slots) {
		look = &lookup{blocks: make([]uint16, len(all.slots))}
	}
	look.blocks = look.blocks[:len(all.slots)]
	now := x.now()
	for i, hash := range chain {
		if i%touchBlocks == 0 {
			x.table.touch(chain[i:min(len(chain), i+touchBlocks)])
		}
		if !x.extend(look, hash, uint16(i), now) {
			break
		}
	}
	current := x.engines.Load()
	for _, slot := range look.found {
		e := all.slots[slot]
		// A slot that was given to another engine meanwhile tells nothing of either.
		if current.slots[slot] == e {
			dst = append(dst, Match{
				Engine:      e.id,
				Incarnation: ident.Incarnation(e.incarnation.Load()),
				Blocks:      int(look.blocks[slot]),
			})
		}
		look.blocks[slot] = 0
	}
	look.found = look.found[:0]
	x.scratch.Put(look)
	return dst
}

// extend looks up one block and reports whether any engine holds it and all blocks before.
func (x *Index) extend(look *lookup, hash ident.BlockHash, i uint16, now uint32) bool {
	held := false
	home := x.table.home(uint64(hash))
	for w := range x.table.reach(home) {
		bucket := x.table.window(home, w)
		for j := range bucket {
			e := &bucket[j]
			m, ok := e.match(hash)
			slot := m.slot()
			if !ok || int(slot) >= len(look.blocks) || look.blocks[slot] != i || !x.valid(m, now) {
				continue
			}
			if i == 0 {
				look.found = append(look.found, slot)
			}
			look.blocks[slot] = i + 1
			held = true
			markUsed(e, m, now)
		}
	}
	return held
}

// markUsed notes the use of an entry, unless it is noted already. A lost race is no harm.
func markUsed(e *entry, m meta, now uint32) {
	next := m | used
	if !m.has(expected) && m.age(now) >= useStamps {
		next = next.stamped(now)
	}
	if next != m {
		e.meta.CompareAndSwap(uint64(m), uint64(next))
	}
}

// Position returns the place in an engine's events from which the index needs more; the sequence is 0 when it needs
// a resync.
func (x *Index) Position(id ident.UpstreamID) extern.EnginePosition {
	x.init()
	e := x.engines.Load().byID[id]
	if e == nil {
		return extern.EnginePosition{}
	}
	return e.position()
}

// CountEntries counts the entries that may be relied on. It reads the whole index.
func (x *Index) CountEntries() int {
	x.init()
	now := x.now()
	n := 0
	for i := range x.table.entries {
		_, m, ok := x.table.entries[i].load()
		if ok && x.valid(m, now) {
			n++
		}
	}
	return n
}
