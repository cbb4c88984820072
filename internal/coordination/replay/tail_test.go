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

// staleReadLog is a log service whose reads return no entries and the tail staleTail while that is not 0.
type staleReadLog struct {
	extern.Log
	staleTail ident.Offset
}

func (l *staleReadLog) Read(ctx context.Context, s extern.Stream, from ident.Offset, limit int) (extern.LogBatch, error) {
	if l.staleTail > 0 {
		return extern.LogBatch{First: 1, Tail: l.staleTail}, nil
	}
	return l.Log.Read(ctx, s, from, limit)
}

// A read whose tail is below the applied offset comes from a copy of the log that lags, so it does not show that there
// are no newer records. If it renewed the lease, the daemon could accept an API key that has been withdrawn.
func TestReadEndingBelowAppliedOffsetIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &fakes.Log{}
		defer log.Close()
		d := newDaemon(log, "a", nil)
		stale := &staleReadLog{Log: d.client}
		d.follower.Log = stale
		for value := range 3 {
			_, err := d.client.Append(t.Context(), extern.StreamControl, []byte{byte(value)})
			require.NoError(t, err)
		}
		require.NoError(t, d.follower.readTail(t.Context()))
		before := d.follower.TailReadStarted()
		require.False(t, before.IsZero())

		stale.staleTail = 2
		time.Sleep(time.Second)
		err := d.follower.readTail(t.Context())
		require.Equal(t, &StaleTailError{Tail: 2, Applied: 3}, err)
		require.Equal(t, before, d.follower.TailReadStarted())
		require.Equal(t, ident.Offset(3), d.follower.State().Offset())

		stale.staleTail = 3
		require.NoError(t, d.follower.readTail(t.Context()))
		require.True(t, d.follower.TailReadStarted().After(before))
	})
}
