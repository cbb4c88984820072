package moves

import (
	"container/list"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// lru is a cache of families of prefixes.
type lru struct {
	size  int
	order *list.List
	at    map[ident.BlockHash]*list.Element
}

func newLRU(size int) *lru {
	return &lru{size: size, order: list.New(), at: map[ident.BlockHash]*list.Element{}}
}

// use reports whether the family was cached, and caches it.
func (c *lru) use(family ident.BlockHash) bool {
	if e, ok := c.at[family]; ok {
		c.order.MoveToFront(e)
		return true
	}
	c.at[family] = c.order.PushFront(family)
	if c.order.Len() > c.size {
		last := c.order.Back()
		family, _ := c.order.Remove(last).(ident.BlockHash)
		delete(c.at, family)
	}
	return false
}

// policies are ways to pick the version.
var policies = map[string]func(s *Splitter, ask SplitKey) ident.VersionID{
	"request": func(s *Splitter, ask SplitKey) ident.VersionID {
		ask.PrefixHash = 0
		return s.Version(ask)
	},
	"family": func(_ *Splitter, ask SplitKey) ident.VersionID {
		if mix(uint64(ask.PrefixHash))%1000 < 500 {
			return newV
		}
		return oldV
	},
	"both": (*Splitter).Version,
}

// splitFamilies sends requests of families with a long tail and returns the rate of cache hits and the part of the
// requests that the new version got in the organisation where that part was farthest from the share of a half.
func splitFamilies(policy func(*Splitter, SplitKey) ident.VersionID) (hits, farthest float64) {
	const requests = 60_000
	s, _ := splitAt(500)
	rng := rand.New(rand.NewPCG(1, 1))
	zipf := rand.NewZipf(rng, 1.1, 4, 1999)
	caches := map[ident.VersionID]*lru{oldV: newLRU(200), newV: newLRU(200)}
	total, moved := map[uint64]float64{}, map[uint64]float64{}
	for i := range requests {
		f := zipf.Uint64()
		family := ident.BlockHash(mix(f + 1))
		v := policy(s, SplitKey{Model: testModel, Route: "quote", Request: ident.RequestID(fmt.Sprint(i)), PrefixHash: family})
		if caches[v].use(family) {
			hits++
		}
		org := f % 5
		total[org]++
		if v == newV {
			moved[org]++
		}
	}
	for org, n := range total {
		farthest = max(farthest, moved[org]/n-0.5, 0.5-moved[org]/n)
	}
	return hits / requests, farthest
}

// Sticking keeps more prefixes warm than a split by request without shifting a heavy organisation as a whole.
func TestStickingKeepsPrefixesWarm(t *testing.T) {
	byRequest, _ := splitFamilies(policies["request"])
	_, lumpy := splitFamilies(policies["family"])
	both, even := splitFamilies(policies["both"])
	require.Greater(t, both, byRequest)
	require.Less(t, even, lumpy)
}

func BenchmarkStickiness(b *testing.B) {
	for name, policy := range policies {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				hits, farthest := splitFamilies(policy)
				b.ReportMetric(100*hits, "%hits")
				b.ReportMetric(100*farthest, "%offShare")
			}
		})
	}
}
