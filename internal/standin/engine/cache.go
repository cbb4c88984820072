package engine

import (
	"container/list"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// cache is the prefix cache of an engine: an LRU of blocks with a bounded number of entries. Blocks that are pinned by
// running requests are not evicted. It is not safe for concurrent use; Engine.mu guards it.
type cache struct {
	capacity int
	entries  map[ident.BlockHash]*block
	// lru holds *block values, the most recently used one in front.
	lru list.List
}

// block is a cached block of prompt tokens. The hash covers the prompt up to and including the block.
type block struct {
	hash         ident.BlockHash
	organisation ident.OrganisationID
	version      ident.VersionID
	lastUsed     time.Time
	pins         int
	element      *list.Element
}

func newCache(capacity int) *cache {
	return &cache{capacity: capacity, entries: map[ident.BlockHash]*block{}}
}

// cachedPrefix returns the number of leading blocks of the chain that are cached.
func (c *cache) cachedPrefix(chain []ident.BlockHash) int {
	for i, hash := range chain {
		if c.entries[hash] == nil {
			return i
		}
	}
	return len(chain)
}

// pin protects a cached block from eviction until unpin and marks it as used.
func (c *cache) pin(hash ident.BlockHash, now time.Time) *block {
	b := c.entries[hash]
	b.pins++
	b.lastUsed = now
	c.lru.MoveToFront(b.element)
	return b
}

func (c *cache) unpin(b *block) { b.pins-- }

// add inserts a block that is not cached yet, pinned once.
func (c *cache) add(hash ident.BlockHash, organisation ident.OrganisationID, version ident.VersionID, now time.Time) *block {
	b := &block{hash: hash, organisation: organisation, version: version, lastUsed: now, pins: 1}
	b.element = c.lru.PushFront(b)
	c.entries[hash] = b
	return b
}

// evict removes unpinned blocks beyond the capacity and unpinned blocks last used before idleSince, the least recently
// used first, and returns their hashes. The zero time evicts by capacity only.
func (c *cache) evict(idleSince time.Time) []ident.BlockHash {
	var evicted []ident.BlockHash
	for element := c.lru.Back(); element != nil; {
		previous := element.Prev()
		b, ok := element.Value.(*block)
		if !ok || (len(c.entries) <= c.capacity && !b.lastUsed.Before(idleSince)) {
			break
		}
		if b.pins == 0 {
			c.remove(b)
			evicted = append(evicted, b.hash)
		}
		element = previous
	}
	return evicted
}

// dropVersion removes the blocks of a weight version, pinned or not, and returns their hashes.
func (c *cache) dropVersion(version ident.VersionID) []ident.BlockHash {
	var evicted []ident.BlockHash
	for hash, b := range c.entries {
		if b.version == version {
			c.remove(b)
			evicted = append(evicted, hash)
		}
	}
	return evicted
}

func (c *cache) remove(b *block) {
	c.lru.Remove(b.element)
	delete(c.entries, b.hash)
}

// hashes returns the hashes of all cached blocks, in no particular order.
func (c *cache) hashes() []ident.BlockHash {
	hashes := make([]ident.BlockHash, 0, len(c.entries))
	for hash := range c.entries {
		hashes = append(hashes, hash)
	}
	return hashes
}
