package moves

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

const (
	// sharedTokens are those of a family's prefix, ownTokens those of each request alone.
	sharedTokens, ownTokens = 8 * 1024, 128
	// familyEngines is the number of engines of a version that families are spread over.
	familyEngines = 3
	// evictedPermille of the requests find that their prefix was evicted.
	evictedPermille = 4
)

// caches are engines that compute one prompt after the other and keep the prefixes of the families. A prefix counts as
// held from its first request on, as daemons expect it to be.
type caches struct {
	// blind daemons are not told of the queues.
	blind bool
	held  map[heldKey]bool
	free  map[ident.UpstreamID]time.Time
}

type heldKey struct {
	version ident.VersionID
	family  ident.BlockHash
}

// newCaches returns engines that hold all families for the old version.
func newCaches() *caches {
	c := &caches{held: map[heldKey]bool{}, free: map[ident.UpstreamID]time.Time{}}
	for family := range families {
		c.held[heldKey{oldV, ident.BlockHash(family + 1)}] = true
	}
	return c
}

// take gives a request to the engine of its family and returns the work that a daemon expects before its first token.
func (c *caches) take(r *request, family ident.BlockHash) ident.Tokens {
	r.Upstream = ident.UpstreamID(fmt.Sprintf("%s-e%d", r.Version, family%familyEngines))
	r.uncach = ownTokens
	evicted := r.rng.IntN(wholePermille) < evictedPermille
	if key := (heldKey{r.Version, family}); evicted || !c.held[key] {
		c.held[key] = true
		r.uncach += sharedTokens
	}
	wait := max(0, c.free[r.Upstream].Sub(r.at))
	r.ahead = ident.Tokens(wait / prefillTime(1))
	c.free[r.Upstream] = r.at.Add(wait + prefillTime(r.uncach))
	if c.blind {
		return r.uncach
	}
	return r.uncach + r.ahead
}

// withCaches runs one move of a fleet whose engines have caches and returns the move as it ended.
func withCaches(t *testing.T, seed uint64, c *caches, b behaviour) (last config.Move, faultToLast time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		log := newTestLog(0)
		f := newFleet(seed, 6, 60, log, "quote", "note")
		f.caches, f.answer[newV] = c, b
		ctx, cancel := context.WithCancel(t.Context())
		defer f.wg.Wait()
		defer cancel()
		f.run(ctx)
		time.Sleep(experimentWarmUp)
		log.begin(experimentDeadline)
		last = f.waitMove(t, 2*experimentDeadline, ended)
		time.Sleep(time.Second)
		faultToLast = f.faultToLast()
	})
	return last, faultToLast
}

// The families that a step sends to a good version have to be computed there, and their requests wait for each other.
// That does not look like a slow version, but would to daemons that leave the queue out.
func TestColdCachesAreNoFault(t *testing.T) {
	mistaken := 0
	for seed := range uint64(4 * seeds(t)) {
		m, _ := withCaches(t, seed, newCaches(), healthy)
		require.Equal(t, config.MoveDone, m.State, "seed %d: %s", seed, m.Reason)
		require.False(t, m.StateSince.After(m.Deadline), "seed %d", seed)

		blind := newCaches()
		blind.blind = true
		if m, _ = withCaches(t, seed, blind, healthy); m.State != config.MoveDone {
			t.Logf("without the queue, seed %d: %s", seed, m.Reason)
			mistaken++
		}
	}
	require.Positive(t, mistaken)
}

// A version that is slow from half of the traffic on is found although its queue grows for that.
func TestColdCachesHideNoSlowVersion(t *testing.T) {
	for seed := range uint64(4 * seeds(t)) {
		m, faultToLast := withCaches(t, seed, newCaches(), func(r request) answer {
			a := healthy(r)
			if r.share < 500 {
				return a
			}
			a = spoils["slow"](r, a)
			a.faulty = true
			return a
		})
		require.Equal(t, config.MoveTakenBack, m.State, "seed %d: %s", seed, m.Reason)
		require.Less(t, faultToLast, 2*time.Second, "seed %d: %s", seed, m.Reason)
	}
}
