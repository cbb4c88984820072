package logsvc

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// bubble is a test that runs in a synctest bubble, whose clock advances only while all goroutines wait.
type bubble struct{ *testing.T }

func runInBubble(t *testing.T, s *Service, test func(t bubble)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		test(bubble{t})
		require.NoError(t, s.Close())
	})
}

func kindOf(t *testing.T, err error) extern.LogErrorKind {
	t.Helper()
	var logErr *extern.LogError
	require.ErrorAs(t, err, &logErr)
	return logErr.Kind
}

func readTail(t *testing.T, s *Service) ident.Offset {
	t.Helper()
	batch, err := s.Read(t.Context(), "control", 1, 1)
	require.NoError(t, err)
	return batch.Tail
}

// The limit holds for each second, also for one that spans two seconds of the clock: a counter that is reset every
// second would accept twice the rate around the reset.
func TestAppendsAreRateLimitedInAnySecond(t *testing.T) {
	s := &Service{AppendsPerSecond: 300}
	runInBubble(t, s, func(t bubble) {
		var accepted []time.Time
		for range 4000 {
			if _, err := s.Append(t.Context(), "claims", nil); err == nil {
				accepted = append(accepted, time.Now())
			} else {
				require.Equal(t, extern.LogRefused, kindOf(t.T, err))
			}
			time.Sleep(time.Millisecond)
		}
		for i := 300; i < len(accepted); i++ {
			require.GreaterOrEqual(t, accepted[i].Sub(accepted[i-300]), time.Second)
		}
		require.GreaterOrEqual(t, len(accepted), 1200, "appends within the rate limit are accepted")
	})
}

func TestRecordsButTheNewestExpireAfterMaxAge(t *testing.T) {
	s := &Service{MaxAge: time.Minute}
	runInBubble(t, s, func(t bubble) {
		for range 3 {
			_, err := s.Append(t.Context(), "control", nil)
			require.NoError(t, err)
			time.Sleep(40 * time.Second)
		}
		_, err := s.Read(t.Context(), "control", 1, 10)
		require.Equal(t, extern.LogExpired, kindOf(t.T, err))
		time.Sleep(time.Hour)
		batch, err := s.Read(t.Context(), "control", 3, 10)
		require.NoError(t, err, "the newest record is kept")
		require.Equal(t, extern.LogBatch{Entries: []extern.LogEntry{{Offset: 3}}, First: 3, Tail: 3}, batch)
	})
}

// A late append fails for the client and takes effect later, after appends that began after it.
func TestLateAppendTakesEffectAfterItsFailure(t *testing.T) {
	s := &Service{}
	runInBubble(t, s, func(t bubble) {
		require.NoError(t, s.SetFaults(Faults{Late: 1, LateBy: 30 * time.Second}))
		_, err := s.Append(t.Context(), "control", []byte("late"))
		require.Equal(t, extern.LogUnknown, kindOf(t.T, err))
		require.NoError(t, s.SetFaults(Faults{}))
		offset, err := s.Append(t.Context(), "control", []byte("next"))
		require.NoError(t, err)
		require.Equal(t, ident.Offset(1), offset)
		time.Sleep(29 * time.Second)
		require.Equal(t, ident.Offset(1), readTail(t.T, s))
		time.Sleep(2 * time.Second)
		require.Equal(t, ident.Offset(2), readTail(t.T, s))
	})
}

// A delayed append takes effect after half of the delay, even if its client has given up by then, and responds after
// the whole delay.
func TestDelayedAppendRespondsAfterItsEffect(t *testing.T) {
	s := &Service{}
	runInBubble(t, s, func(t bubble) {
		require.NoError(t, s.SetFaults(Faults{Delay: 10 * time.Second}))
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		_, err := s.Append(ctx, "control", nil)
		require.Equal(t, extern.LogUnknown, kindOf(t.T, err))
		started := time.Now()
		_, err = s.Append(t.Context(), "control", nil)
		require.NoError(t, err)
		require.Equal(t, 10*time.Second, time.Since(started))
		require.NoError(t, s.SetFaults(Faults{}))
		require.Equal(t, ident.Offset(2), readTail(t.T, s), "the append that timed out took effect as well")
	})
}

// A slow read must be able to return stale records: it must not see an append that comes during its delay.
func TestDelayedReadReturnsStateAtItsStart(t *testing.T) {
	s := &Service{}
	runInBubble(t, s, func(t bubble) {
		require.NoError(t, s.SetFaults(Faults{Delay: 2 * time.Second}))
		seen := make(chan ident.Offset)
		go func() {
			batch, _ := s.Read(t.Context(), "control", 1, 10)
			seen <- batch.Tail
		}()
		synctest.Wait()
		s.store("control", nil)
		require.Zero(t, <-seen)
	})
}

func TestHangingCallsResumeAfterOutage(t *testing.T) {
	s := &Service{}
	runInBubble(t, s, func(t bubble) {
		require.NoError(t, s.SetFaults(Faults{Mode: ModeHanging}))
		done := make(chan error, 1)
		go func() {
			_, err := s.Append(t.Context(), "control", nil)
			done <- err
		}()
		time.Sleep(10 * time.Minute)
		require.Empty(t, done)
		require.NoError(t, s.SetFaults(Faults{}))
		require.NoError(t, <-done)
	})
}

func TestCloseCancelsLateAppends(t *testing.T) {
	s := &Service{}
	synctest.Test(t, func(t *testing.T) {
		require.NoError(t, s.SetFaults(Faults{Late: 1, LateBy: time.Hour}))
		_, err := s.Append(t.Context(), "control", nil)
		require.Error(t, err)
		require.NoError(t, s.Close())
		time.Sleep(2 * time.Hour)
		require.Zero(t, s.Stats().Appends)
	})
}
