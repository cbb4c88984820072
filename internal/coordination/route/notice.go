package route

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// notify tells other daemons of a request with much to compute. The baselines do without.
func (r *Router) notify(d Decision, missed ident.Tokens) {
	if _, ok := r.Policy.(PrefixAware); !ok || r.Notify == nil || missed < MinNoticeTokens {
		return
	}
	r.Notify(&wire.SentNotice{
		UpstreamId:  string(d.Upstream),
		Incarnation: uint64(d.Incarnation),
		Tokens:      int64(missed),
	})
}

// ApplyNotice takes in that another daemon has sent a request. It counts until the engine's next load report.
func (r *Router) ApplyNotice(n *wire.SentNotice) {
	u := r.Health.Upstream(ident.UpstreamID(n.GetUpstreamId()))
	if u == nil || uint64(u.Incarnation()) != n.GetIncarnation() || n.GetTokens() <= 0 {
		return
	}
	u.CountPeerRequest(ident.Tokens(n.GetTokens()), time.Now())
}

// NoticeBatcher packs the notices of a few milliseconds into one message to the peers and bounds how many go out. A notice
// is a hint: what exceeds the bound is dropped. Set the fields before Run.
type NoticeBatcher struct {
	// Send passes a message to the peers. It should not wait for their answers for longer than a second.
	Send func(context.Context, []*wire.SentNotice)

	queue chan *wire.SentNotice
	once  sync.Once
	base  time.Time
	// paid is when the rate will have made up for the notices queued so far, in nanoseconds since base.
	paid   atomic.Int64
	wg     sync.WaitGroup
	cancel context.CancelFunc
}

func (n *NoticeBatcher) init() {
	n.once.Do(func() {
		n.base = time.Now()
		n.queue = make(chan *wire.SentNotice, NoticeBurst)
	})
}

// Add queues a notice or drops it. It does not block and fits Router.Notify.
func (n *NoticeBatcher) Add(notice *wire.SentNotice) {
	n.init()
	if !n.allow() {
		return
	}
	select {
	case n.queue <- notice:
	default:
	}
}

// allow takes one notice from the rate and reports whether there was one.
func (n *NoticeBatcher) allow() bool {
	now := int64(time.Since(n.base))
	for {
		old := n.paid.Load()
		next := max(old, now) + int64(time.Second/NoticesPerSecond)
		if next > now+int64(NoticeBurst*time.Second/NoticesPerSecond) {
			return false
		}
		if n.paid.CompareAndSwap(old, next) {
			return true
		}
	}
}

// Run starts to send notices until Close.
func (n *NoticeBatcher) Run(ctx context.Context) {
	n.init()
	ctx, n.cancel = context.WithCancel(ctx)
	n.wg.Go(func() { n.loop(ctx) })
}

// Close ends the sending and waits for it.
func (n *NoticeBatcher) Close() {
	if n.cancel != nil {
		n.cancel()
	}
	n.wg.Wait()
}

func (n *NoticeBatcher) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-n.queue:
			n.Send(ctx, collect(ctx, n.queue, first))
		}
	}
}

// collect returns the first notice and those that come within the linger.
func collect(ctx context.Context, queue <-chan *wire.SentNotice, first *wire.SentNotice) []*wire.SentNotice {
	timer := time.NewTimer(NoticeLinger)
	defer timer.Stop()
	batch := []*wire.SentNotice{first}
	for {
		select {
		case <-ctx.Done():
			return batch
		case <-timer.C:
			return batch
		case next := <-queue:
			batch = append(batch, next)
		}
	}
}
