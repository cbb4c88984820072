// Package kvdir maintains a directory of the prompt parts that the KV cache stores hold. It follows the stores' events, or
// relies on what peers that follow them report.
package kvdir

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/scope"
)

const (
	// longPollWait is how long a read waits for events, the longest that the store allows.
	longPollWait = time.Second
	// readInterval is the pause between reads, so that one read returns many events.
	readInterval = 150 * time.Millisecond
	// availabilityTimeout is how long the store counts as available after its last response: two long polls without events.
	availabilityTimeout = 2500 * time.Millisecond
	// maxRememberedParts is the number of parts, saved on request or added according to peers, above which expired ones are
	// removed.
	maxRememberedParts = 8192
	// maxAddedParts bounds the recently added parts that are kept for the heartbeats; further ones aren't reported.
	maxAddedParts = 512
	// retryInterval is the pause after a failed read, to which jitter of up to the same length is added.
	retryInterval = 500 * time.Millisecond
	// minHeldPermille is the share of a part's tokens, in thousandths, that the store must hold for a fetch to be worthwhile;
	// blockTokens allows for a last block that isn't full.
	minHeldPermille = 900
	permille        = 1000
	blockTokens     = 16
	// saveTime is how long a save is presumed to take and presumedRetention how long the store is presumed to keep a part. They
	// apply to daemons that don't follow the store.
	saveTime          = time.Second
	presumedRetention = 15 * time.Second
	// saveRequestInterval is the time within which an engine isn't asked again to save a part, as the event of the first save
	// may still be on its way.
	saveRequestInterval = 1500 * time.Millisecond
)

// partKey identifies a prompt part under a cache salt.
type partKey struct {
	salt, id string
}

// Store is the directory of one KV cache store. Its fields are set before Run.
type Store struct {
	Feed extern.CacheFeed
	// Address is the IP:PORT of the store, LinkMbps the bandwidth of its link in Mbit/s.
	Address       string
	LinkMbps      float64
	FailureDomain ident.FailureDomain
	// Follows reports whether this daemon reads the store's events. The store allows only a limited number of waiting reads,
	// so not all daemons do. The others learn from followers whether the store is reachable and which parts it has added, and
	// remember the saves that they requested themselves.
	Follows func() bool

	mu              sync.RWMutex
	held            map[partKey]ident.Tokens
	saveRequestedAt map[partKey]time.Time
	lastResponseAt  time.Time
	lastReadFailed  bool
	// unreadable says that the last response had entries that can't be read.
	unreadable   bool
	incarnation  ident.Incarnation
	nextSequence ident.Sequence
	// complete says that held matches the store: the whole list was read and no events have been lost since.
	complete bool
	// added are the parts that the store added recently, peerAdded those that peers reported as added, with the time of the
	// report.
	added     []addedPart
	peerAdded map[PartHash]time.Time
	// peerReachedAt is when a peer last reported that the store is reachable.
	peerReachedAt time.Time
}

// Run follows the store until ctx ends.
func (s *Store) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := readInterval
		if !s.Follows() {
			pause = retryInterval
			s.stopFollowing()
		} else if err := s.read(ctx); err != nil {
			pause = retryInterval + rand.N(retryInterval)
			s.recordFailure(err)
		}
		scope.Sleep(ctx, pause)
	}
}

func (s *Store) read(ctx context.Context) error {
	s.mu.Lock()
	since, complete := s.nextSequence, s.complete
	s.mu.Unlock()
	if !complete {
		all, err := s.Feed.Snapshot(ctx, s.Address)
		if err != nil {
			return err
		}
		s.replaceAll(all)
		return nil
	}
	changes, err := s.Feed.Changes(ctx, s.Address, since, longPollWait)
	if err != nil {
		return err
	}
	s.applyChanges(changes)
	return nil
}

// replaceAll replaces the directory by the store's whole list.
func (s *Store) replaceAll(all extern.CacheChanges) {
	s.mu.Lock()
	s.incarnation, s.complete = all.Incarnation, true
	s.held = map[partKey]ident.Tokens{}
	s.saveRequestedAt = map[partKey]time.Time{}
	s.mu.Unlock()
	s.applyChanges(all)
}

