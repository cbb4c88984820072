package kvdir

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// fakeStores are stores of which those in down fail all calls.
type fakeStores struct {
	mu   sync.Mutex
	down map[string]bool
}

func (s *fakeStores) respond(address string) (extern.CacheChanges, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down[address] {
		return extern.CacheChanges{}, errors.New("refused")
	}
	return extern.CacheChanges{Incarnation: 1}, nil
}

func (s *fakeStores) Snapshot(_ context.Context, address string) (extern.CacheChanges, error) {
	return s.respond(address)
}

func (s *fakeStores) Changes(_ context.Context, address string, _ ident.Sequence, wait time.Duration) (extern.CacheChanges, error) {
	time.Sleep(wait)
	return s.respond(address)
}

func configWithStores(version int64, addresses ...string) *view.Config {
	c := &view.Config{Version: version, Services: map[view.ServiceID]*view.Service{"engines": {ID: "engines"}}}
	for _, a := range addresses {
		c.Services[view.ServiceID(a)] = &view.Service{ID: view.ServiceID(a), Store: &view.Store{Address: a}}
	}
	return c
}

// If chains of available stores moved when another store fails, engines would miss parts that are still stored.
func TestStoreForDistributesChainsOverAvailableStores(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := &fakeStores{down: map[string]bool{}}
		snapshots := &view.Snapshots{}
		s := &Stores{Feed: feed, Snapshots: snapshots, Follows: func() bool { return true }}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); s.Run(ctx) }()
		defer func() { cancel(); <-done }()

		assignments := func() map[string]string {
			out := map[string]string{}
			for i := range 300 {
				chain := fmt.Sprint(i)
				if store := s.StoreFor(chain, nil); store != nil {
					out[chain] = store.Address
				}
			}
			return out
		}
		count := func(assignments map[string]string) map[string]int {
			out := map[string]int{}
			for _, address := range assignments {
				out[address]++
			}
			return out
		}
		require.Empty(t, assignments(), "no configuration yet")
		snapshots.SetConfig(configWithStores(1, "a", "b", "c"))
		time.Sleep(time.Second)
		before := assignments()
		for _, address := range []string{"a", "b", "c"} {
			require.InDelta(t, 100, count(before)[address], 35)
		}

		feed.mu.Lock()
		feed.down["b"] = true
		feed.mu.Unlock()
		time.Sleep(4 * time.Second)
		for chain, address := range assignments() {
			require.NotEqual(t, "b", address)
			if before[chain] != "b" {
				require.Equal(t, before[chain], address, "only the chains of the failed store move")
			}
		}
		snapshots.SetConfig(configWithStores(2, "a"))
		time.Sleep(time.Second)
		require.Equal(t, map[string]int{"a": 300}, count(assignments()))
		require.Equal(t, 1, s.Count())
		require.Equal(t, []string{"a"}, s.ReachableAddresses())
	})
}
