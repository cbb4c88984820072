// Package kvdir follows what the KV cache stores keep.
package kvdir

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/scope"
)

const (
	// feedWait is how long the store holds a read without news, the longest that it allows.
	feedWait = time.Second
	// gatherFor spaces reads, so that many events come in one.
	gatherFor = 150 * time.Millisecond
	// availableFor is how long after its last answer the store counts as available: two reads without news.
	availableFor = 2500 * time.Millisecond
	// maxRequested bounds the parts that are remembered as saved.
	maxRequested = 8192
	// maxFresh bounds the parts that are told in one beat.
	maxFresh = 512
	// retryPause is the pause after a failed read, to which up to as much is added.
	retryPause = 500 * time.Millisecond
	// heldShare, in thousandths, of a part makes it worth a fetch; blockTokens allows for a last block that isn't full.
	heldShare   = 900
	permille    = 1000
	blockTokens = 16
	// savedIn is how long a save takes, savedFor how long a part that is used stays in the store.
	savedIn  = time.Second
	savedFor = 15 * time.Second
	// requestedFor is how long a part that was sent for keeping counts as kept until its event comes.
	requestedFor = 1500 * time.Millisecond
)

type key struct {
	salt, id string
}

// Store is what one store keeps. Its fields are set before Run.
type Store struct {
	Feed extern.CacheFeed
	// Address is the IP:PORT of the store, LinkMbps the speed of its link in Mbit/s and Domain where it stands.
	Address  string
	LinkMbps float64
	Domain   ident.FailureDomain
	// Follows reports whether this daemon reads the store's events: the store holds only so many reads at once. The
	// others hear from those who do whether the store answers, and know only what they had saved themselves.
	Follows func() bool

	mu          sync.RWMutex
	held        map[key]ident.Tokens
	requested   map[key]time.Time
	answeredAt  time.Time
	failed      bool
	incarnation ident.Incarnation
	next        ident.Sequence
	// listed is true once the whole list was read, until events are missing.
	listed bool
	// fresh are parts that the store got lately, heard those that others told of.
	fresh []news
	heard map[PartHash]time.Time
	// peerAt is when another daemon last said that the store answers it.
	peerAt time.Time
}

// Run follows the store until ctx ends.
func (p *Store) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := gatherFor
		if !p.Follows() {
			pause = retryPause
			p.stopFollowing()
		} else if err := p.step(ctx); err != nil {
			pause = retryPause + rand.N(retryPause)
			p.lost(err)
		}
		scope.Sleep(ctx, pause)
	}
}

func (p *Store) step(ctx context.Context) error {
	p.mu.Lock()
	since, listed := p.next, p.listed
	p.mu.Unlock()
	if !listed {
		all, err := p.Feed.Snapshot(ctx, p.Address)
		if err != nil {
			return err
		}
		p.replace(all)
		return nil
	}
	changes, err := p.Feed.Changes(ctx, p.Address, since, feedWait)
	if err != nil {
		return err
	}
	p.apply(changes)
	return nil
}

// replace takes the whole list.
func (p *Store) replace(all extern.CacheChanges) {
	p.mu.Lock()
	p.incarnation, p.listed = all.Incarnation, true
	p.held = map[key]ident.Tokens{}
	p.requested = map[key]time.Time{}
	p.mu.Unlock()
	p.apply(all)
}

func (p *Store) apply(c extern.CacheChanges) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failed || p.answeredAt.IsZero() {
		klog.InfoS("KV cache store regained", "address", p.Address, "incarnation", c.Incarnation)
	}
	p.failed, p.answeredAt = false, time.Now()
	if c.Incarnation != p.incarnation || c.EventsLost {
		// What is kept is known only after the next list.
		klog.InfoS("KV cache store's events have a gap", "lost", c.EventsLost, "incarnation", c.Incarnation, "before", p.incarnation)
		p.held = map[key]ident.Tokens{}
		p.requested = map[key]time.Time{}
		p.incarnation, p.listed = c.Incarnation, false
	}
	p.next = c.Next
	for _, part := range c.Parts {
		k := key{part.Salt, part.ID}
		if part.Tokens > 0 {
			p.tell(k)
			p.held[k] = part.Tokens
		} else {
			delete(p.held, k)
		}
		delete(p.requested, k)
	}
}

