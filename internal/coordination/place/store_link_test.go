package place

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/kvdir"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// singleStore is a KV cache store that is responsible for all chains.
type singleStore struct{ store *kvdir.Store }

func (s *singleStore) StoreFor(string, func(ident.FailureDomain) bool) *kvdir.Store { return s.store }

func (s *singleStore) Count() int { return 1 }

// newPlacerWithStore returns a placer with one store, which holds all chains and has a link that moves
// linkTokensPerMs tokens per millisecond.
func newPlacerWithStore(linkTokensPerMs float64) *Placer {
	const tokenBytes = 35_000
	mbps := linkTokensPerMs * tokenBytes * 8 / 1000
	p := newTestPlacer()
	p.Snapshots.SetConfig(&view.Config{Version: 1, Services: map[view.ServiceID]*view.Service{"llm": {
		ID: "llm", Engine: &view.Engine{Slots: 64, TokenBytes: tokenBytes, LinkMbps: 10 * mbps, Models: []ident.ModelID{"m"}},
	}}})
	store := &kvdir.Store{Address: "10.9.0.1:1", LinkMbps: mbps}
	for chain := range chainCount {
		for _, part := range requestFor(chain).Parts[:2] {
			store.MarkSaveRequested(CacheSalt(1, view.CacheScope{}), part.ID)
		}
	}
	// The store needs up to a second to save what was sent to it.
	time.Sleep(1100 * time.Millisecond)
	store.MarkReachedByPeer()
	p.Stores = &singleStore{store}
	// All engines have just changed their weights, so that none is assumed to have anything cached.
	for i := range engineCount {
		p.upstreamState(engineAt(i)).weightsChangedAt = time.Now()
	}
	return p
}

// Guards against a queue at the store's link that lasts longer than a burst of requests: with fetches for more chains
// than the link moves, fetches waited for up to 2 s, and engines evicted blocks meanwhile that they had to fetch
// again.
func TestStoreLinkQueueIsBounded(t *testing.T) {
	const linkTokensPerMs = 120.0
	for name, perSecond := range map[string]int{"calm": 10, "burst": 120, "flood": 400} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPlacerWithStore(linkTokensPerMs)
				linkFreeAt := time.Now()
				var longestWait time.Duration
				fetches, prefills := 0, 0
				var lastWaits time.Duration
				lastFetches := 0
				for i := range 3 * perSecond {
					time.Sleep(time.Second / time.Duration(perSecond))
					// What ends at this moment has ended before the next request is placed.
					synctest.Wait()
					w := requestFor(i % chainCount)
					w.Parts[1].ID = fmt.Sprint("chain", i%chainCount)
					c, err := p.Choose(w)
					require.NoError(t, err)
					c.Wait = WaitEstimate{Total: 100 * time.Millisecond}
					tracker := p.Begin(c, w)
					now := time.Now()
					if c.Fetch != FetchFromStore || c.MissedTokens == 0 {
						if c.Locality == CachedStoreBusy {
							prefills++
						}
						time.AfterFunc(100*time.Millisecond, func() { tracker.MarkFirstEvent(); tracker.End(OutcomeSucceeded) })
						continue
					}
					fetches++
					if linkFreeAt.Before(now) {
						linkFreeAt = now
					}
					linkFreeAt = linkFreeAt.Add(time.Duration(float64(c.MissedTokens) / linkTokensPerMs * float64(time.Millisecond)))
					longestWait = max(longestWait, linkFreeAt.Sub(now))
					if i > 2*perSecond {
						lastWaits += linkFreeAt.Sub(now)
						lastFetches++
					}
					time.AfterFunc(linkFreeAt.Sub(now)+100*time.Millisecond, func() { tracker.MarkFirstEvent(); tracker.End(OutcomeSucceeded) })
				}
				time.Sleep(5 * time.Second)
				t.Logf("fetched %d, computed %d, longest wait for the link %v, mean of the last second %v",
					fetches, prefills, longestWait, lastWaits/time.Duration(max(1, lastFetches)))
				require.LessOrEqual(t, lastWaits/time.Duration(max(1, lastFetches)),
					time.Duration(storeFetchLimitRatioIfWaiting*float64(p.estimates("llm").prefill.PerToken()*chainTokens)),
					"mean wait once waits have been observed")
				prefill := time.Duration(chainTokens) * p.estimates("llm").prefill.PerToken()
				require.Positive(t, fetches)
				require.LessOrEqual(t, longestWait,
					time.Duration(storeFetchLimitRatio*float64(prefill))+time.Duration(chainTokens/linkTokensPerMs*float64(time.Millisecond)))
				if name == "calm" {
					require.Zero(t, prefills, "the link has capacity for all fetches")
				} else {
					require.Positive(t, prefills)
				}
			})
		})
	}
}

