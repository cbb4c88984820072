package reject

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/rhash"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

func newTable(self ident.DaemonID, members ...ident.DaemonID) *Table {
	t := &Table{Self: self}
	var nodes []rhash.Node
	for _, id := range members {
		nodes = append(nodes, rhash.Node{ID: id})
	}
	t.SetMembers(nodes)
	return t
}

// places returns how many requests the table admits at once.
func places(t *Table, u *view.Upstream) int {
	n := 0
	for n < 100 && t.Admit(u, Load{Own: n, Total: 100}).Wait == 0 {
		n++
	}
	return n
}

const unlimited = 100

// Guards against a limit that outlives what the upstream says, or that ends because of a response to an older request.
func TestLimitEndsWhenResponseNamesNone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, u := newTable("a", "a"), &view.Upstream{ID: "e", Incarnation: 1, Slots: 4}
		require.Equal(t, unlimited, places(table, u))
		before := time.Now()
		time.Sleep(time.Second)
		table.Observe(u, before, &view.RejectionLimit{PerSecond: 2})
		time.Sleep(10 * time.Millisecond)
		table.Observe(u, before, &view.NoRejectionLimit{})
		table.Observe(u, time.Now(), &view.InvalidRejectionLimit{Value: "many"})
		require.Equal(t, 4, places(table, u))
		table.Observe(u, time.Now(), &view.NoRejectionLimit{})
		require.Equal(t, unlimited, places(table, u))
	})
}

// Guards against a herd at an upstream of a brittle service that has started again and has not answered yet, and against
// what is presumed of it after it has answered.
func TestRestartedUpstreamIsPresumedToBeBrittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, peer := newTable("a", "a"), newTable("b", "a", "b")
		e := &view.Upstream{ID: "e", Service: "s", Incarnation: 1, Slots: 4}
		other := &view.Upstream{ID: "o", Service: "s", Incarnation: 1, Slots: 4}
		stranger := &view.Upstream{ID: "x", Service: "t", Incarnation: 1, Slots: 4}
		for _, u := range []*view.Upstream{e, other} {
			table.Observe(u, time.Now(), &view.RejectionLimit{PerSecond: 2})
		}
		old := table.News()
		require.Len(t, old, 2)
		restarted := *e
		restarted.Incarnation++
		table.RemoveUnlisted(map[ident.UpstreamID]*view.Upstream{"e": &restarted, "o": other})
		for _, n := range old {
			table.ApplyNews(&restarted, n)
		}
		require.Equal(t, 4, places(table, &restarted))
		require.Equal(t, unlimited, places(table, stranger))
		require.Len(t, table.News(), 1, "peers are told what upstreams say")
		time.Sleep(time.Millisecond)
		table.Observe(&restarted, time.Now(), &view.NoRejectionLimit{})
		require.Equal(t, unlimited, places(table, &restarted))
		for _, n := range table.News() {
			u := other
			if n.Upstream == "e" {
				u = &restarted
			}
			peer.ApplyNews(u, n)
		}
		require.Equal(t, unlimited, places(peer, &restarted))
		require.Less(t, places(peer, other), unlimited)
		time.Sleep(2 * liftedTTL)
		table.SetMembers([]rhash.Node{{ID: "a"}})
		require.Equal(t, unlimited, places(table, &restarted))
		table.Observe(other, time.Now(), &view.NoRejectionLimit{})
		require.False(t, table.InForce())
	})
}

// Guards against late news of a limit that has ended, and against a limit that nothing confirms any more.
func TestOldNewsDoesNotRestoreLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b, u := newTable("a", "a"), newTable("b", "a"), &view.Upstream{ID: "e", Incarnation: 1, Slots: 4}
		a.Observe(u, time.Now(), &view.RejectionLimit{PerSecond: 2})
		late := a.News()[0]
		b.ApplyNews(u, late)
		require.Zero(t, places(b, u), "a daemon without a share sends nothing")
		time.Sleep(time.Second)
		a.Observe(u, time.Now(), &view.NoRejectionLimit{})
		late.Age = time.Second
		a.ApplyNews(u, late)
		require.Equal(t, unlimited, places(a, u))
		time.Sleep(confirmTTL + time.Millisecond)
		b.SetMembers([]rhash.Node{{ID: "a"}})
		require.Equal(t, unlimited, places(b, u), "no holder has confirmed the limit for confirmTTL")
	})
}

// Guards against a daemon that goes on sending as many requests as an upstream has just rejected, and one that never sends
// more again.
func TestRejectionLowersRoomForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, u := newTable("a", "a"), &view.Upstream{ID: "e", Incarnation: 1, Slots: 8}
		table.Observe(u, time.Now(), &view.RejectionLimit{PerSecond: 2})
		require.Equal(t, 8, places(table, u))
		table.Reject(u, 3)
		require.Zero(t, places(table, u))
		time.Sleep(rejectionWindow)
		require.Equal(t, 3, places(table, u))
		table.Reject(u, 7)
		time.Sleep(rejectionWindow)
		require.Equal(t, 3, places(table, u))
		time.Sleep(100 * time.Second)
		require.Equal(t, 8, places(table, u))
	})
}

// Guards against a daemon that is cut off from its peers and takes their shares.
func TestSharesOfSilentPeersStayFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, u := newTable("a", "a", "b", "c", "d"), &view.Upstream{ID: "e", Incarnation: 1, Slots: 8}
		table.Observe(u, time.Now(), &view.RejectionLimit{PerSecond: 8})
		require.Equal(t, 2, places(table, u))
		require.Equal(t, Admission{Limited: true, Risky: true}, table.Admit(u, Load{Own: 2, Total: 7}))
		require.NotZero(t, table.Admit(u, Load{Own: 2, Unanswered: 1, Total: 7}).Wait)
		table.SetMembers([]rhash.Node{{ID: "a"}})
		require.Equal(t, 2, places(table, u))
		time.Sleep(memberMemory + time.Second)
		table.SetMembers([]rhash.Node{{ID: "a"}})
		require.Equal(t, 8, places(table, u))
	})
}

// Guards against daemons without traffic that send a herd to an upstream of which they were not told, and against limits
// that they keep.
func TestIdleDaemonsHearOfEachService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		active, idle := newTable("a", "a"), newTable("z", "a")
		upstreams := map[ident.UpstreamID]*view.Upstream{}
		for _, id := range []ident.UpstreamID{"e1", "e2", "e3"} {
			upstreams[id] = &view.Upstream{ID: id, Service: "s", Incarnation: 1, Slots: 4}
			active.Observe(upstreams[id], time.Now(), &view.RejectionLimit{PerSecond: 2})
		}
		tell := func() int {
			news := active.IdleNews()
			for _, n := range news {
				idle.ApplyNews(upstreams[n.Upstream], n)
			}
			return len(news)
		}
		require.Equal(t, 1, tell())
		for _, u := range upstreams {
			require.Zero(t, places(idle, u))
		}
		time.Sleep(time.Second)
		for _, u := range upstreams {
			active.Observe(u, time.Now(), &view.NoRejectionLimit{})
		}
		tell()
		for _, u := range upstreams {
			require.Equal(t, unlimited, places(idle, u))
		}
	})
}
