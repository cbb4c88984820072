package cold

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/rhash"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// newSoleTable returns the table of the only daemon of a fleet, which has all 16 slots.
func newSoleTable() *Table {
	f := newSimFleet(1, 1, 0, 3*time.Second)
	t := f.daemons[0].table
	t.SetMembers([]rhash.Node{{ID: t.Self}}, true)
	time.Sleep(settleTime + time.Millisecond)
	return t
}

// list registers u as if it were received now.
func list(t *Table, u view.Upstream) *view.Upstream {
	u.ID, u.Service, u.SeenAt = "e", "s", time.Now()
	t.Snapshots.SetUpstreams(view.NewUpstreams(map[ident.UpstreamID]*view.Upstream{"e": &u}, u.Offset+1))
	t.ApplyList()
	return &u
}

func isCold(t *Table, u *view.Upstream) bool {
	_, _, limited := t.Wait(u)
	return limited
}

// Guards against coldness that a later registration, a restored one or the clock should end or keep.
func TestRegistrationsMoveEndOfColdness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newSoleTable()
		u := list(table, view.Upstream{Incarnation: 1, Sequence: 5, ColdFor: 3 * time.Second, ColdStated: true, Offset: 1})
		require.True(t, isCold(table, u))
		u = list(table, view.Upstream{Incarnation: 1, Sequence: 4, ColdStated: true, Offset: 2})
		require.True(t, isCold(table, u), "a registration from before doesn't end it")
		u = list(table, view.Upstream{Incarnation: 1, Sequence: 6, Offset: 3})
		require.True(t, isCold(table, u), "one that says nothing doesn't either")
		u = list(table, view.Upstream{Incarnation: 1, Sequence: 7, ColdStated: true, Offset: 4})
		require.False(t, isCold(table, u))
		u = list(table, view.Upstream{Incarnation: 1, Sequence: 8, ColdFor: time.Second, ColdStated: true, Offset: 5})
		require.True(t, isCold(table, u), "it may turn cold again")
		time.Sleep(time.Second)
		require.False(t, isCold(table, u))
	})
}

// Guards against trusting a new incarnation that says nothing, and against mistrusting one that was there before this daemon.
func TestUnstatedNewIncarnationIsPresumedCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newSoleTable()
		require.False(t, isCold(table, list(table, view.Upstream{Incarnation: 1})))
		time.Sleep(startupTime + time.Second)
		u := list(table, view.Upstream{Incarnation: 2, Offset: 1})
		require.True(t, isCold(table, u))
		time.Sleep(3 * time.Second)
		require.False(t, isCold(table, u))
	})
}

// Guards against slots that are free again before the request that holds them was sent, or never again.
func TestSlotIsHeldFromChoiceUntilWindowAfterSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newSoleTable()
		u := list(table, view.Upstream{ColdFor: time.Minute, ColdStated: true})
		for range 16 {
			ok, charged := table.Take(u)
			require.True(t, ok && charged)
		}
		time.Sleep(2 * window)
		ok, _ := table.Take(u)
		require.False(t, ok, "the choices may still be sent")
		table.Return(u)
		for range 15 {
			table.Begin(u, true)
		}
		ok, _ = table.Take(u)
		require.True(t, ok, "one was given back")
		ok, _ = table.Take(u)
		require.False(t, ok)
		wait, _, _ := table.Wait(u)
		require.Equal(t, window, wait)
		time.Sleep(window)
		ok, _ = table.Take(u)
		require.True(t, ok)
	})
}

// Guards against slots of a daemon that has just started, or that hears few of the others.
func TestDaemonTakesNoSlotsItMayNotHave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimFleet(1, 1, 0, time.Minute)
		table := f.daemons[0].table
		u := list(table, view.Upstream{ColdFor: time.Minute, ColdStated: true})
		takes := func() bool {
			ok, _ := table.Take(u)
			return ok
		}
		self := rhash.Node{ID: table.Self}
		table.SetMembers([]rhash.Node{self}, false)
		time.Sleep(2 * settleTime)
		require.False(t, takes(), "it hears few others")
		table.SetMembers([]rhash.Node{self}, true)
		require.False(t, takes(), "others may have used the slots just now")
		time.Sleep(settleTime + time.Millisecond)
		require.True(t, takes())
	})
}

// Guards against effects where the service publishes no rate, or the settings have no bound.
func TestNoBoundChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		unset, unpublished, negligible := newSoleTable(), newSoleTable(), newSoleTable()
		unset.Overage, unset.Slack = 0, 0
		unpublished.Snapshots = &view.Snapshots{}
		negligible.Overage, negligible.Slack = 1e-9, 0
		cold := view.Upstream{ColdFor: time.Minute, ColdStated: true}
		for _, table := range []*Table{unset, unpublished} {
			u := list(table, cold)
			require.False(t, isCold(table, u) || table.Bounds("s"))
			ok, charged := table.Take(u)
			require.True(t, ok && !charged)
			require.Empty(t, table.Uses())
		}
		require.True(t, isCold(negligible, list(negligible, cold)))
		ok, _ := negligible.Take(list(negligible, cold))
		require.False(t, ok)
		negligible.Overage = math.MaxFloat64
		ok, _ = negligible.Take(list(negligible, cold))
		require.True(t, ok)
	})
}

// Guards against a daemon that wakes after others have taken its slots over, and against an older registration of another
// incarnation or a lost one that has it forget what it sent.
func TestStaleKnowledgeFreesNoSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newSoleTable()
		before := list(table, view.Upstream{Incarnation: 1, Offset: 1, ColdStated: true})
		u := list(table, view.Upstream{Incarnation: 2, Offset: 2, ColdFor: time.Minute, ColdStated: true})
		for range 16 {
			ok, charged := table.Take(u)
			require.True(t, ok && charged)
			table.Begin(u, true)
		}
		table.Begin(before, false)
		table.Snapshots.SetUpstreams(view.NewUpstreams(nil, 3))
		table.ApplyList()
		u = list(table, view.Upstream{Incarnation: 2, Offset: 4, ColdFor: time.Minute, ColdStated: true})
		ok, _ := table.Take(u)
		require.False(t, ok)
		time.Sleep(lostAfter + time.Millisecond)
		ok, _ = table.Take(u)
		require.False(t, ok, "the daemon was frozen")
	})
}

// Guards against a slot that is lost for good because the choice was made with a registration that was replaced meanwhile.
func TestChoiceOfReplacedIncarnationLosesNoSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newSoleTable()
		old := list(table, view.Upstream{Incarnation: 1, ColdFor: time.Minute, ColdStated: true, Offset: 1})
		u := list(table, view.Upstream{Incarnation: 2, ColdFor: time.Minute, ColdStated: true, Offset: 2})
		for range 16 {
			ok, charged := table.Take(old)
			require.True(t, ok)
			table.Begin(old, charged)
		}
		ok, _ := table.Take(u)
		require.False(t, ok)
		time.Sleep(window)
		for range 16 {
			ok, charged := table.Take(u)
			require.True(t, ok && charged)
		}
	})
}
