package entry

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/scope"
)

const (
	// probeTick is how often upstreams that are newly down are looked for.
	probeTick = 50 * time.Millisecond
	// probePeriod is the time between attempts to connect to an upstream that is down, to which up to half is added.
	probePeriod = 400 * time.Millisecond
	// probeTimeout bounds such an attempt; connections take a few milliseconds.
	probeTimeout = 250 * time.Millisecond
)

// probe connects to upstreams that are taken to be down until they can be reached: at once, and then from time to time.
func (d *Daemon) probe(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	next := map[ident.UpstreamID]time.Time{}
	for ctx.Err() == nil {
		downs, now := d.placer.DownAddresses(), time.Now()
		maps.DeleteFunc(next, func(id ident.UpstreamID, _ time.Time) bool { return downs[id] == "" })
		for id, address := range downs {
			if now.Before(next[id]) {
				continue
			}
			next[id] = now.Add(probePeriod + rand.N(probePeriod/2))
			wg.Go(func() {
				if reachable(ctx, address) {
					d.placer.MarkReachable(id)
				}
			})
		}
		scope.Sleep(ctx, probeTick)
	}
}

func reachable(ctx context.Context, address string) bool {
	dialer := net.Dialer{Timeout: probeTimeout}
	c, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}
