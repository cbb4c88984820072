package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/coordination/poison"
	"github.com/gooseberryway/gooseberryway/platform/standin"
)

// Guards against configurations that are taken for older ones because the store returned from an older copy.
func TestConfigurationAfterRestoreOfStoreIsApplied(t *testing.T) {
	f := newTestFleet(t)
	f.configure(1, "first")
	f.startUpstream("app", &standin.Upstream{ID: "a1"})
	for i := range 3 {
		f.start(fmt.Sprint("d", i), nil)
	}
	f.ready(1)
	older := f.store.Copy()
	for version := 2; version <= 6; version++ {
		f.configure(version, "second")
	}
	f.atVersion(6)
	f.store.Restore(older)
	f.configure(6, "second")
	f.configure(7, "third")
	f.atVersion(7)
	for i, d := range f.daemons {
		require.Equal(t, 200, f.call(d, "/lookup/x", fmt.Sprint("r", i), "third", "").StatusCode)
	}
}

// atVersion waits until all daemons have a version of the configuration.
func (f *testFleet) atVersion(version int64) {
	f.t.Helper()
	f.eventually(func() bool {
		for _, d := range f.daemons {
			if c := d.snapshots.Config(); c == nil || c.Version != version {
				return false
			}
		}
		return true
	}, fmt.Sprint("version ", version, " is not in force"))
}

// Guards against a daemon that starts just after the restore, before operators have written again, and serves an older
// configuration than its peers.
func TestDaemonStartedAfterRestoreServesNewestConfiguration(t *testing.T) {
	f := newTestFleet(t)
	f.configure(1, "first")
	f.startUpstream("app", &standin.Upstream{ID: "a1"})
	f.start("d0", nil)
	f.start("d1", nil)
	f.ready(1)
	older := f.store.Copy()
	f.configure(2, "second")
	f.atVersion(2)
	f.daemons[1].stop()
	f.store.Restore(older)
	f.daemons = f.daemons[:1]
	f.start("d2", nil)
	f.atVersion(2)
	f.configure(3, "third")
	f.atVersion(3)
}

// Guards against records of the system itself that stay lost: addresses of daemons and quarantines.
func TestSystemWritesItsRecordsAgainAfterRestore(t *testing.T) {
	f := newTestFleet(t)
	f.configure(1, "first")
	f.startUpstream("app", &standin.Upstream{ID: "a1"})
	older := f.store.Copy()
	for i := range 3 {
		f.start(fmt.Sprint("d", i), nil)
	}
	f.ready(1)
	set := poison.Set{1, 2}
	f.daemons[0].detector.Apply(poison.News{Quarantines: []poison.Quarantine{{Subjects: set, Strikes: 1, Since: time.Now()}}})
	written := func() bool {
		for i := range 3 {
			if len(f.store.Newest("keyed.members", fmt.Sprint("d", i))) == 0 {
				return false
			}
		}
		return len(f.store.Newest("keyed.quarantines", set.Key())) > 0
	}
	f.eventually(written, "not written")
	f.store.Restore(older)
	require.False(t, written())
	f.configure(1, "first")
	f.eventually(written, "not written again")
}
