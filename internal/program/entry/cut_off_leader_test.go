package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// leader returns the daemon that leads, or nil.
func (f *testFleet) leader() *testDaemon {
	for _, d := range f.daemons {
		if d.elector.Term() > 0 {
			return d
		}
	}
	return nil
}

// Guards against weights that aren't loaded because their leader reaches no engine.
func TestLeaderCutOffFromUpstreamsResigns(t *testing.T) {
	t.Parallel()
	f := newStrandedFleet(t, 3, nil)
	f.eventually(func() bool { return f.leader() != nil }, "no leader")
	first := f.leader()
	first.link.set(linkResets, nil)
	f.eventually(func() bool {
		for _, path := range routePaths {
			f.try(first, path)
		}
		now := f.leader()
		return now != nil && now != first
	}, "no other daemon leads")
	require.False(t, first.mayLead())
	first.link.set(linkUp, nil)
	f.eventually(first.mayLead, "it reaches as much as its peers, and the lease has passed")
	require.Zero(t, first.elector.Term(), "the other daemon still leads")
}

// Guards against leaders that resign one after the other because they are the first to find engines down, which are down for all.
func TestLeaderOfEnginesThatAreDownStays(t *testing.T) {
	t.Parallel()
	f := newStrandedFleet(t, 7, nil)
	f.eventually(func() bool { return f.leader() != nil }, "no leader")
	first := f.leader()
	for _, u := range f.upstreams {
		if u.Model != "" {
			u.Close()
		}
	}
	for started := time.Now(); time.Since(started) < 5*time.Second; time.Sleep(500 * time.Millisecond) {
		f.try(first, "/note/x")
		require.NotZero(t, first.elector.Term())
	}
	require.Contains(t, first.placer.UnreachableServices(), first.snapshots.Config().Route("h.example", "/note/x").Shares[0].Service)
}
