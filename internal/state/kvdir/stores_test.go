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

// several are stores of which some don't answer.
type several struct {
	mu   sync.Mutex
	down map[string]bool
}

func (s *several) answer(address string) (extern.CacheChanges, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down[address] {
		return extern.CacheChanges{}, errors.New("refused")
	}
	return extern.CacheChanges{Incarnation: 1}, nil
}

func (s *several) Snapshot(_ context.Context, address string) (extern.CacheChanges, error) {
	return s.answer(address)
}

func (s *several) Changes(_ context.Context, address string, _ ident.Sequence, wait time.Duration) (extern.CacheChanges, error) {
	time.Sleep(wait)
	return s.answer(address)
}

func named(version int64, addresses ...string) *view.Config {
	c := &view.Config{Version: version, Services: map[view.ServiceID]*view.Service{"engines": {ID: "engines"}}}
	for _, a := range addresses {
		c.Services[view.ServiceID(a)] = &view.Service{ID: view.ServiceID(a), Store: &view.Store{Address: a}}
	}
	return c
}

func TestChainsAreSpreadOverTheStoresThatAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := &several{down: map[string]bool{}}
		board := &view.Snapshots{}
		s := &Stores{Feed: feed, Snapshots: board, Follows: func() bool { return true }}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); s.Run(ctx) }()
		defer func() { cancel(); <-done }()

		homes := func() map[string]string {
			out := map[string]string{}
			for i := range 300 {
				chain := fmt.Sprint(i)
				if p := s.For(chain); p != nil {
					out[chain] = p.Address
				}
			}
			return out
		}
		count := func(homes map[string]string) map[string]int {
			out := map[string]int{}
			for _, address := range homes {
				out[address]++
			}
			return out
		}
		require.Empty(t, homes(), "no configuration is known")
		board.SetConfig(named(1, "a", "b", "c"))
		time.Sleep(time.Second)
		before := homes()
		for _, address := range []string{"a", "b", "c"} {
			require.InDelta(t, 100, count(before)[address], 35)
		}

		feed.mu.Lock()
		feed.down["b"] = true
		feed.mu.Unlock()
		time.Sleep(4 * time.Second)
		for chain, address := range homes() {
			require.NotEqual(t, "b", address)
			if before[chain] != "b" {
				require.Equal(t, before[chain], address, "only the chains of the lost store move")
			}
		}
		board.SetConfig(named(2, "a"))
		time.Sleep(time.Second)
		require.Equal(t, map[string]int{"a": 300}, count(homes()))
		require.Equal(t, 1, s.Count())
		require.Equal(t, []string{"a"}, s.ReachableAddresses())
	})
}
