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
	"github.com/gooseberryway/gooseberryway/internal/transport/httpc"
)

const (
	// probeTick is how often the daemon looks for upstreams that have become unreachable.
	probeTick = 50 * time.Millisecond
	// probePeriod is the time between attempts to connect to an unreachable upstream. Up to half of it is added at
	// random.
	probePeriod = 400 * time.Millisecond
	// probeTimeout bounds one attempt to connect, which normally takes a few milliseconds.
	probeTimeout = 250 * time.Millisecond
)

// probe tries to connect to upstreams that are marked as down, at once and then about every probePeriod, until they
// can be reached.
func (d *Daemon) probe(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	nextAttempt := map[ident.UpstreamID]time.Time{}
	for ctx.Err() == nil {
		down, now := d.placer.DownAddresses(), time.Now()
		maps.DeleteFunc(nextAttempt, func(id ident.UpstreamID, _ time.Time) bool { return down[id] == "" })
		for id, address := range down {
			if now.Before(nextAttempt[id]) {
				continue
			}
			nextAttempt[id] = now.Add(probePeriod + rand.N(probePeriod/2))
			d.placer.MarkConnecting(id)
			wg.Go(func() {
				switch err := d.connect(ctx, address); {
				case err == nil:
					d.placer.MarkReachable(id)
				case !httpc.IsTimeout(err):
					d.placer.MarkRefused(id)
				}
			})
		}
		scope.Sleep(ctx, probeTick)
	}
}

func (d *Daemon) canConnect(ctx context.Context, address string) bool {
	return d.connect(ctx, address) == nil
}

// connect opens a connection to an upstream and closes it.
func (d *Daemon) connect(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	dial := d.dialUpstream
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	c, err := dial(ctx, "tcp4", address)
	if err != nil {
		return err
	}
	_ = c.Close()
	return nil
}
