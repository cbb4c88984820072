package prefix

import (
	"math/bits"
	"sync/atomic"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// entry says that an engine holds a block. Its key is the hash of the block sealed with what binds the entry to the
// engine, so that a reader who meets a writer between the two words finds no hash that it looks for.
type entry struct {
	key  atomic.Uint64
	meta atomic.Uint64
}

// seal combines a hash with the binding of a meta word; applied twice it yields the hash again.
func seal(hash uint64, m meta) uint64 {
	const odd = 0x9e3779b97f4a7c15
	return hash ^ uint64(m.binding())*odd
}

// match returns the meta word if the entry is of the hash.
func (e *entry) match(hash ident.BlockHash) (meta, bool) {
	m := meta(e.meta.Load())
	return m, m != 0 && seal(e.key.Load(), m) == uint64(hash)
}

// load returns the hash and the meta word of an entry that is not free. Without the writers' lock the two may be of
// different times.
func (e *entry) load() (uint64, meta, bool) {
	m := meta(e.meta.Load())
	return seal(e.key.Load(), m), m, m != 0
}

func (e *entry) store(hash uint64, m meta) {
	e.meta.Store(0)
	e.key.Store(seal(hash, m))
	e.meta.Store(uint64(m))
}

// table is a set-associative hash table of fixed size. Readers need no lock; writers take turns.
type table struct {
	entries []entry
	// overflow counts for each bucket the entries that belong there and stand in a later bucket.
	overflow []atomic.Uint32
}

func newTable(capacity int) *table {
	buckets := max(windowBuckets, capacity*spareNumerator/spareDenominator/bucketEntries+1)
	return &table{
		entries:  make([]entry, buckets*bucketEntries),
		overflow: make([]atomic.Uint32, buckets),
	}
}

func (t *table) home(hash uint64) int {
	hi, _ := bits.Mul64(hash, uint64(len(t.overflow)))
	return int(hi)
}

// window returns the i-th bucket that may hold the hashes of a home bucket.
func (t *table) window(home, i int) []entry {
	bucket := home + i
	if bucket >= len(t.overflow) {
		bucket -= len(t.overflow)
	}
	return t.entries[bucket*bucketEntries : (bucket+1)*bucketEntries]
}

// reach returns how many buckets hold entries of a home bucket.
func (t *table) reach(home int) int {
	if t.overflow[home].Load() == 0 {
		return 1
	}
	return windowBuckets
}

// touch reads the home buckets of hashes, so that the processor fetches them from memory at the same time.
func (t *table) touch(hashes []ident.BlockHash) {
	sum := uint64(0)
	for _, hash := range hashes {
		home := t.home(uint64(hash))
		first := &t.entries[home*bucketEntries]
		middle := &t.entries[home*bucketEntries+bucketEntries/2]
		sum |= first.key.Load() | middle.key.Load() | uint64(t.overflow[home].Load())
	}
	_ = sum
}

// find returns the entry of a hash and an engine's slot, or nil. Writers only.
func (t *table) find(hash ident.BlockHash, slot uint16) *entry {
	home := t.home(uint64(hash))
	for i := range t.reach(home) {
		bucket := t.window(home, i)
		for j := range bucket {
			if m, ok := bucket[j].match(hash); ok && m.slot() == slot {
				return &bucket[j]
			}
		}
	}
	return nil
}

// insert puts a new entry at the free place or at the one of least worth in its window. Writers only.
func (t *table) insert(hash ident.BlockHash, m meta, worth func(meta) uint32) {
	home := t.home(uint64(hash))
	var victim *entry
	at, least := 0, ^uint32(0)
	for i := 0; i < windowBuckets && least > 0; i++ {
		bucket := t.window(home, i)
		for j := range bucket {
			w := uint32(0)
			if old := meta(bucket[j].meta.Load()); old != 0 {
				w = worth(old)
			}
			if victim == nil || w < least {
				victim, at, least = &bucket[j], i, w
			}
			if w == 0 {
				break
			}
		}
	}
	t.clear(victim)
	if at > 0 {
		t.overflow[home].Add(1)
	}
	victim.store(uint64(hash), m)
}

// clear frees an entry. Writers only.
func (t *table) clear(e *entry) {
	hash, _, ok := e.load()
	if !ok {
		return
	}
	e.meta.Store(0)
	home := t.home(hash)
	for i := 1; i < windowBuckets; i++ {
		bucket := t.window(home, i)
		for j := range bucket {
			if &bucket[j] == e {
				t.overflow[home].Add(^uint32(0))
				return
			}
		}
	}
}
