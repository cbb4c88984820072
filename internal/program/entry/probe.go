package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/scope"
)

const (
	// probePeriod is the time between attempts to connect to upstreams that are down, to which up to half is added.
	probePeriod = 400 * time.Millisecond
	// probeTimeout bounds such an attempt; connections take a few milliseconds.
	probeTimeout = 250 * time.Millisecond
)

// probe connects to upstreams that are taken to be down until they can be reached.
func (d *Daemon) probe(ctx context.Context) {
	for ctx.Err() == nil {
		var wg sync.WaitGroup
		for id, address := range d.placer.Downs() {
			wg.Go(func() {
				if reachable(ctx, address) {
					d.placer.Reached(id)
				}
			})
		}
		wg.Wait()
		scope.Sleep(ctx, probePeriod+rand.N(probePeriod/2))
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
