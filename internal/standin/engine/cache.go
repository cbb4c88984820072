package engine

import (
	"container/list"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// cache is a prefix cache of limited size. The least recently used blocks that no running request needs go first.
type cache struct {
	capacity int
	entries  map[ident.BlockHash]*block
	// order has the most recently used block in front.
	order list.List
}

// block is a cached block of tokens.
type block struct {
	hash         ident.BlockHash
	organisation ident.OrganisationID
	version      ident.VersionID
	used         time.Time
	pins         int
	place        *list.Element
}

func newCache(capacity int) *cache {
	return &cache{capacity: capacity, entries: map[ident.BlockHash]*block{}}
}

// held returns the number of leading blocks of the chain that are cached.
func (c *cache) held(chain []ident.BlockHash) int {
	for i, hash := range chain {
		if c.entries[hash] == nil {
			return i
		}
	}
	return len(chain)
}

// pin keeps a block from being evicted and marks it as used.
func (c *cache) pin(hash ident.BlockHash, now time.Time) *block {
	b := c.entries[hash]
	b.pins++
	b.used = now
	c.order.MoveToFront(b.place)
	return b
}

func (c *cache) unpin(b *block) { b.pins-- }

// add inserts a block, pinned once.
func (c *cache) add(hash ident.BlockHash, organisation ident.OrganisationID, version ident.VersionID, now time.Time) *block {
	b := &block{hash: hash, organisation: organisation, version: version, used: now, pins: 1}
	b.place = c.order.PushFront(b)
	c.entries[hash] = b
	return b
}

// evict drops blocks beyond the capacity and those that were last used before the given time, and returns them.
func (c *cache) evict(idleSince time.Time) []ident.BlockHash {
	var gone []ident.BlockHash
	for place := c.order.Back(); place != nil; {
		previous := place.Prev()
		b, ok := place.Value.(*block)
		if !ok || (len(c.entries) <= c.capacity && !b.used.Before(idleSince)) {
			break
		}
		if b.pins == 0 {
			c.remove(b)
			gone = append(gone, b.hash)
		}
		place = previous
	}
	return gone
}

// dropVersion removes the blocks of a version, pinned or not, and returns them.
func (c *cache) dropVersion(version ident.VersionID) []ident.BlockHash {
	var gone []ident.BlockHash
	for hash, b := range c.entries {
		if b.version == version {
			c.remove(b)
			gone = append(gone, hash)
		}
	}
	return gone
}

func (c *cache) remove(b *block) {
	c.order.Remove(b.place)
	delete(c.entries, b.hash)
}

func (c *cache) all() []ident.BlockHash {
	hashes := make([]ident.BlockHash, 0, len(c.entries))
	for hash := range c.entries {
		hashes = append(hashes, hash)
	}
	return hashes
}
