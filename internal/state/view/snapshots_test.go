package view

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestTheEarliestTimeAtWhichAVersionWasSeenCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &Snapshots{}
		b.SetWeights(Weights{Model: "m", Version: 2, NamedAt: time.Now(), NamedAtObserved: true})
		named := time.Now().Add(5 * time.Second)
		// The daemon stands still while version 3 is named, and sees it when it goes on.
		time.Sleep(8 * time.Second)
		b.SetWeights(Weights{Model: "m", Version: 3, NamedAt: time.Now(), NamedAtObserved: true})
		b.SetWeightsNamedAt("m", 3, named)
		w, _ := b.Weights("m")
		require.Equal(t, named, w.NamedAt)
		at, replaced := w.ReplacedAt(2)
		require.True(t, replaced)
		require.Equal(t, named, at)

		b.SetWeightsNamedAt("m", 3, time.Now())
		w, _ = b.Weights("m")
		require.Equal(t, named, w.NamedAt, "a peer that saw it later")
		b.SetWeightsNamedAt("m", 4, named.Add(-time.Second))
		w, _ = b.Weights("m")
		require.Equal(t, named, w.NamedAt, "another version")
	})
}

func TestATimeThatWasSeenReplacesAGuess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &Snapshots{}
		b.SetWeights(Weights{Model: "m", Version: 2, NamedAt: time.Now().Add(-time.Minute)})
		seen := time.Now().Add(-time.Second)
		b.SetWeightsNamedAt("m", 2, seen)
		w, _ := b.Weights("m")
		require.True(t, w.NamedAtObserved)
		require.Equal(t, seen, w.NamedAt)
	})
}
