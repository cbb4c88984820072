package prefix

import (
	"math/bits"
	"sync/atomic"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// entry records that an engine holds a block. Its key is the hash of the block masked with the fixed bits of the
// metadata. A reader that sees only one of the two words of a concurrent write thus does not match the hash.
type entry struct {
	key  atomic.Uint64
	meta atomic.Uint64
}

// maskHash masks a hash with the fixed bits of a meta word; applied twice it yields the hash again.
func maskHash(hash uint64, m meta) uint64 {
	const odd = 0x9e3779b97f4a7c15
	return hash ^ uint64(m.fixedBits())*odd
}

// match returns the meta word and whether the entry is for the hash.
func (e *entry) match(hash ident.BlockHash) (meta, bool) {
	m := meta(e.meta.Load())
	return m, m != 0 && maskHash(e.key.Load(), m) == uint64(hash)
}

// load returns the hash and the meta word of an entry, and false if the entry is free. Without the writers' lock the
// two words may come from different writes.
func (e *entry) load() (uint64, meta, bool) {
	m := meta(e.meta.Load())
	return maskHash(e.key.Load(), m), m, m != 0
}

// store writes an entry. It marks the entry free while the key changes. Writers only.
func (e *entry) store(hash uint64, m meta) {
	e.meta.Store(0)
	e.key.Store(maskHash(hash, m))
	e.meta.Store(uint64(m))
}

// table is a set-associative hash table of fixed size. Readers need no lock; writers must be serialised by the caller.
type table struct {
	entries []entry
	// overflow holds, for each home bucket, the number of its entries that are stored in a later bucket.
	overflow []atomic.Uint32
}

func newTable(capacity int) *table {
	buckets := max(probeBuckets, capacity*sizeNumerator/sizeDenominator/bucketEntries+1)
	return &table{
		entries:  make([]entry, buckets*bucketEntries),
		overflow: make([]atomic.Uint32, buckets),
	}
}

// homeBucket returns the index of the first bucket to search for a hash.
func (t *table) homeBucket(hash uint64) int {
	hi, _ := bits.Mul64(hash, uint64(len(t.overflow)))
	return int(hi)
}

// probeBucket returns the i-th bucket to search, counted from the home bucket.
func (t *table) probeBucket(home, i int) []entry {
	bucket := home + i
	if bucket >= len(t.overflow) {
		bucket -= len(t.overflow)
	}
	return t.entries[bucket*bucketEntries : (bucket+1)*bucketEntries]
}

// probeLength returns how many buckets must be searched for the entries of a home bucket.
func (t *table) probeLength(home int) int {
	if t.overflow[home].Load() == 0 {
		return 1
	}
	return probeBuckets
}

// prefetch reads the home buckets of hashes, so that the processor fetches them from memory in parallel.
func (t *table) prefetch(hashes []ident.BlockHash) {
	sum := uint64(0)
	for _, hash := range hashes {
		home := t.homeBucket(uint64(hash))
		first := &t.entries[home*bucketEntries]
		middle := &t.entries[home*bucketEntries+bucketEntries/2]
		sum |= first.key.Load() | middle.key.Load() | uint64(t.overflow[home].Load())
	}
	_ = sum
}

// find returns the entry for a hash and an engine's slot, or nil. Writers only.
func (t *table) find(hash ident.BlockHash, slot uint16) *entry {
	home := t.homeBucket(uint64(hash))
	for i := range t.probeLength(home) {
		bucket := t.probeBucket(home, i)
		for j := range bucket {
			if m, ok := bucket[j].match(hash); ok && m.slot() == slot {
				return &bucket[j]
			}
		}
	}
	return nil
}

// insert stores a new entry in place of the entry of lowest priority among the buckets of its hash. A free entry and
// one of priority 0 are taken at once. Writers only.
func (t *table) insert(hash ident.BlockHash, m meta, priority func(meta) uint32) {
	home := t.homeBucket(uint64(hash))
	var victim *entry
	victimBucket, lowest := 0, ^uint32(0)
	for i := 0; i < probeBuckets && lowest > 0; i++ {
		bucket := t.probeBucket(home, i)
		for j := range bucket {
			p := uint32(0)
			if old := meta(bucket[j].meta.Load()); old != 0 {
				p = priority(old)
			}
			if victim == nil || p < lowest {
				victim, victimBucket, lowest = &bucket[j], i, p
			}
			if p == 0 {
				break
			}
		}
	}
	t.clear(victim)
	if victimBucket > 0 {
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
	home := t.homeBucket(hash)
	for i := 1; i < probeBuckets; i++ {
		bucket := t.probeBucket(home, i)
		for j := range bucket {
			if &bucket[j] == e {
				t.overflow[home].Add(^uint32(0))
				return
			}
		}
	}
}
