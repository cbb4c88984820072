package fleet

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

const (
	strongCapacity = RequestsPerSecond(320)
	weakCapacity   = RequestsPerSecond(20)
)

// newPeers returns daemons that alternate between four failure domains. The first strongCount have a high capacity.
func newPeers(strongCount, total int) []Peer {
	var out []Peer
	for i := range total {
		p := Peer{
			ID: ident.DaemonID(fmt.Sprintf("d%03d", i)), Incarnation: 1, PeerAddress: fmt.Sprintf("10.0.0.%d:1", i),
			CallerAddress: fmt.Sprintf("10.0.0.%d:2", i), Domain: ident.FailureDomain(fmt.Sprintf("z%d", i%4)),
			Ready: true, Capacity: weakCapacity, HeartbeatPeriod: minIdleHeartbeatPeriod,
		}
		if i < strongCount {
			p.Capacity = strongCapacity
		}
		out = append(out, p)
	}
	return out
}

func applyHeartbeats(t *Table, peers []Peer, sequence uint64) {
	for _, p := range peers {
		t.ApplyHeartbeat(p, sequence)
	}
}

func ids(peers []Peer) []string {
	var out []string
	for _, p := range peers {
		out = append(out, string(p.ID))
	}
	return out
}

func TestDaemonsWithHighestCapacityAreActive(t *testing.T) {
	all := newPeers(8, 87)
	for _, self := range []int{0, 5, 40, 86} {
		table := &Table{Self: all[self].ID}
		applyHeartbeats(table, all, 1)
		require.Equal(t, ids(all[:8]), ids(table.Active(all[self])), "seen from %d", self)
	}
}

func TestNumberOfActiveDaemonsFollowsDemand(t *testing.T) {
	for name, c := range map[string]struct {
		strong, all int
		demand      RequestsPerSecond
		want        int
	}{
		"all daemons of a small fleet":                  {8, 8, 100, 8},
		"no demand":                                     {8, 87, 0, 8},
		"demand that eight strong daemons carry":        {8, 87, 640, 8},
		"few strong daemons rather than many weak ones": {6, 85, 640, 6},
		"weak daemons while they carry the demand":      {0, 40, 60, 8},
		"more weak daemons for more demand":             {0, 40, 150, 15},
		"all daemons if they can't carry the demand":    {0, 40, 10000, 40},
		"only the strong daemons if nothing suffices":   {8, 87, 5000, 8},
		"all of three daemons":                          {1, 3, 1, 3},
		"all daemons if no capacity is known":           {-1, 20, 100, 20},
		"a third of the strong daemons lost":            {5, 84, 640, 5},
		"all strong daemons lost":                       {0, 79, 400, 40},
	} {
		t.Run(name, func(t *testing.T) {
			all := newPeers(c.strong, c.all)
			if c.strong < 0 {
				for i := range all {
					all[i].Capacity = 0
				}
			}
			all[0].Demand = c.demand
			table := &Table{Self: all[0].ID}
			applyHeartbeats(table, all, 1)
			require.Len(t, table.Active(all[0]), c.want)
		})
	}
}

func TestActiveDaemonsAreSpreadOverFailureDomains(t *testing.T) {
	all := newPeers(0, 40)
	for i := range all {
		// Most daemons are in one domain, and their ids sort first.
		if i < 34 {
			all[i].Domain = "z0"
		}
	}
	table := &Table{Self: all[0].ID}
	applyHeartbeats(table, all, 1)
	domains := map[ident.FailureDomain]int{}
	for _, p := range table.Active(all[0]) {
		domains[p.Domain]++
	}
	require.Len(t, domains, 4)
	require.LessOrEqual(t, domains["z0"], 5)
}

func TestSilentOrLeavingDaemonsAreReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := newPeers(4, 20)
		table := &Table{Self: all[19].ID}
		applyHeartbeats(table, all, 1)
		time.Sleep(minIdleHeartbeatPeriod)
		all[2].Leaving = true
		applyHeartbeats(table, append(all[:1:1], all[2:]...), 2)
		require.Contains(t, ids(table.Active(all[19])), "d001", "one lost heartbeat doesn't make a daemon silent")
		require.NotContains(t, ids(table.Active(all[19])), "d002")
		for i := range 4 {
			time.Sleep(minIdleHeartbeatPeriod)
			applyHeartbeats(table, all[2:], uint64(i)+3)
		}
		active := ids(table.Active(all[19]))
		require.NotContains(t, active, "d000")
		require.NotContains(t, active, "d001")
		require.Len(t, active, minActive)
	})
}

func TestPeerReportKeepsDaemonAlive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := newPeers(2, 2)
		table := &Table{Self: "x"}
		table.ApplyPeerReport(all[0])
		now := time.Now()
		p := table.All()[0]
		require.True(t, p.Alive(now) && p.ReportedByPeer && p.Ready)
		require.True(t, table.ApplyHeartbeat(all[0], 7))
		table.ApplyPeerReport(all[0])
		require.False(t, table.All()[0].ReportedByPeer, "the daemon's own heartbeat takes precedence")
		require.False(t, table.ApplyHeartbeat(all[0], 6), "an old heartbeat")
		time.Sleep(4 * minIdleHeartbeatPeriod)
		now = time.Now()
		p = table.All()[0]
		require.False(t, p.Alive(now))
		table.ApplyPeerReport(all[0])
		require.False(t, table.ApplyHeartbeat(all[0], 7), "a heartbeat that was already applied")
	})
}

func TestAddressOfSilentDaemonIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := newPeers(1, 1)
		table := &Table{Self: "x"}
		applyHeartbeats(table, all, 3)
		time.Sleep(peerRetention + time.Second)
		require.Equal(t, []ident.DaemonID{"d000"}, table.Expire())
		require.Equal(t, 1, table.RecentCount())
		require.Len(t, table.All(), 1)
		require.Empty(t, table.Expire())
		require.True(t, table.ApplyHeartbeat(all[0], 4))
	})
}

func TestIsolatedDaemonReturnsAllKnownCallerAddresses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := newPeers(3, 3)
		table := &Table{Self: all[0].ID}
		applyHeartbeats(table, all, 1)
		time.Sleep(4 * minIdleHeartbeatPeriod)
		require.ElementsMatch(t, []string{"10.0.0.0:2", "10.0.0.1:2", "10.0.0.2:2"}, table.CallerAddresses(all[0], false))
		require.Len(t, table.CallerAddresses(all[0], true), 3, "it may be cut off from its peers alone")
	})
}

// Guards against callers who are sent for long to daemons that have ended, by one that is not cut off.
func TestLastDaemonNamesNoLostDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := newPeers(3, 3)
		table := &Table{Self: all[0].ID}
		applyHeartbeats(table, all, 1)
		time.Sleep(7 * time.Second)
		require.Equal(t, []string{"10.0.0.0:2"}, table.CallerAddresses(all[0], true))
		require.Len(t, table.CallerAddresses(all[0], false), 3, "without the store it may be cut off itself")
	})
}

func TestDemandIsPeakOfLastSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var d Demand
		require.Zero(t, d.RecentRequests())
		for range 40 {
			d.CountRequest()
		}
		require.Equal(t, 40, d.RecentRequests())
		require.Zero(t, d.PeakRate(), "the interval is not complete")
		time.Sleep(demandInterval)
		require.InDelta(t, 40, float64(d.PeakRate()), 0)
		d.CountRequest()
		time.Sleep(3 * demandInterval)
		require.Zero(t, d.RecentRequests())
		require.InDelta(t, 40, float64(d.PeakRate()), 0)
		time.Sleep(demandIntervals * demandInterval)
		require.Zero(t, d.PeakRate())
	})
}
