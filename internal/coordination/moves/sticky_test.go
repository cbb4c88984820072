package moves

import (
	"container/list"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// lru is a cache of prefixes.
type lru struct {
	size  int
	order *list.List
	at    map[ident.BlockHash]*list.Element
}

func newLRU(size int) *lru {
	return &lru{size: size, order: list.New(), at: map[ident.BlockHash]*list.Element{}}
}

// use reports whether the prefix was cached, and caches it.
func (c *lru) use(prefix ident.BlockHash) bool {
	if e, ok := c.at[prefix]; ok {
		c.order.MoveToFront(e)
		return true
	}
	c.at[prefix] = c.order.PushFront(prefix)
	if c.order.Len() > c.size {
		last := c.order.Back()
		prefix, _ := c.order.Remove(last).(ident.BlockHash)
		delete(c.at, prefix)
	}
	return false
}

// splitPolicies are ways to pick the version.
var splitPolicies = map[string]func(s *Splitter, req SplitKey) ident.VersionID{
	"request": func(s *Splitter, req SplitKey) ident.VersionID {
		req.PrefixHash = 0
		return s.Version(req)
	},
	"family": func(_ *Splitter, req SplitKey) ident.VersionID {
		if mix(uint64(req.PrefixHash))%1000 < 500 {
			return newVersion
		}
		return oldVersion
	},
	"both": (*Splitter).Version,
}

// simulatePolicy sends requests whose prefixes follow a Zipf distribution. It returns the rate of cache hits and, for
// the organisation that is farthest off, how far the new version's part of its requests is from the share of a half.
func simulatePolicy(policy func(*Splitter, SplitKey) ident.VersionID) (hits, deviation float64) {
	const requests = 60_000
	s, _ := splitterAtShare(500)
	rng := rand.New(rand.NewPCG(1, 1))
	zipf := rand.NewZipf(rng, 1.1, 4, 1999)
	caches := map[ident.VersionID]*lru{oldVersion: newLRU(200), newVersion: newLRU(200)}
	total, toNew := map[uint64]float64{}, map[uint64]float64{}
	for i := range requests {
		prefixRank := zipf.Uint64()
		prefix := ident.BlockHash(mix(prefixRank + 1))
		version := policy(s, SplitKey{Model: testModel, Route: "quote", RequestID: ident.RequestID(fmt.Sprint(i)), PrefixHash: prefix})
		if caches[version].use(prefix) {
			hits++
		}
		org := prefixRank % 5
		total[org]++
		if version == newVersion {
			toNew[org]++
		}
	}
	for org, n := range total {
		deviation = max(deviation, toNew[org]/n-0.5, 0.5-toNew[org]/n)
	}
	return hits / requests, deviation
}

// Guards against two faults of a split: by request it loses cache hits, by prefix it shifts a heavy organisation as a
// whole. Keeping only light prefixes on one version avoids both.
func TestStickyPrefixesRaiseHitRate(t *testing.T) {
	byRequestHits, _ := simulatePolicy(splitPolicies["request"])
	_, byPrefixDeviation := simulatePolicy(splitPolicies["family"])
	stickyHits, stickyDeviation := simulatePolicy(splitPolicies["both"])
	require.Greater(t, stickyHits, byRequestHits)
	require.Less(t, stickyDeviation, byPrefixDeviation)
}

func BenchmarkStickiness(b *testing.B) {
	for name, policy := range splitPolicies {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				hits, deviation := simulatePolicy(policy)
				b.ReportMetric(100*hits, "%hits")
				b.ReportMetric(100*deviation, "%offShare")
			}
		})
	}
}
