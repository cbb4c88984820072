package route

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// sendNotice passes a notice of a request with at least MinNoticeTokens to compute to Notify. Policies other than
// PrefixAware send none.
func (r *Router) sendNotice(d Decision, missed ident.Tokens) {
	if _, ok := r.Policy.(PrefixAware); !ok || r.Notify == nil || missed < MinNoticeTokens {
		return
	}
	r.Notify(&wire.SentNotice{
		UpstreamId:  string(d.Upstream),
		Incarnation: uint64(d.Incarnation),
		Tokens:      int64(missed),
	})
}

// ApplyNotice counts a request that another daemon has sent to an engine. It counts until the engine's next load report.
// Notices for unknown engines or other incarnations are ignored.
func (r *Router) ApplyNotice(n *wire.SentNotice) {
	u := r.Health.Upstream(ident.UpstreamID(n.GetUpstreamId()))
	if u == nil || uint64(u.Incarnation()) != n.GetIncarnation() || n.GetTokens() <= 0 {
		return
	}
	u.CountPeerRequest(ident.Tokens(n.GetTokens()), time.Now())
}

// NoticeBatcher collects the notices of NoticeLinger into one message to the peers and limits their rate. A notice is only
// a hint, so those beyond the limit are dropped. Set the fields before Run.
type NoticeBatcher struct {
	// Send sends a batch to the peers. It should return within a second, because notices wait in a queue of NoticeBurst
	// meanwhile.
	Send func(context.Context, []*wire.SentNotice)

	queue chan *wire.SentNotice
	once  sync.Once
	epoch time.Time
	// paidUntil is when the rate limit will have made up for the notices accepted so far, in nanoseconds since the epoch.
	paidUntil atomic.Int64
	wg        sync.WaitGroup
	cancel    context.CancelFunc
}

func (n *NoticeBatcher) init() {
	n.once.Do(func() {
		n.epoch = time.Now()
		n.queue = make(chan *wire.SentNotice, NoticeBurst)
	})
}

// Add queues a notice, or drops it if the rate limit is exceeded or the queue is full. It does not block and can be used
// as Router.Notify.
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

// allow takes one notice from the rate limit and reports whether it was within it.
func (n *NoticeBatcher) allow() bool {
	now := int64(time.Since(n.epoch))
	for {
		old := n.paidUntil.Load()
		next := max(old, now) + int64(time.Second/NoticesPerSecond)
		if next > now+int64(NoticeBurst*time.Second/NoticesPerSecond) {
			return false
		}
		if n.paidUntil.CompareAndSwap(old, next) {
			return true
		}
	}
}

// Run starts a goroutine that sends the queued notices until ctx ends or Close is called.
func (n *NoticeBatcher) Run(ctx context.Context) {
	n.init()
	ctx, n.cancel = context.WithCancel(ctx)
	n.wg.Go(func() { n.loop(ctx) })
}

// Close stops the goroutine of Run and waits for it to end.
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
			n.Send(ctx, collectBatch(ctx, n.queue, first))
		}
	}
}

// collectBatch returns the first notice and those that arrive within NoticeLinger after it.
func collectBatch(ctx context.Context, queue <-chan *wire.SentNotice, first *wire.SentNotice) []*wire.SentNotice {
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
