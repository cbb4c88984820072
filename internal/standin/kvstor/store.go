// Package kvstor is a stand-in for the KV cache store, from which engines import blocks that others have computed.
// It knows blocks by their hashes only and publishes cache events as an engine does.
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

// Store is the stand-in. It implements the block store of the stand-in engine.
type Store struct {
	httpd.Base
	// Blocks is the size of the store; 0 is 4096. The least recently used blocks go first.
	Blocks int
	// EventLag is the age of cache events when they are delivered.
	EventLag time.Duration
	// EventGaps is the share of cache events that are lost.
	EventGaps float64

	once  sync.Once
	mu    sync.Mutex
	held  map[ident.BlockHash]*list.Element
	order list.List
	feed  events.Feed
	stats Stats
}

// Stats counts blocks.
type Stats struct {
	Exported int `json:"exported"`
	Evicted  int `json:"evicted"`
	Lookups  int `json:"lookups"`
	Found    int `json:"found"`
}

// Chain is the body of requests that name blocks.
type Chain struct {
	Blocks []ident.BlockHash `json:"blocks"`
}

// LookupResponse answers a lookup with the number of leading blocks held.
type LookupResponse struct {
	CachedBlocks int `json:"held"`
}

func (s *Store) init() {
	s.once.Do(func() {
		s.held = map[ident.BlockHash]*list.Element{}
		s.feed.Lag, s.feed.LossRate, s.feed.CachedBlocks = s.EventLag, s.EventGaps, s.all
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
	for n < len(chain) && s.held[chain[n]] != nil {
		s.order.MoveToFront(s.held[chain[n]])
		n++
	}
	s.stats.Found += n
	return n
}

// Export adds blocks.
func (s *Store) Export(_ context.Context, blocks []ident.BlockHash) {
	s.init()
	if s.Outage() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var added, removed []ident.BlockHash
	for _, hash := range blocks {
		if place := s.held[hash]; place != nil {
			s.order.MoveToFront(place)
			continue
		}
		s.held[hash] = s.order.PushFront(hash)
		added = append(added, hash)
	}
	for len(s.held) > s.capacity() {
		removed = append(removed, s.dropOldest())
	}
	s.stats.Exported += len(added)
	s.stats.Evicted += len(removed)
	s.feed.Publish(added, removed)
}

// Stats returns the counters.
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

// Control is the body of POST /standin/control.
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
	return defaultBlocks
}

func (s *Store) dropOldest() ident.BlockHash {
	hash, _ := s.order.Remove(s.order.Back()).(ident.BlockHash)
	delete(s.held, hash)
	return hash
}

func (s *Store) all() []ident.BlockHash {
	s.mu.Lock()
	defer s.mu.Unlock()
	hashes := make([]ident.BlockHash, 0, len(s.held))
	for hash := range s.held {
		hashes = append(hashes, hash)
	}
	return hashes
}