func (p *Store) lost(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.failed {
		klog.InfoS("KV cache store lost", "address", p.Address, "reason", err.Error())
	}
	p.failed = true
}

// stopFollowing forgets the list, which is read again when the daemon follows the store once more.
func (p *Store) stopFollowing() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listed = false
}

// PartHash names a part under a salt between daemons.
type PartHash uint64

func (k key) hash() PartHash { return PartHash(xxhash.Sum64String(k.salt + "\x00" + k.id)) }

// news is a part that the store has got.
type news struct {
	hash PartHash
	at   time.Time
}

// tell keeps a part that the store has got for those who don't follow it.
func (p *Store) tell(k key) {
	if _, ok := p.held[k]; !ok && len(p.fresh) < maxFresh {
		p.fresh = append(p.fresh, news{k.hash(), time.Now()})
	}
}

// AddedWithin returns the parts that the store got within the time.
func (p *Store) AddedWithin(within time.Duration) []PartHash {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.fresh = slices.DeleteFunc(p.fresh, func(n news) bool { return now.Sub(n.at) > within })
	out := make([]PartHash, 0, len(p.fresh))
	for _, n := range p.fresh {
		out = append(out, n.hash)
	}
	return out
}

// AddFromPeer takes parts that the store has got, from a daemon that follows it.
func (p *Store) AddFromPeer(hashes []PartHash) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listed || len(hashes) == 0 {
		return
	}
	now := time.Now()
	if p.heard == nil {
		p.heard = map[PartHash]time.Time{}
	}
	if len(p.heard) > maxRequested {
		maps.DeleteFunc(p.heard, func(_ PartHash, at time.Time) bool { return now.Sub(at) > savedFor })
	}
	for _, h := range hashes {
		p.heard[h] = now
	}
}

// MarkReachedByPeer notes that the store answers another daemon.
func (p *Store) MarkReachedByPeer() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peerAt = time.Now()
}

// Reachable reports whether the store answers this daemon itself.
func (p *Store) Reachable() bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.reached()
}

// Available reports whether the store answers.
func (p *Store) Available() bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.reached() || !p.listed && !p.peerAt.IsZero() && time.Since(p.peerAt) < availableFor
}

func (p *Store) reached() bool {
	return !p.failed && !p.answeredAt.IsZero() && time.Since(p.answeredAt) < availableFor
}

// Holds reports whether the store holds nearly all tokens of the part under the salt.
func (p *Store) Holds(salt, part string, tokens ident.Tokens) bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	if !p.listed {
		k := key{salt, part}
		if at, ok := p.heard[k.hash()]; ok && time.Since(at) < savedFor {
			return true
		}
		at, ok := p.requested[k]
		return ok && time.Since(at) > savedIn && time.Since(at) < savedFor
	}
	held, ok := p.held[key{salt, part}]
	return ok && held > 0 && held >= tokens*heldShare/permille-blockTokens
}

// MarkSaveRequested notes that an engine was asked to save a part, and reports false if one was asked just before.
func (p *Store) MarkSaveRequested(salt, part string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	k, now := key{salt, part}, time.Now()
	if at, ok := p.requested[k]; ok && now.Sub(at) < requestedFor {
		return false
	}
	if len(p.requested) > maxRequested {
		maps.DeleteFunc(p.requested, func(_ key, at time.Time) bool { return now.Sub(at) > savedFor })
	}
	if p.requested == nil {
		p.requested = map[key]time.Time{}
	}
	p.requested[k] = now
	return true
}
