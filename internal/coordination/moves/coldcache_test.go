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
	// sharedPrefixTokens is the length of a shared prefix, ownPromptTokens the rest of each prompt.
	sharedPrefixTokens, ownPromptTokens = 8 * 1024, 128
	// enginesPerVersion is the number of engines of a version that the prefixes are distributed over.
	enginesPerVersion = 3
	// evictedRequestsPermille is the share of requests whose prefix has been evicted.
	evictedRequestsPermille = 4
)

// engineCaches simulates engines that compute one prompt after the other and cache the shared prefixes. A prefix
// counts as cached from its first request on, as daemons expect it to be.
type engineCaches struct {
	// ignoreQueues leaves the engines' queues out of the work that is reported to daemons.
	ignoreQueues bool
	cached       map[cachedPrefixKey]bool
	freeAt       map[ident.UpstreamID]time.Time
}

type cachedPrefixKey struct {
	version ident.VersionID
	prefix  ident.BlockHash
}

// newWarmCaches returns engines whose caches hold all prefixes for the old version.
func newWarmCaches() *engineCaches {
	c := &engineCaches{cached: map[cachedPrefixKey]bool{}, freeAt: map[ident.UpstreamID]time.Time{}}
	for prefix := range testPrefixes {
		c.cached[cachedPrefixKey{oldVersion, ident.BlockHash(prefix + 1)}] = true
	}
	return c
}

// assign gives a request to the engine of its prefix and returns the work that a daemon expects before its first
// token.
func (c *engineCaches) assign(r *request, prefix ident.BlockHash) ident.Tokens {
	r.Upstream = ident.UpstreamID(fmt.Sprintf("%s-e%d", r.Version, prefix%enginesPerVersion))
	r.uncachedTokens = ownPromptTokens
	evicted := r.rng.IntN(fullSharePermille) < evictedRequestsPermille
	if key := (cachedPrefixKey{r.Version, prefix}); evicted || !c.cached[key] {
		c.cached[key] = true
		r.uncachedTokens += sharedPrefixTokens
	}
	wait := max(0, c.freeAt[r.Upstream].Sub(r.at))
	r.queuedTokens = ident.Tokens(wait / prefillTime(1))
	c.freeAt[r.Upstream] = r.at.Add(wait + prefillTime(r.uncachedTokens))
	if c.ignoreQueues {
		return r.uncachedTokens
	}
	return r.uncachedTokens + r.queuedTokens
}

// runMoveWithCaches runs one move of a fleet whose engines have caches. It returns the move as it ended and the time
// from the first faulty request to the last request sent to the new version.
func runMoveWithCaches(t *testing.T, seed uint64, c *engineCaches, b behaviour) (last config.Move, faultToLastRequest time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		log := newTestLog(0)
		f := newFleet(seed, 6, 60, log, "quote", "note")
		f.caches, f.behaviours[newVersion] = c, b
		ctx, cancel := context.WithCancel(t.Context())
		defer f.wg.Wait()
		defer cancel()
		f.run(ctx)
		time.Sleep(experimentWarmUp)
		log.createMove(experimentDeadline)
		last = f.waitMove(t, 2*experimentDeadline, ended)
		time.Sleep(time.Second)
		faultToLastRequest = f.faultToLastRequest()
	})
	return last, faultToLastRequest
}

// Guards against taking back a good version because a step sends it prefixes that it has not cached: they have to be
// computed, and requests queue behind them. The latency limits allow for the queue; without it, some good versions
// are taken back.
func TestGoodVersionWithColdCachesIsNotTakenBack(t *testing.T) {
	falseTakeBacks := 0
	for seed := range uint64(4 * seedCount(t)) {
		m, _ := runMoveWithCaches(t, seed, newWarmCaches(), healthyAnswer)
		require.Equal(t, config.MoveDone, m.State, "seed %d: %s", seed, m.Reason)
		require.False(t, m.StateSince.After(m.Deadline), "seed %d", seed)

		withoutQueues := newWarmCaches()
		withoutQueues.ignoreQueues = true
		if m, _ = runMoveWithCaches(t, seed, withoutQueues, healthyAnswer); m.State != config.MoveDone {
			t.Logf("without the queue, seed %d: %s", seed, m.Reason)
			falseTakeBacks++
		}
	}
	require.Positive(t, falseTakeBacks)
}

// Guards against excusing a slow version by its queue, which is long because the version is slow. The version is slow
// from a share of 500 ‰ on.
func TestSlowVersionWithColdCachesIsTakenBack(t *testing.T) {
	for seed := range uint64(4 * seedCount(t)) {
		m, faultToLastRequest := runMoveWithCaches(t, seed, newWarmCaches(), func(r request) answer {
			a := healthyAnswer(r)
			if r.share < 500 {
				return a
			}
			a = faultEffects["slow"](r, a)
			a.faulty = true
			return a
		})
		require.Equal(t, config.MoveTakenBack, m.State, "seed %d: %s", seed, m.Reason)
		require.Less(t, faultToLastRequest, 2*time.Second, "seed %d: %s", seed, m.Reason)
	}
}
