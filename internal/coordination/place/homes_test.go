package place

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/kvdir"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

var testRegions = view.Regions{"z0": "north", "z1": "north", "z2": "south", "z3": "south"}

func requestWithHomes(chain int, homes ...ident.Region) *Request {
	r := requestFor(chain)
	r.Homes = homes
	r.CacheScope.Homes = r.Homes.Digest()
	return r
}

// Guards against requests, and fetches of cached parts, that leave the homes.
func TestRequestsStayInTheirHomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := placerInDomains()
		p.Regions = testRegions
		for chain := range chainCount {
			abroad := requestWithHomes(chain, "north")
			c, err := p.Choose(abroad)
			require.NoError(t, err)
			p.Begin(c, abroad)
			time.Sleep(10 * time.Millisecond)
			r := requestWithHomes(chain, "south")
			c, err = p.Choose(r)
			require.NoError(t, err)
			require.Equal(t, ident.Region("south"), testRegions[c.Upstream.FailureDomain])
			if c.Fetch == FetchFromEngine {
				for _, u := range p.Snapshots.Upstreams().ByID {
					if u.Address == c.SourceAddress {
						require.Equal(t, ident.Region("south"), testRegions[u.FailureDomain])
					}
				}
			}
			require.False(t, p.Allows(c, abroad))
		}
		for _, homes := range []view.Homes{{}, {"west"}} {
			r := requestFor(1)
			r.Homes = homes
			_, err := p.Choose(r)
			blocked, ok := errors.AsType[*BlockedError](err)
			require.True(t, ok)
			require.Equal(t, BlockedAbroad, blocked.Reason)
			require.False(t, blocked.Ends())
		}
	})
}

// Guards against a fetch from an engine abroad that a peer with other settings was seen to send the prompt to.
func TestPartsAreNotFetchedFromEnginesAbroad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := placerInDomains()
		p.Regions = testRegions
		r := requestWithHomes(1, "south")
		abroad := engineAt(0)
		for _, u := range p.Snapshots.Upstreams().ByID {
			// None is assumed to have anything cached.
			p.upstreamState(u).weightsChangedAt = time.Now()
		}
		salt := CacheSalt(1, r.CacheScope)
		p.ApplySentChains([]SentChain{{Chain: newChainKey(salt, "sys"), Engine: abroad.ID}, {Chain: newChainKey(salt, "chain1"), Engine: abroad.ID}})
		time.Sleep(time.Second)
		c, err := p.Choose(r)
		require.NoError(t, err)
		require.NotEqual(t, abroad.Address, c.SourceAddress)
		p.Regions = nil
		r.Homes = nil
		c, err = p.Choose(r)
		require.NoError(t, err)
		require.True(t, c.Upstream.ID == abroad.ID || c.SourceAddress == abroad.Address, "the report counts where homes don't bind")
	})
}

// regionalStores are one KV cache store in each of some failure domains.
type regionalStores []*kvdir.Store

func (s regionalStores) StoreFor(_ string, allowed func(ident.FailureDomain) bool) *kvdir.Store {
	for _, store := range s {
		if allowed(store.FailureDomain) {
			return store
		}
	}
	return nil
}

func (s regionalStores) Count() int { return len(s) }

// Guards against prompts with homes that are saved to, or fetched from, a KV cache store in another region.
func TestPartsStayInStoresOfTheHomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := placerInDomains()
		p.Regions = testRegions
		north, south := &kvdir.Store{FailureDomain: "z0"}, &kvdir.Store{FailureDomain: "z2"}
		p.Stores = regionalStores{north, south}
		for homes, want := range map[ident.Region]*kvdir.Store{"north": north, "south": south} {
			c, err := p.Choose(requestWithHomes(1, homes))
			require.NoError(t, err)
			require.Same(t, want, c.Store)
		}
		p.Stores = regionalStores{north}
		c, err := p.Choose(requestWithHomes(1, "south"))
		require.NoError(t, err)
		require.Nil(t, c.Store)
		require.False(t, c.SaveToStore)
		require.NotEqual(t, FetchFromStore, c.Fetch)
	})
}

// Guards against decisions that change where there are regions but no homes.
func TestRegionsWithoutHomesChangeNoDecision(t *testing.T) {
	decisions := func(regions view.Regions) (out []string) {
		synctest.Test(t, func(t *testing.T) {
			p := placerInDomains()
			p.Regions = regions
			for i := range 3 * chainCount {
				r := requestFor(i * 7 % chainCount)
				c, err := p.Choose(r)
				require.NoError(t, err)
				out = append(out, fmt.Sprint(c.Upstream.ID, c.Cost, c.Fetch, c.SourceAddress, CacheSalt(c.WeightVersion, r.CacheScope)))
				p.Begin(c, r)
				time.Sleep(5 * time.Millisecond)
			}
		})
		return out
	}
	require.Equal(t, decisions(nil), decisions(testRegions))
}