// Guards against sending requests to an engine that is slower than estimated, and against avoiding it for ever.
func TestSlowEngineCostsMoreUntilSlownessDecays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPlacer()
		c, err := p.Choose(requestFor(1))
		require.NoError(t, err)
		preferred := c.Upstream.ID
		n := p.upstreamStates[preferred]
		for range 10 {
			tracker := p.Begin(&Choice{Upstream: c.Upstream, Wait: WaitEstimate{Total: 100 * time.Millisecond}}, requestFor(1))
			time.Sleep(900 * time.Millisecond)
			tracker.MarkActive()
			tracker.MarkFirstEvent()
			tracker.End(OutcomeSucceeded)
		}
		require.Greater(t, n.slowness(time.Now()), 2.0)
		require.LessOrEqual(t, n.slowness(time.Now()), maxSlownessRatio)
		p.SetPeerWork("peer", map[ident.UpstreamID]OutstandingWork{preferred: {PrefillTokens: 6000}}, 0)
		c, err = p.Choose(requestFor(1))
		require.NoError(t, err)
		require.NotEqual(t, preferred, c.Upstream.ID, "a slow engine with outstanding work is passed over for an idle one")
		time.Sleep(10 * slownessHalfLife)
		require.InDelta(t, 1, n.slowness(time.Now()), 0.01)
		c, err = p.Choose(requestFor(1))
		require.NoError(t, err)
		require.Equal(t, preferred, c.Upstream.ID)
	})
}

// Guards against taking an engine to be down that is known to be slow and sends its first event accordingly late.
func TestSilenceTimeoutGrowsWithSlowness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPlacer()
		c, err := p.Choose(requestFor(1))
		require.NoError(t, err)
		n := p.upstreamStates[c.Upstream.ID]
		tracker := p.Begin(c, requestFor(1))
		normalTimeout := silenceTimeout + prefillSlackFactor*n.prefillTime(c.PrefillTokens)
		for range 20 {
			n.observeTTFT(time.Now(), 5*time.Second, time.Second)
		}
		time.Sleep(normalTimeout + 50*time.Millisecond)
		require.False(t, tracker.ShouldAbort())
		require.Empty(t, p.DownAddresses())
		time.Sleep(700 * time.Millisecond)
		require.False(t, tracker.ShouldAbort(), "its silence has only just been detected")
		require.Contains(t, p.DownAddresses(), n.id)
	})
}

// Guards against waiting for ever for an engine that accepts connections but answers no requests.
func TestHangingEngineIsAborted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPlacer()
		c, err := p.Choose(requestFor(1))
		require.NoError(t, err)
		tracker := p.Begin(c, requestFor(1))
		startedAt := time.Now()
		// Each time that the engine is taken to be down, a connection succeeds.
		for !tracker.ShouldAbort() {
			for id := range p.DownAddresses() {
				p.MarkReachable(id)
			}
			time.Sleep(50 * time.Millisecond)
			require.Less(t, time.Since(startedAt), 3*time.Second)
		}
		require.GreaterOrEqual(t, time.Since(startedAt), hangTimeout)
	})
}

// Guards against aborting requests at an engine that pauses for 700 ms at a time.
func TestPausingEngineIsNotAborted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPlacer()
		c, err := p.Choose(requestFor(1))
		require.NoError(t, err)
		tracker := p.Begin(c, requestFor(1))
		for range 20 {
			for range 14 {
				time.Sleep(50 * time.Millisecond)
				require.False(t, tracker.ShouldAbort())
				for id := range p.DownAddresses() {
					p.MarkReachable(id)
				}
			}
			tracker.MarkActive()
		}
	})
}