func (s *Store) applyChanges(c extern.CacheChanges) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastReadFailed || s.lastResponseAt.IsZero() {
		klog.InfoS("KV cache store reachable", "address", s.Address, "incarnation", c.Incarnation)
	}
	s.lastReadFailed, s.lastResponseAt = false, time.Now()
	if c.Incarnation != s.incarnation || c.EventsLost {
		// What the store holds is unknown until its list has been read again.
		klog.InfoS("KV cache store restarted or events lost, reading its list again", "lost", c.EventsLost,
			"incarnation", c.Incarnation, "before", s.incarnation)
		s.held = map[partKey]ident.Tokens{}
		s.saveRequestedAt = map[partKey]time.Time{}
		s.incarnation, s.complete = c.Incarnation, false
	}
	s.nextSequence = c.Next
	if c.Unreadable > 0 {
		metrics.GetOrCreateCounter("gooseberrywayUnreadableCacheEntries").Add(c.Unreadable)
	}
	if unreadable := c.Unreadable > 0; unreadable != s.unreadable {
		s.unreadable = unreadable
		klog.InfoS("Entries of a KV cache store can't be read and are left out", "address", s.Address, "entries", c.Unreadable)
	}
	for _, part := range c.Parts {
		k := partKey{part.Salt, part.ID}
		if part.Tokens > 0 {
			s.recordAdded(k)
			s.held[k] = part.Tokens
		} else {
			delete(s.held, k)
		}
		delete(s.saveRequestedAt, k)
	}
}

func (s *Store) recordFailure(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.lastReadFailed {
		klog.InfoS("KV cache store lost", "address", s.Address, "reason", err.Error())
	}
	s.lastReadFailed = true
}

// stopFollowing marks the directory as incomplete, so that the list is read again once the daemon follows the store again.
func (s *Store) stopFollowing() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.complete = false
}

// PartHash identifies a part under a salt in messages between daemons.
type PartHash uint64

func (k partKey) hash() PartHash { return PartHash(xxhash.Sum64String(k.salt + "\x00" + k.id)) }

// addedPart is a part that the store has added.
type addedPart struct {
	hash PartHash
	at   time.Time
}

// recordAdded records a part that the store has added, to be reported to peers that don't follow the store.
func (s *Store) recordAdded(k partKey) {
	if _, ok := s.held[k]; !ok && len(s.added) < maxAddedParts {
		s.added = append(s.added, addedPart{k.hash(), time.Now()})
	}
}

// AddedWithin returns the parts that the store added within the given time and drops older ones.
func (s *Store) AddedWithin(within time.Duration) []PartHash {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.added = slices.DeleteFunc(s.added, func(p addedPart) bool { return now.Sub(p.at) > within })
	out := make([]PartHash, 0, len(s.added))
	for _, p := range s.added {
		out = append(out, p.hash)
	}
	return out
}

// AddFromPeer records parts that the store has added according to a peer. It has no effect while this daemon's own directory
// is complete.
func (s *Store) AddFromPeer(hashes []PartHash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.complete || len(hashes) == 0 {
		return
	}
	now := time.Now()
	if s.peerAdded == nil {
		s.peerAdded = map[PartHash]time.Time{}
	}
	if len(s.peerAdded) > maxRememberedParts {
		maps.DeleteFunc(s.peerAdded, func(_ PartHash, at time.Time) bool { return now.Sub(at) > presumedRetention })
	}
	for _, h := range hashes {
		s.peerAdded[h] = now
	}
}

// MarkReachedByPeer records that a peer can reach the store.
func (s *Store) MarkReachedByPeer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peerReachedAt = time.Now()
}

// Reachable reports whether the store responds to this daemon's own reads.
func (s *Store) Reachable() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.reachable()
}

// Available reports whether the store is reachable for this daemon or, if this daemon's directory isn't complete, for a peer.
func (s *Store) Available() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.reachable() || !s.complete && !s.peerReachedAt.IsZero() && time.Since(s.peerReachedAt) < availabilityTimeout
}

func (s *Store) reachable() bool {
	return !s.lastReadFailed && !s.lastResponseAt.IsZero() && time.Since(s.lastResponseAt) < availabilityTimeout
}

// Holds reports whether the store holds nearly all tokens of the part under the salt. If the directory isn't complete it
// reports whether the part is presumed to be there, from reports of peers and save requests of this daemon.
func (s *Store) Holds(salt, part string, tokens ident.Tokens) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if !s.complete {
		k := partKey{salt, part}
		if at, ok := s.peerAdded[k.hash()]; ok && time.Since(at) < presumedRetention {
			return true
		}
		at, ok := s.saveRequestedAt[k]
		return ok && time.Since(at) > saveTime && time.Since(at) < presumedRetention
	}
	held, ok := s.held[partKey{salt, part}]
	return ok && held > 0 && held >= tokens*minHeldPermille/permille-blockTokens
}

// MarkSaveRequested records that an engine is asked to save a part. It returns false, and the engine must not be asked, if
// that was requested within saveRequestInterval already.
func (s *Store) MarkSaveRequested(salt, part string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	k, now := partKey{salt, part}, time.Now()
	if at, ok := s.saveRequestedAt[k]; ok && now.Sub(at) < saveRequestInterval {
		return false
	}
	if len(s.saveRequestedAt) > maxRememberedParts {
		maps.DeleteFunc(s.saveRequestedAt, func(_ partKey, at time.Time) bool { return now.Sub(at) > presumedRetention })
	}
	if s.saveRequestedAt == nil {
		s.saveRequestedAt = map[partKey]time.Time{}
	}
	s.saveRequestedAt[k] = now
	return true
}
