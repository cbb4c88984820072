package daemon

import (
	"context"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/coordination/member"
	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/scope"
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
		p.tellAll(ctx, &wire.TellRequest{Digest: d})
		scope.Sleep(ctx, urgentPause)
	}
}

// tellAll passes a message on to all other daemons and returns when each has answered or failed.
func (p *parts) tellAll(ctx context.Context, req *wire.TellRequest) {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, id := range p.live() {
		if id != p.settings.DaemonID {
			wg.Go(func() { p.tell(ctx, id, req) })
		}
	}
	wg.Wait()
}

// notify passes on which requests this daemon has just sent to engines.
func (p *parts) notify(ctx context.Context, notices []*wire.SentNotice) {
	p.tellAll(ctx, &wire.TellRequest{Notices: notices})
}

// takePart tells the router which place this daemon has among those that answer.
func (p *parts) takePart(view *member.View) {
	ids := liveIn(view)
	slices.Sort(ids)
	if rank := slices.Index(ids, p.settings.DaemonID); rank >= 0 {
		p.router.SetPart(rank, len(ids))
	}
}

func (p *parts) tell(ctx context.Context, to ident.DaemonID, req *wire.TellRequest) {
	if _, err := p.calls.Tell(ctx, to, req); err != nil {
		klog.V(1).InfoS("Digest not delivered", "daemon", to, "err", err)
	}
}

const (
	// urgentPause is the shortest time between two urgent digests.
	urgentPause = 50 * time.Millisecond
	// tellTimeout bounds a message to the other daemons.
	tellTimeout = time.Second
)
