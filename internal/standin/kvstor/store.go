// Package kvstor is a stand-in for the KV cache store, to which engines export KV cache blocks and from which they import
// blocks that other engines computed. It stores only the hashes of blocks, evicts the least recently used ones, and
// publishes cache events like an engine. Store runs in the process or as an HTTP server; Remote is its HTTP client.
package kvstor

import (
	"container/list"
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/standin/events"
	"github.com/gooseberryway/gooseberryway/internal/standin/httpd"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Store is the stand-in. It implements engine.BlockStore of the stand-in engine. Set the exported fields before use.
type Store struct {
	httpd.Base
	// Blocks is the capacity in blocks; 0 selects 4096. Beyond it, the least recently used blocks are evicted.
	Blocks int
	// EventLag is the delay between a cache event and its delivery.
	EventLag time.Duration
	// EventGaps is the share of cache events, 0 to 1, that are lost.
	EventGaps float64

	once   sync.Once
	mu     sync.Mutex
	blocks map[ident.BlockHash]*list.Element
	lru    list.List
	feed   events.Feed
	stats  Stats
}

// Stats are the store's counters since its creation.
type Stats struct {
	// Exported counts blocks added that were not in the store, Evicted those evicted.
	Exported int `json:"exported"`
	Evicted  int `json:"evicted"`
	// Lookups counts lookup requests, Found the leading blocks that they found in the store.
	Lookups int `json:"lookups"`
	Found   int `json:"found"`
}

// Chain is the body of export and lookup requests.
type Chain struct {
	Blocks []ident.BlockHash `json:"blocks"`
}

// LookupResponse is the response to a lookup: the number of leading blocks that the store has.
type LookupResponse struct {
	CachedBlocks int `json:"held"`
}

func (s *Store) init() {
	s.once.Do(func() {
		s.blocks = map[ident.BlockHash]*list.Element{}
		s.feed.Lag, s.feed.LossRate, s.feed.CachedBlocks = s.EventLag, s.EventGaps, s.hashes
		s.feed.Reset(1)
	})
}

// LookupPrefix returns the number of leading blocks of the chain that the store has; 0 during an outage.
func (s *Store) LookupPrefix(_ context.Context, chain []ident.BlockHash) int {
	s.init()
	if s.Outage() {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Lookups++
	n := 0
	for n < len(chain) && s.blocks[chain[n]] != nil {
		s.lru.MoveToFront(s.blocks[chain[n]])
		n++
	}
	s.stats.Found += n
	return n
}

// Export adds blocks, marks those already in the store as used, and evicts blocks beyond the capacity. It does nothing
// during an outage.
func (s *Store) Export(_ context.Context, blocks []ident.BlockHash) {
	s.init()
	if s.Outage() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var added, removed []ident.BlockHash
	for _, hash := range blocks {
		if element := s.blocks[hash]; element != nil {
			s.lru.MoveToFront(element)
			continue
		}
		s.blocks[hash] = s.lru.PushFront(hash)
		added = append(added, hash)
	}
	for len(s.blocks) > s.capacity() {
		removed = append(removed, s.evictOldest())
	}
	s.stats.Exported += len(added)
	s.stats.Evicted += len(removed)
	s.feed.Publish(added, removed)
}

// Stats returns a copy of the counters.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Start listens on Address and serves until Close.
func (s *Store) Start(ctx context.Context) error { return s.Listen(ctx, s.Handler()) }

// Handler serves POST /v1/blocks, POST /v1/blocks/lookup, GET /v1/events, /standin/stats and /standin/control.
func (s *Store) Handler() http.Handler {
	s.init()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/blocks", httpd.Decode(func(c Chain) { s.Export(context.Background(), c.Blocks) }))
	mux.HandleFunc("POST /v1/blocks/lookup", s.serveLookup)
	mux.Handle("GET /v1/events", &s.feed)
	mux.HandleFunc("GET /standin/stats", func(w http.ResponseWriter, _ *http.Request) {
		httpd.WriteJSON(w, http.StatusOK, s.Stats())
	})
	mux.HandleFunc("POST /standin/control", httpd.Decode(func(c Control) { s.SetOutage(c.Outage) }))
	return mux
}

// Control is the body of POST /standin/control. It starts or ends an outage.
type Control struct {
	Outage bool `json:"outage"`
}

func (s *Store) serveLookup(w http.ResponseWriter, r *http.Request) {
	var chain Chain
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&chain); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	httpd.WriteJSON(w, http.StatusOK, LookupResponse{CachedBlocks: s.LookupPrefix(r.Context(), chain.Blocks)})
}

func (s *Store) capacity() int {
	if s.Blocks > 0 {
		return s.Blocks
	}
	return defaultCapacityBlocks
}

func (s *Store) evictOldest() ident.BlockHash {
	hash, _ := s.lru.Remove(s.lru.Back()).(ident.BlockHash)
	delete(s.blocks, hash)
	return hash
}

// hashes returns the hashes of all blocks, in no particular order.
func (s *Store) hashes() []ident.BlockHash {
	s.mu.Lock()
	defer s.mu.Unlock()
	hashes := make([]ident.BlockHash, 0, len(s.blocks))
	for hash := range s.blocks {
		hashes = append(hashes, hash)
	}
	return hashes
}
