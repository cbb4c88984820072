package uprate

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/rhash"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

func takes(t *Table, u *view.Upstream) bool {
	ok, _ := t.Take(u)
	return ok
}

func newSoleTable() *Table {
	t := &Table{Self: "a"}
	t.SetMembers([]rhash.Node{{ID: "a"}})
	return t
}

// Guards against lifting a limit because of a response to a request that was sent before the limit was named.
func TestResponseToOlderRequestDoesNotLiftLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, u := newSoleTable(), &view.Upstream{ID: "e", Incarnation: 1}
		before := time.Now()
		time.Sleep(time.Second)
		table.Observe(u, before, &view.RateLimit{Rate: 2})
		time.Sleep(10 * time.Millisecond)
		table.Observe(u, before, &view.NoLimit{})
		table.Observe(u, time.Now(), &view.InvalidLimit{Value: "many"})
		require.False(t, takes(table, u), "the limit holds, and a share begins empty")
		table.Observe(u, time.Now(), &view.NoLimit{})
		require.True(t, takes(table, u))
	})
}

// Guards against a limit that outlives the incarnation of the upstream that named it, here or by late news of a peer.
func TestLimitEndsWithIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, u := newSoleTable(), &view.Upstream{ID: "e", Incarnation: 1}
		table.Observe(u, time.Now(), &view.RateLimit{Rate: 2})
		news := table.News()
		require.Len(t, news, 1)
		restarted := &view.Upstream{ID: "e", Incarnation: 2}
		require.True(t, takes(table, restarted))
		table.RemoveUnlisted(map[ident.UpstreamID]*view.Upstream{"e": restarted})
		table.ApplyNews(restarted, news[0])
		require.True(t, takes(table, restarted))
		require.Empty(t, table.News())
	})
}

// Guards against late news of a limit that has ended, and against a limit that nothing confirms any more.
func TestOldNewsDoesNotRestoreLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b, u := newSoleTable(), &Table{Self: "b"}, &view.Upstream{ID: "e", Incarnation: 1}
		a.Observe(u, time.Now(), &view.RateLimit{Rate: 2})
		late := a.News()[0]
		b.ApplyNews(u, late)
		require.False(t, takes(b, u), "a daemon without a share sends nothing")
		time.Sleep(time.Second)
		a.Observe(u, time.Now(), &view.NoLimit{})
		late.Age = time.Since(time.Now().Add(-time.Second))
		a.ApplyNews(u, late)
		require.True(t, takes(a, u))
		time.Sleep(confirmTTL + time.Millisecond)
		b.SetMembers(nil)
		require.True(t, takes(b, u), "no holder has confirmed the limit for confirmTTL")
	})
}

// Guards against requests that were chosen for an upstream and then not sent, but used up its limit.
func TestReturnedRequestIsNotCharged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, u := newSoleTable(), &view.Upstream{ID: "e", Incarnation: 1}
		table.Observe(u, time.Now(), &view.RateLimit{Rate: 1})
		time.Sleep(time.Second)
		require.True(t, takes(table, u))
		require.False(t, takes(table, u))
		wait, rate, limited := table.Wait(u)
		require.True(t, limited && rate == 1 && wait > 0 && wait <= time.Second)
		table.Return(u)
		require.True(t, takes(table, u))
	})
}
