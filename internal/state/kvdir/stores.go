package kvdir

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/scope"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// configPeriod is how often the configuration is looked at for other stores.
const configPeriod = 100 * time.Millisecond

// Stores are all KV cache stores of the configuration. Each chain of prompt parts has its home among them, so that their
// memory adds up. The fields are set before Run.
type Stores struct {
	Feed      extern.CacheFeed
	Snapshots *view.Snapshots
	// Follows reports whether this daemon reads the stores' events.
	Follows func() bool

	mu   sync.RWMutex
	list []*followed
}

// followed is a store with what ends its follower.
type followed struct {
	*Store
	end  context.CancelFunc
	done chan struct{}
}

// Run follows the stores that the configuration names until ctx ends.
func (s *Stores) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if c := s.Snapshots.Config(); c != nil {
			s.follow(ctx, c.CacheStores())
		}
		scope.Sleep(ctx, configPeriod)
	}
	s.follow(ctx, nil)
}

// follow starts and ends followers, so that there is one for each store.
func (s *Stores) follow(ctx context.Context, stores []*view.Store) {
	var list, gone []*followed
	s.mu.Lock()
	for _, store := range stores {
		at := slices.IndexFunc(s.list, func(f *followed) bool { return f.Address == store.Address })
		if at >= 0 {
			list = append(list, s.list[at])
			continue
		}
		list = append(list, s.start(ctx, store))
	}
	for _, f := range s.list {
		if !slices.Contains(list, f) {
			gone = append(gone, f)
		}
	}
	s.list = list
	s.mu.Unlock()
	for _, f := range gone {
		f.end()
		<-f.done
	}
}

func (s *Stores) start(ctx context.Context, store *view.Store) *followed {
	ctx, end := context.WithCancel(ctx)
	f := &followed{
		Store: &Store{
			Feed: s.Feed, Address: store.Address, LinkMbps: store.LinkMbps, Domain: store.FailureDomain, Follows: s.Follows,
		},
		end:  end,
		done: make(chan struct{}),
	}
	go func() {
		defer close(f.done)
		f.Run(ctx)
	}()
	return f
}

// For returns the store that answers and keeps a chain: the first by rendezvous hash. It returns nil if there is none.
func (s *Stores) For(chain string) *Store {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var home *Store
	var highest uint64
	for _, f := range s.list {
		score := xxhash.Sum64String(f.Address + "\x00" + chain)
		if (home == nil || score > highest) && f.Available() {
			home, highest = f.Store, score
		}
	}
	return home
}

// Count returns the number of stores, those that don't answer included.
func (s *Stores) Count() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return len(s.list)
}

// ReachableAddresses returns the addresses of the stores that answer this daemon itself.
func (s *Stores) ReachableAddresses() []string {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var out []string
	for _, f := range s.list {
		if f.Reachable() {
			out = append(out, f.Address)
		}
	}
	return out
}

// MarkReachedByPeer takes the addresses of the stores that answer another daemon.
func (s *Stores) MarkReachedByPeer(addresses []string) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, f := range s.list {
		if slices.Contains(addresses, f.Address) {
			f.MarkReachedByPeer()
		}
	}
}

// AddedWithin returns the parts that the stores got within the time.
func (s *Stores) AddedWithin(within time.Duration) []PartHash {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var out []PartHash
	for _, f := range s.list {
		out = append(out, f.AddedWithin(within)...)
	}
	return out
}

// AddFromPeer takes parts that the stores have got, from a daemon that follows them.
func (s *Stores) AddFromPeer(hashes []PartHash) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, f := range s.list {
		f.AddFromPeer(hashes)
	}
}
