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

var packingTime = flag.Duration("packingtime", time.Second, "simulated time of each run that measures packing")

// logLimit is the number of appends a second that the log service takes.
const logLimit = 300

// oneByOne appends each claim by itself, with backoff when the log service refuses.
func oneByOne(ctx context.Context, log *memoryLog) bool {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = appendBackoffMin, appendBackoffMax
	for {
		if _, err := log.Append(ctx, extern.StreamClaims, make([]byte, 100)); err == nil {
			return true
		}
		if wait(ctx, pause.NextBackOff()) != nil {
			return false
		}
	}
}

// offer makes claims at random times for a while and describes what became of them. Each has two seconds.
func offer(t *testing.T, perSecond int, packed bool) (line string, granted int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(8, time.Minute)
		time.Sleep(settle)
		f.log.set(func(l *memoryLog) { l.perSecond, l.appends, l.payload = logLimit, 0, 0 })
		rng := rand.New(rand.NewPCG(3, uint64(perSecond)))
		var mu sync.Mutex
		var waits []time.Duration
		var running sync.WaitGroup
		offered := 0
		for start := time.Now(); time.Since(start) < *packingTime; offered++ {
			time.Sleep(time.Duration(rng.ExpFloat64() / float64(perSecond) * float64(time.Second)))
			c, key := f.claimers[f.members[rng.IntN(8)]], ident.DigestOf(fmt.Sprint(offered))
			request := ident.RequestID(fmt.Sprint(offered))
			running.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				begun := time.Now()
				ok := !packed && oneByOne(ctx, f.log)
				if packed {
					d, err := c.Claim(ctx, "survey", key, key, request)
					ok = err == nil && d == Granted{}
				}
				mu.Lock()
				defer mu.Unlock()
				if ok {
					waits = append(waits, time.Since(begun))
				}
			})
		}
		running.Wait()
		slices.Sort(waits)
		granted = len(waits)
		f.log.set(func(l *memoryLog) {
			line = fmt.Sprintf("%d/s offered: %d of %d granted, p50 %v, p99 %v, %d appends of %d bytes",
				perSecond, granted, offered, waits[granted/2], waits[granted*99/100], l.appends, l.payload/max(1, l.appends))
		})
		f.close()
	})
	return line, granted
}

// TestPacking measures claims with one append each and with claims that share appends. Run it with -v
// -packingtime=10s for figures.
func TestPacking(t *testing.T) {
	for _, perSecond := range []int{100, 250, 500, 1000, 2000} {
		single, ungrouped := offer(t, perSecond, false)
		packed, grouped := offer(t, perSecond, true)
		t.Logf("one append each: %s", single)
		t.Logf("packed:          %s", packed)
		require.GreaterOrEqual(t, grouped, ungrouped)
	}
}
