package daemon

import (
	"context"
	"math/rand/v2"
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
	p.router.Delta(d, p.digests.next(len(p.others())))
	d.Moves = p.watch.Digest()
	return d
}

// digestBudget keeps the blocks in digests within digestRate, however many daemons they go to. It is used by one
// goroutine.
type digestBudget struct {
	saved int
}

// next returns how many bytes of blocks the heartbeats of this second to so many daemons may carry: 0 until there is
// enough for a digest that is worth its overhead.
func (b *digestBudget) next(others int) int {
	others = max(1, others)
	b.saved = min(b.saved+digestRate, max(digestRate, others*digestBytes))
	limit := min(digestBytes, b.saved/others)
	if limit < leastDigestBytes {
		return 0
	}
	b.saved -= limit * others
	return limit
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
		case <-p.watch.UrgentDigest():
		}
		d := p.newDigest()
		d.Moves = p.watch.Digest()
		p.tellAll(ctx, p.others(), &wire.TellRequest{Digest: d})
		scope.Sleep(ctx, urgentPause)
	}
}

// others returns the other daemons that answer.
func (p *parts) others() []ident.DaemonID {
	return slices.DeleteFunc(p.live(), func(id ident.DaemonID) bool { return id == p.settings.DaemonID })
}

// tellAll passes a message on to daemons and returns when each has answered or failed.
func (p *parts) tellAll(ctx context.Context, to []ident.DaemonID, req *wire.TellRequest) {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, id := range to {
		wg.Go(func() { p.tell(ctx, id, req) })
	}
	wg.Wait()
}

// notify passes on which requests this daemon has just sent to engines, to all others or to some in a large fleet.
func (p *parts) notify(ctx context.Context, notices []*wire.SentNotice) {
	p.tellAll(ctx, sample(p.others(), noticePeers), &wire.TellRequest{Notices: notices})
}

// sample returns at most n of the daemons, chosen at random.
func sample(ids []ident.DaemonID, n int) []ident.DaemonID {
	if len(ids) > n {
		rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	}
	return ids[:min(n, len(ids))]
}

// takePart tells the router which place this daemon has among those that answer.
func (p *parts) takePart(view *member.View) {
	ids := liveIn(view)
	slices.Sort(ids)
	if rank := slices.Index(ids, p.settings.DaemonID); rank >= 0 {
		p.router.SetDaemonRank(rank, len(ids))
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
