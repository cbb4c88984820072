package view

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// A daemon that was paused while a version was named records the time too late, and so would let engines run the old
// version for too long. It must adopt the earlier time that a peer observed, and no later one.
func TestSetWeightsNamedAtKeepsEarliestTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &Snapshots{}
		s.SetWeights(Weights{Model: "m", Version: 2, NamedAt: time.Now(), NamedAtObserved: true})
		namedAt := time.Now().Add(5 * time.Second)
		// The daemon is paused while version 3 is named and learns of it 3 s later.
		time.Sleep(8 * time.Second)
		s.SetWeights(Weights{Model: "m", Version: 3, NamedAt: time.Now(), NamedAtObserved: true})
		s.SetWeightsNamedAt("m", 3, namedAt)
		w, _ := s.Weights("m")
		require.Equal(t, namedAt, w.NamedAt)
		at, replaced := w.ReplacedAt(2)
		require.True(t, replaced)
		require.Equal(t, namedAt, at)

		s.SetWeightsNamedAt("m", 3, time.Now())
		w, _ = s.Weights("m")
		require.Equal(t, namedAt, w.NamedAt, "later observation of a peer")
		s.SetWeightsNamedAt("m", 4, namedAt.Add(-time.Second))
		w, _ = s.Weights("m")
		require.Equal(t, namedAt, w.NamedAt, "observation of another version")
	})
}

// A daemon estimates when a version was named if it reads the version from the list at its start. The time that a peer
// observed must replace the estimate even though it is later.
func TestSetWeightsNamedAtReplacesEstimateWithObservedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &Snapshots{}
		s.SetWeights(Weights{Model: "m", Version: 2, NamedAt: time.Now().Add(-time.Minute)})
		observed := time.Now().Add(-time.Second)
		s.SetWeightsNamedAt("m", 2, observed)
		w, _ := s.Weights("m")
		require.True(t, w.NamedAtObserved)
		require.Equal(t, observed, w.NamedAt)
	})
}

// Guards against a daemon that starts and takes the time at which the newest version was named for that at which all older ones were
// replaced: a version in between, of which it knows nothing, has replaced the older ones before.
func TestVersionsBeforeUnknownOnesWereReplacedLongAgo(t *testing.T) {
	named := time.Now()
	w := &Weights{Version: 3, NamedAt: named, NamedAtObserved: true}
	at, replaced := w.ReplacedAt(2)
	require.True(t, replaced)
	require.Equal(t, named, at)
	at, replaced = w.ReplacedAt(1)
	require.True(t, replaced)
	require.Greater(t, named.Sub(at), 24*time.Hour)
	// A daemon that saw version 1 replaced by version 3 knows when that was.
	w.Previous = []NamedVersion{{Version: 1, NamedAt: named.Add(-time.Minute)}}
	at, _ = w.ReplacedAt(1)
	require.Equal(t, named, at)
}
