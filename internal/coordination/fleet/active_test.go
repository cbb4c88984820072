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
	strong = RequestsPerSecond(320)
	weak   = RequestsPerSecond(20)
)

// crowd returns daemons in turns over four failure domains, the first of them strong.
func crowd(strongOnes, all int) []Peer {
	var out []Peer
	for i := range all {
		p := Peer{
			ID: ident.DaemonID(fmt.Sprintf("d%03d", i)), Incarnation: 1, PeerAddress: fmt.Sprintf("10.0.0.%d:1", i),
			CallerAddress: fmt.Sprintf("10.0.0.%d:2", i), Domain: ident.FailureDomain(fmt.Sprintf("z%d", i%4)),
			Ready: true, Capacity: weak, HeartbeatPeriod: restPeriod,
		}
		if i < strongOnes {
			p.Capacity = strong
		}
		out = append(out, p)
	}
	return out
}

func hear(t *Table, peers []Peer, sequence uint64) {
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

func TestCallersGoToTheStrongestDaemons(t *testing.T) {
	all := crowd(8, 87)
	for _, self := range []int{0, 5, 40, 86} {
		table := &Table{Self: all[self].ID}
		hear(table, all, 1)
		require.Equal(t, ids(all[:8]), ids(table.Active(all[self])), "seen from %d", self)
	}
}

func TestActiveDaemonsFollowTheDemand(t *testing.T) {
	for name, c := range map[string]struct {
		strong, all int
		demand      RequestsPerSecond
		want        int
	}{
		"a small fleet is active whole":                {8, 8, 100, 8},
		"no demand":                                    {8, 87, 0, 8},
		"what eight strong ones carry":                 {8, 87, 640, 8},
		"few strong ones rather than many weak ones":   {6, 85, 640, 6},
		"weak ones while they carry it":                {0, 40, 60, 8},
		"more weak ones for more demand":               {0, 40, 150, 15},
		"all if that is not enough":                    {0, 40, 10000, 40},
		"the strong ones if nothing is enough":         {8, 87, 5000, 8},
		"three daemons are all needed":                 {1, 3, 1, 3},
		"capacities that are not known bind nobody":    {-1, 20, 100, 20},
		"a third of the strong ones lost with demand":  {5, 84, 640, 5},
		"all strong ones lost: as many weak as needed": {0, 79, 400, 40},
	} {
		t.Run(name, func(t *testing.T) {
			all := crowd(c.strong, c.all)
			if c.strong < 0 {
				for i := range all {
					all[i].Capacity = 0
				}
			}
			all[0].Demand = c.demand
			table := &Table{Self: all[0].ID}
			hear(table, all, 1)
			require.Len(t, table.Active(all[0]), c.want)
		})
	}
}

func TestActiveDaemonsAreSpreadOverFailureDomains(t *testing.T) {
	all := crowd(0, 40)
	for i := range all {
		// Most daemons are in one domain, which has the first ids.
		if i < 34 {
			all[i].Domain = "z0"
		}
	}
	table := &Table{Self: all[0].ID}
	hear(table, all, 1)
	domains := map[ident.FailureDomain]int{}
	for _, p := range table.Active(all[0]) {
		domains[p.Domain]++
	}
	require.Len(t, domains, 4)
	require.LessOrEqual(t, domains["z0"], 5)
}

func TestDaemonsThatAreSilentOrLeaveAreReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := crowd(4, 20)
		table := &Table{Self: all[19].ID}
		hear(table, all, 1)
		time.Sleep(restPeriod)
		all[2].Leaving = true
		hear(table, append(all[:1:1], all[2:]...), 2)
		require.Contains(t, ids(table.Active(all[19])), "d001", "one lost beat is no silence")
		require.NotContains(t, ids(table.Active(all[19])), "d002")
		for i := range 4 {
			time.Sleep(restPeriod)
			hear(table, all[2:], uint64(i)+3)
		}
		active := ids(table.Active(all[19]))
		require.NotContains(t, active, "d000")
		require.NotContains(t, active, "d001")
		require.Len(t, active, leastActive)
	})
}

func TestAVouchedDaemonLivesWhileOthersHearIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := crowd(2, 2)
		table := &Table{Self: "x"}
		table.ApplyPeerReport(all[0])
		now := time.Now()
		p := table.All()[0]
		require.True(t, p.Alive(now) && p.ReportedByPeer && p.Ready)
		require.True(t, table.ApplyHeartbeat(all[0], 7))
		table.ApplyPeerReport(all[0])
		require.False(t, table.All()[0].ReportedByPeer, "its own beat counts more")
		require.False(t, table.ApplyHeartbeat(all[0], 6), "an old beat")
		time.Sleep(4 * restPeriod)
		now = time.Now()
		p = table.All()[0]
		require.False(t, p.Alive(now))
		table.ApplyPeerReport(all[0])
		require.False(t, table.ApplyHeartbeat(all[0], 7), "a beat that was heard before")
	})
}

func TestTheAddressOfASilentDaemonIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := crowd(1, 1)
		table := &Table{Self: "x"}
		hear(table, all, 3)
		time.Sleep(knownFor + time.Second)
		require.Equal(t, []ident.DaemonID{"d000"}, table.Expire())
		require.Equal(t, 1, table.RecentCount())
		require.Len(t, table.All(), 1)
		require.Empty(t, table.Expire())
		require.True(t, table.ApplyHeartbeat(all[0], 4))
	})
}

func TestADaemonThatHearsNobodyNamesAllThatItKnows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := crowd(3, 3)
		table := &Table{Self: all[0].ID}
		hear(table, all, 1)
		time.Sleep(4 * restPeriod)
		require.ElementsMatch(t, []string{"10.0.0.0:2", "10.0.0.1:2", "10.0.0.2:2"}, table.CallerAddresses(all[0]))
	})
}

func TestDemandIsThePeakOfTheLastSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var d Demand
		require.Zero(t, d.RecentRequests())
		for range 40 {
			d.CountRequest()
		}
		require.Equal(t, 40, d.RecentRequests())
		require.Zero(t, d.PeakRate(), "the step is not over")
		time.Sleep(demandStep)
		require.InDelta(t, 40, float64(d.PeakRate()), 0)
		d.CountRequest()
		time.Sleep(3 * demandStep)
		require.Zero(t, d.RecentRequests())
		require.InDelta(t, 40, float64(d.PeakRate()), 0)
		time.Sleep(demandSteps * demandStep)
		require.Zero(t, d.PeakRate())
	})
}
