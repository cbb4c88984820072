package config

import (
	"hash/maphash"
	"iter"
	"maps"
)

var shardSeed = maphash.MakeSeed()

// cowMap is a copy-on-write hash map: a fork shares all shards with the original, and the first write to a shard clones it.
type cowMap[K comparable, V any] struct {
	shards [shardCount]map[K]V
	// private marks the shards that no other cowMap shares and that may be written in place.
	private [shardCount]bool
	size    int
}

// fork returns a copy that may be written. The original must not be written any more because the copy shares its shards.
func (m *cowMap[K, V]) fork() *cowMap[K, V] {
	return &cowMap[K, V]{shards: m.shards, size: m.size}
}

func (m *cowMap[K, V]) get(key K) (V, bool) {
	v, ok := m.shards[shardIndex(key)][key]
	return v, ok
}

func (m *cowMap[K, V]) put(key K, v V) {
	shard := m.privateShard(shardIndex(key))
	sizeBefore := len(shard)
	shard[key] = v
	m.size += len(shard) - sizeBefore
}

func (m *cowMap[K, V]) remove(key K) {
	i := shardIndex(key)
	if _, ok := m.shards[i][key]; !ok {
		return
	}
	delete(m.privateShard(i), key)
	m.size--
}

// privateShard returns shard i for writing and clones it first if it is shared.
func (m *cowMap[K, V]) privateShard(i uint64) map[K]V {
	if m.private[i] {
		return m.shards[i]
	}
	m.private[i] = true
	if m.shards[i] == nil {
		m.shards[i] = map[K]V{}
	} else {
		m.shards[i] = maps.Clone(m.shards[i])
	}
	return m.shards[i]
}

// all yields the entries in no particular order.
func (m *cowMap[K, V]) all() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for _, shard := range m.shards {
			for k, v := range shard {
				if !yield(k, v) {
					return
				}
			}
		}
	}
}

func shardIndex[K comparable](key K) uint64 {
	return maphash.Comparable(shardSeed, key) % shardCount
}
