package replay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/standin/fakes"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// forgetful is a log service whose reads end at an old tail while it is set.
type forgetful struct {
	extern.Log
	tail ident.Offset
}

func (l *forgetful) Read(ctx context.Context, s extern.Stream, from ident.Offset, limit int) (extern.LogBatch, error) {
	if l.tail > 0 {
		return extern.LogBatch{First: 1, Tail: l.tail}, nil
	}
	return l.Log.Read(ctx, s, from, limit)
}

// A read that ends below what was applied comes from a copy that lags, so it proves nothing about newer records: a
// lease that rested on it would let a withdrawn key in.
func TestAReadBelowWhatWasAppliedIsNoReadOfTheTail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &fakes.Log{}
		defer log.Close()
		d := newDaemon(log, "a", nil)
		stale := &forgetful{Log: d.client}
		d.follower.Log = stale
		for value := range 3 {
			_, err := d.client.Append(t.Context(), extern.StreamControl, []byte{byte(value)})
			require.NoError(t, err)
		}
		require.NoError(t, d.follower.readTail(t.Context()))
		before := d.follower.TailReadStarted()
		require.False(t, before.IsZero())

		stale.tail = 2
		time.Sleep(time.Second)
		err := d.follower.readTail(t.Context())
		require.Equal(t, &StaleTailError{Tail: 2, Applied: 3}, err)
		require.Equal(t, before, d.follower.TailReadStarted())
		require.Equal(t, ident.Offset(3), d.follower.State().Offset())

		stale.tail = 3
		require.NoError(t, d.follower.readTail(t.Context()))
		require.True(t, d.follower.TailReadStarted().After(before))
	})
}
