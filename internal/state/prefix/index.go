package prefix

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Index maps block hashes to the engines that have the blocks in their caches, according to the engines' cache events,
// this daemon's own requests and the digests of peers. Lookups take no lock. Set the fields before the first use; the
// zero value uses the defaults.
type Index struct {
	// Capacity is the number of entries, one per block and engine, beyond which the least recently used ones are
	// evicted. An entry of capacity takes 25 bytes of memory.
	Capacity int
	// ExpectedTTL is how long entries stay valid that no event has confirmed.
	ExpectedTTL time.Duration

	once              sync.Once
	stampEpoch        time.Time
	expectedTTLStamps uint32
	table             *table
	engines           atomic.Pointer[engineList]
	matchStates       sync.Pool
	// generations holds the current generation of each engine slot.
	generations []atomic.Uint32

	// mu serialises writers.
	mu              sync.Mutex
	pendingRemovals []removal
	deltaCursor     int
}

// Match is the longest prefix of a chain that an engine has in its cache.
type Match struct {
	Engine      ident.UpstreamID
	Incarnation ident.Incarnation
	// Blocks is the number of cached blocks, counted from the first one to the first that is not in the cache.
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
		x.stampEpoch = time.Now()
		x.expectedTTLStamps = uint32(x.ExpectedTTL / stampUnit)
		x.table = newTable(x.Capacity)
		x.generations = make([]atomic.Uint32, maxEngines)
		x.engines.Store(&engineList{})
	})
}

// now returns the time stamp of the present, in units of stampUnit.
func (x *Index) now() uint32 {
	return uint32(time.Since(x.stampEpoch)/stampUnit) & stampMask
}

// generation returns the generation that entries of a slot must have to be valid.
func (x *Index) generation(slot uint16) uint32 { return x.generations[slot].Load() }

// valid reports whether an entry has the current generation of its slot and, if no event has confirmed it, has not
// expired.
func (x *Index) valid(m meta, now uint32) bool {
	return x.generation(m.slot()) == m.generation() && (!m.has(expected) || m.age(now) <= x.expectedTTLStamps)
}

// matchState is the scratch memory of one call of Match.
type matchState struct {
	// prefixBlocks is the length in blocks of the prefix found so far, by slot; matchedSlots lists the slots where it
	// is not 0.
	prefixBlocks []uint16
	matchedSlots []uint16
}

// Match appends to dst the longest prefix of the chain that each engine has in its cache, for engines that have at
// least the first block. The order is arbitrary.
func (x *Index) Match(dst []Match, chain []ident.BlockHash) []Match {
	x.init()
	all := x.engines.Load()
	state, _ := x.matchStates.Get().(*matchState)
	if state == nil || cap(state.prefixBlocks) < len(all.slots) {
		state = &matchState{prefixBlocks: make([]uint16, len(all.slots))}
	}
	state.prefixBlocks = state.prefixBlocks[:len(all.slots)]
	now := x.now()
	for i, hash := range chain {
		if i%prefetchBlocks == 0 {
			x.table.prefetch(chain[i:min(len(chain), i+prefetchBlocks)])
		}
		if !x.matchBlock(state, hash, uint16(i), now) {
			break
		}
	}
	current := x.engines.Load()
	for _, slot := range state.matchedSlots {
		e := all.slots[slot]
		// If the slot has been reassigned meanwhile, the entries found may belong to either engine.
		if current.slots[slot] == e {
			dst = append(dst, Match{
				Engine:      e.id,
				Incarnation: ident.Incarnation(e.incarnation.Load()),
				Blocks:      int(state.prefixBlocks[slot]),
			})
		}
		state.prefixBlocks[slot] = 0
	}
	state.matchedSlots = state.matchedSlots[:0]
	x.matchStates.Put(state)
	return dst
}

// matchBlock looks up the i-th block and reports whether any engine holds it and all blocks before it.
func (x *Index) matchBlock(state *matchState, hash ident.BlockHash, i uint16, now uint32) bool {
	held := false
	home := x.table.homeBucket(uint64(hash))
	for w := range x.table.probeLength(home) {
		bucket := x.table.probeBucket(home, w)
		for j := range bucket {
			e := &bucket[j]
			m, ok := e.match(hash)
			slot := m.slot()
			if !ok || int(slot) >= len(state.prefixBlocks) || state.prefixBlocks[slot] != i || !x.valid(m, now) {
				continue
			}
			if i == 0 {
				state.matchedSlots = append(state.matchedSlots, slot)
			}
			state.prefixBlocks[slot] = i + 1
			held = true
			markUsed(e, m, now)
		}
	}
	return held
}

// markUsed sets the used flag of an entry and renews its time stamp if that is old. If a concurrent change makes the
// swap fail, only this update is lost.
func markUsed(e *entry, m meta, now uint32) {
	next := m | used
	if !m.has(expected) && m.age(now) >= renewAgeStamps {
		next = next.withStamp(now)
	}
	if next != m {
		e.meta.CompareAndSwap(uint64(m), uint64(next))
	}
}

// Position returns the position of the last applied event of an engine. The sequence is 0 if the index needs a resync or
// does not know the engine.
func (x *Index) Position(id ident.UpstreamID) extern.EnginePosition {
	x.init()
	e := x.engines.Load().byID[id]
	if e == nil {
		return extern.EnginePosition{}
	}
	return e.position()
}

// CountEntries returns the number of valid entries. It reads the whole index.
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
