package entry

import (
	"testing"

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
