package daemon

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/gooseberryway/gooseberryway/internal/coordination/claim"
	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// fleetState is a configuration state to which member records are applied.
type fleetState struct {
	t     require.TestingT
	state *config.State
}

func (f *fleetState) set(i int, s config.MemberState) { f.setIn("riga-1", i, s) }

func (f *fleetState) setIn(domain ident.FailureDomain, i int, s config.MemberState) {
	id := ident.DaemonID(fmt.Sprintf("d%d", i))
	path := config.PathOf(&config.Member{ID: id})
	m := &config.Member{
		ID: id, Incarnation: ident.Incarnation(f.state.Offset()) + 1, CallerAddress: "127.0.0.1:1", PeerAddress: "127.0.0.1:2",
		AdminAddress: "127.0.0.1:3", FailureDomain: domain, State: s,
	}
	offset := f.state.Offset() + 1
	rec := config.NewRecord(ident.RecordID(fmt.Sprint(offset)), "test", f.state.Revision(path), m)
	next, err := f.state.Apply(offset, rec)
	require.NoError(f.t, err)
	f.state = next
}

// Guards against an epoch that does not fence off the former owner of a slice: the epoch must grow with each change of the
// owner, in whatever order daemons leave and rejoin.
func TestSliceEpochGrowsOnOwnerChange(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := &fleetState{t: rt, state: config.NewState()}
		const daemons = 4
		joined := [daemons]bool{}
		lastOwnership := map[claim.Slice]claim.Ownership{}
		for range 12 {
			i := rapid.IntRange(0, daemons-1).Draw(rt, "daemon")
			s := config.MemberJoined
			if joined[i] {
				s = config.MemberRemoved
			}
			joined[i] = !joined[i]
			f.set(i, s)
			members := newSliceMembers(f.state)
			for slice := range claim.Slice(8) {
				ownership := members.owner(slice)
				if ownership.Owner != lastOwnership[slice].Owner && ownership.Owner != "" {
					require.Greater(rt, ownership.Epoch, lastOwnership[slice].Epoch)
				}
				if ownership.Owner != "" {
					lastOwnership[slice] = ownership
				}
			}
		}
	})
}

// Guards against losing claims when a failure domain fails: the owner and the backup of a slice must be in different ones if
// more than one has a daemon.
func TestSliceBackupIsInAnotherFailureDomain(t *testing.T) {
	f := &fleetState{t: t, state: config.NewState()}
	domains := map[ident.DaemonID]ident.FailureDomain{}
	check := func(inOtherDomain bool) {
		slices := newSliceMembers(f.state)
		for s := range claim.Slice(claim.Slices) {
			ownership := slices.owner(s)
			require.NotEmpty(t, ownership.Backup)
			require.NotEqual(t, ownership.Owner, ownership.Backup)
			require.Equal(t, inOtherDomain, domains[ownership.Owner] != domains[ownership.Backup], "slice %d", s)
		}
	}
	for i := range 6 {
		domain := ident.FailureDomain(fmt.Sprint("riga-", i%3))
		domains[ident.DaemonID(fmt.Sprint("d", i))] = domain
		f.setIn(domain, i, config.MemberJoined)
	}
	check(true)
	for _, i := range []int{1, 2, 4, 5} {
		f.setIn(domains[ident.DaemonID(fmt.Sprint("d", i))], i, config.MemberRemoved)
	}
	check(false)
}

// Guards against two owners of a slice at the same time, when some daemons have applied a change of members and others
// have not.
func TestSliceHasNoOwnerUntilNewOwnerIsInForce(t *testing.T) {
	f := &fleetState{t: t, state: config.NewState()}
	f.set(0, config.MemberJoined)
	f.set(1, config.MemberJoined)
	before := f.state
	var o ownershipTable
	o.update(before, before)
	owned := map[ident.DaemonID]int{}
	for s := range claim.Slice(claim.Slices) {
		owned[o.lookup(s).Owner]++
	}
	require.Positive(t, owned["d0"])
	require.Positive(t, owned["d1"])

	f.set(1, config.MemberRemoved)
	o.update(f.state, before)
	for s := range claim.Slice(claim.Slices) {
		require.NotEqual(t, ident.DaemonID("d1"), o.lookup(s).Owner, "a removed daemon loses its slices at once")
		require.Contains(t, []ident.DaemonID{"", "d0"}, o.lookup(s).Owner)
	}
	o.update(f.state, f.state)
	require.Equal(t, ident.DaemonID("d0"), o.lookup(0).Owner)
}
