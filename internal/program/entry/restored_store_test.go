package entry

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

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
