package kvdir

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/scope"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// configCheckInterval is how often the configuration is checked for added and removed stores.
const configCheckInterval = 100 * time.Millisecond

// Stores are the directories of all KV cache stores of the configuration. Each prefix chain is assigned to one store by
// rendezvous hashing, so that the capacities of the stores add up. The fields are set before Run.
type Stores struct {
	Feed      extern.CacheFeed
	Snapshots *view.Snapshots
	// Follows reports whether this daemon reads the stores' events.
	Follows func() bool

	mu        sync.RWMutex
	followers []*storeFollower
}

// storeFollower is a store's directory with the means to stop the goroutine that runs it.
type storeFollower struct {
	*Store
	cancel context.CancelFunc
	done   chan struct{}
}

// Run follows the stores that the configuration names until ctx ends.
func (s *Stores) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if c := s.Snapshots.Config(); c != nil {
			s.updateFollowers(ctx, c.CacheStores())
		}
		scope.Sleep(ctx, configCheckInterval)
	}
	s.updateFollowers(ctx, nil)
}

// updateFollowers starts and stops followers, so that there is exactly one for each of the stores.
func (s *Stores) updateFollowers(ctx context.Context, stores []*view.Store) {
	var followers, removed []*storeFollower
	s.mu.Lock()
	for _, store := range stores {
		i := slices.IndexFunc(s.followers, func(f *storeFollower) bool { return f.Address == store.Address })
		if i >= 0 {
			followers = append(followers, s.followers[i])
			continue
		}
		followers = append(followers, s.startFollower(ctx, store))
	}
	for _, f := range s.followers {
		if !slices.Contains(followers, f) {
			removed = append(removed, f)
		}
	}
	s.followers = followers
	s.mu.Unlock()
	for _, f := range removed {
		f.cancel()
		<-f.done
	}
}

func (s *Stores) startFollower(ctx context.Context, store *view.Store) *storeFollower {
	ctx, cancel := context.WithCancel(ctx)
	f := &storeFollower{
		Store: &Store{
			Feed: s.Feed, Address: store.Address, LinkMbps: store.LinkMbps, FailureDomain: store.FailureDomain, Follows: s.Follows,
		},
		cancel: cancel,
		done:   make(chan struct{}),
	}
	go func() {
		defer close(f.done)
		f.Run(ctx)
	}()
	return f
}

// StoreFor returns the store of a prefix chain: the available store with the highest rendezvous score among those in the allowed failure
// domains; all are if allowed is nil. It returns nil if no such store is available.
func (s *Stores) StoreFor(chain string, allowed func(ident.FailureDomain) bool) *Store {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var best *Store
	var highestScore uint64
	for _, f := range s.followers {
		if allowed != nil && !allowed(f.FailureDomain) {
			continue
		}
		score := xxhash.Sum64String(f.Address + "\x00" + chain)
		if (best == nil || score > highestScore) && f.Available() {
			best, highestScore = f.Store, score
		}
	}
	return best
}

// Count returns the number of stores, unavailable ones included.
func (s *Stores) Count() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return len(s.followers)
}

// ReachableAddresses returns the addresses of the stores that respond to this daemon's own reads.
func (s *Stores) ReachableAddresses() []string {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var out []string
	for _, f := range s.followers {
		if f.Reachable() {
			out = append(out, f.Address)
		}
	}
	return out
}

// MarkReachedByPeer records the addresses of the stores that a peer can reach.
func (s *Stores) MarkReachedByPeer(addresses []string) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, f := range s.followers {
		if slices.Contains(addresses, f.Address) {
			f.MarkReachedByPeer()
		}
	}
}

// AddedWithin returns the parts that the stores added within the given time.
func (s *Stores) AddedWithin(within time.Duration) []PartHash {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var out []PartHash
	for _, f := range s.followers {
		out = append(out, f.AddedWithin(within)...)
	}
	return out
}

// AddFromPeer records parts that some store has added according to a peer. As the peer doesn't say which, they count for
// every store.
func (s *Stores) AddFromPeer(hashes []PartHash) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, f := range s.followers {
		f.AddFromPeer(hashes)
	}
}
