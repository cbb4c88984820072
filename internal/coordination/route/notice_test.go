package route

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// TestNoticesCountUntilTheNextLoadReport guards against daemons that all choose the same idle engine because its load
// report is late, and against counting a request twice once a report includes it.
func TestNoticesCountUntilTheNextLoadReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := newRouter(4, PrefixAware{}), newRouter(4, PrefixAware{})
		time.Sleep(time.Second)
		a.Notify = b.ApplyNotice
		req := newRequest(1, 2, 3)
		d, err := a.Pick(req)
		require.NoError(t, err)
		attempt := a.StartAttempt(req, d)
		queuedTokens := func(id ident.UpstreamID) ident.Tokens { return b.Health.Upstream(id).Load(time.Now()).QueuedTokens }
		require.Equal(t, req.PromptTokens, queuedTokens(d.Upstream))
		other, err := b.Pick(newRequest(7, 8, 9))
		require.NoError(t, err)
		require.NotEqual(t, d.Upstream, other.Upstream)
		time.Sleep(100 * time.Millisecond)
		sendLoadReport(b, d.Upstream, 1, 5)
		require.EqualValues(t, 5, queuedTokens(d.Upstream), "the report includes the requests of earlier notices")
		attempt.Cancelled(0)

		b.ApplyNotice(&wire.SentNotice{UpstreamId: "e00", Incarnation: 9, Tokens: 1000})
		b.ApplyNotice(&wire.SentNotice{UpstreamId: "gone", Incarnation: 1, Tokens: 1000})
		require.Zero(t, queuedTokens("e00"), "notices of another incarnation are ignored")
	})
}

// TestNoticesAreBatchedAndRateLimited guards against notices that grow the traffic between daemons with the request rate.
func TestNoticesAreBatchedAndRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var batches []int
		n := &NoticeBatcher{Send: func(_ context.Context, batch []*wire.SentNotice) { batches = append(batches, len(batch)) }}
		n.Run(t.Context())
		for range 3 {
			n.Add(&wire.SentNotice{})
		}
		time.Sleep(time.Second)
		synctest.Wait()
		require.Equal(t, []int{3}, batches)
		batches = nil
		for range 10 * NoticesPerSecond {
			n.Add(&wire.SentNotice{})
			time.Sleep(time.Second / (10 * NoticesPerSecond))
		}
		n.Close()
		total := 0
		for _, size := range batches {
			total += size
		}
		require.LessOrEqual(t, total, NoticeBurst+NoticesPerSecond+1)
		require.GreaterOrEqual(t, total, NoticesPerSecond)
	})
}
