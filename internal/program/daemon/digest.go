package daemon

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// digest is what this daemon tells the others with its next heartbeats.
func (p *parts) digest() *wire.Digest {
	d := p.newDigest()
	p.router.Delta(d, digestBytes)
	d.Moves = p.watch.Digest()
	return d
}

func (p *parts) newDigest() *wire.Digest {
	d := &wire.Digest{DaemonId: string(p.settings.DaemonID)}
	if view := p.fleet.View(); view != nil {
		d.Incarnation = uint64(view.Incarnation)
	}
	return d
}

// learn takes in what another daemon told.
func (p *parts) learn(d *wire.Digest) {
	p.router.Merge(d)
	p.watch.Merge(ident.DaemonID(d.GetDaemonId()), ident.Incarnation(d.GetIncarnation()), d.GetMoves())
}

// tellUrgent passes what moves have seen on to the other daemons at once when a version does badly.
func (p *parts) tellUrgent(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.watch.Urgent():
		}
		d := p.newDigest()
		d.Moves = p.watch.Digest()
		for _, id := range p.live() {
			if id != p.settings.DaemonID {
				p.background.Go(func() { p.tell(ctx, id, d) })
			}
		}
		pause(ctx, urgentPause)
	}
}

func (p *parts) tell(ctx context.Context, to ident.DaemonID, d *wire.Digest) {
	if _, err := p.calls.Tell(ctx, to, &wire.TellRequest{Digest: d}); err != nil {
		klog.V(1).InfoS("Digest not delivered", "daemon", to, "err", err)
	}
}

// urgentPause is the shortest time between two urgent digests.
const urgentPause = 50 * time.Millisecond
