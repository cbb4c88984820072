package claim

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

var packingTime = flag.Duration("packingtime", time.Second, "simulated duration of each measured run")

// maxAppendsPerSecond is the append rate above which the log service refuses.
const maxAppendsPerSecond = 300

// appendAlone appends one claim in an append of its own, with backoff while the log service refuses.
func appendAlone(ctx context.Context, log *memoryLog) bool {
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.InitialInterval, retryBackoff.MaxInterval = appendBackoffMin, appendBackoffMax
	for {
		if _, err := log.Append(ctx, extern.StreamClaims, make([]byte, 100)); err == nil {
			return true
		}
		if sleepOrDone(ctx, retryBackoff.NextBackOff()) != nil {
			return false
		}
	}
}

// runOfferedLoad makes claims as a Poisson process at the given rate during packingTime and summarises how many were
// granted. Each claim has a deadline of 2 s.
func runOfferedLoad(t *testing.T, perSecond int, batched bool) (summary string, granted int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(8, time.Minute)
		time.Sleep(openingTime)
		f.log.update(func(l *memoryLog) { l.maxPerSecond, l.appends, l.payloadBytes = maxAppendsPerSecond, 0, 0 })
		rng := rand.New(rand.NewPCG(3, uint64(perSecond)))
		var mu sync.Mutex
		var latencies []time.Duration
		var running sync.WaitGroup
		offered := 0
		for start := time.Now(); time.Since(start) < *packingTime; offered++ {
			time.Sleep(time.Duration(rng.ExpFloat64() / float64(perSecond) * float64(time.Second)))
			c, key := f.claimers[f.members[rng.IntN(8)]], ident.DigestOf(fmt.Sprint(offered))
			request := ident.RequestID(fmt.Sprint(offered))
			running.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				startedAt := time.Now()
				ok := !batched && appendAlone(ctx, f.log)
				if batched {
					d, err := c.Claim(ctx, "survey", key, key, request)
					ok = err == nil && d == Granted{}
				}
				mu.Lock()
				defer mu.Unlock()
				if ok {
					latencies = append(latencies, time.Since(startedAt))
				}
			})
		}
		running.Wait()
		slices.Sort(latencies)
		granted = len(latencies)
		f.log.update(func(l *memoryLog) {
			summary = fmt.Sprintf("%d/s offered: %d of %d granted, p50 %v, p99 %v, %d appends of %d bytes",
				perSecond, granted, offered, latencies[granted/2], latencies[granted*99/100], l.appends, l.payloadBytes/max(1, l.appends))
		})
		f.close()
	})
	return summary, granted
}

// TestBatchedAppendsGrantAtLeastAsManyClaims guards against batching that costs throughput: against a log service
// with a rate limit, claims that share appends must be granted as often as claims with an append each. It logs
// latencies; run it with -v -packingtime=10s for longer runs.
func TestBatchedAppendsGrantAtLeastAsManyClaims(t *testing.T) {
	for _, perSecond := range []int{100, 250, 500, 1000, 2000} {
		single, singleGranted := runOfferedLoad(t, perSecond, false)
		batched, batchedGranted := runOfferedLoad(t, perSecond, true)
		t.Logf("one append each: %s", single)
		t.Logf("shared appends:  %s", batched)
		require.GreaterOrEqual(t, batchedGranted, singleGranted)
	}
}
