package config

import (
	"hash/maphash"
	"iter"
	"maps"
)

var tableSeed = maphash.MakeSeed()

// table is a map whose copies share the shards that neither has changed since.
type table[K comparable, V any] struct {
	shards [tableShards]map[K]V
	// owned marks the shards that no copy shares.
	owned [tableShards]bool
	size  int
}

// fork returns a copy that can be changed while t, from now on, can't.
func (t *table[K, V]) fork() *table[K, V] {
	return &table[K, V]{shards: t.shards, size: t.size}
}

func (t *table[K, V]) get(key K) (V, bool) {
	v, ok := t.shards[shardOf(key)][key]
	return v, ok
}

func (t *table[K, V]) put(key K, v V) {
	shard := t.own(shardOf(key))
	before := len(shard)
	shard[key] = v
	t.size += len(shard) - before
}

func (t *table[K, V]) remove(key K) {
	i := shardOf(key)
	if _, ok := t.shards[i][key]; !ok {
		return
	}
	delete(t.own(i), key)
	t.size--
}

func (t *table[K, V]) own(i uint64) map[K]V {
	if t.owned[i] {
		return t.shards[i]
	}
	t.owned[i] = true
	if t.shards[i] == nil {
		t.shards[i] = map[K]V{}
	} else {
		t.shards[i] = maps.Clone(t.shards[i])
	}
	return t.shards[i]
}

// all yields the entries in no order.
func (t *table[K, V]) all() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for _, shard := range t.shards {
			for k, v := range shard {
				if !yield(k, v) {
					return
				}
			}
		}
	}
}

func shardOf[K comparable](key K) uint64 {
	return maphash.Comparable(tableSeed, key) % tableShards
}
