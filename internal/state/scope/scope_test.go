package scope

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestCloseCancelsAndWaitsForGoroutines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var s Scope
		ctx, leave := s.Enter(t.Context())
		ended := false
		s.Go(func() {
			defer leave()
			<-ctx.Done()
			time.Sleep(time.Second)
			ended = true
		})
		s.Close()
		require.True(t, ended)
	})
}

func TestEnterAfterCloseReturnsCancelledContext(t *testing.T) {
	var s Scope
	s.Close()
	ctx, leave := s.Enter(context.Background())
	defer leave()
	require.Error(t, ctx.Err())
	s.Go(func() { t.Error("started after Close") })
	s.Close()
}

func TestCloseCancelsContext(t *testing.T) {
	var s Scope
	ctx := s.Context()
	require.NoError(t, ctx.Err())
	require.True(t, s.Go(func() { <-ctx.Done() }))
	s.Close()
	require.ErrorIs(t, ctx.Err(), context.Canceled)
	require.False(t, s.Go(func() { t.Error("started after Close") }))

	var closed Scope
	closed.Close()
	require.ErrorIs(t, closed.Context().Err(), context.Canceled)
}
