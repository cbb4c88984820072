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

// bubble is a test whose clock is paused.
type bubble struct{ *testing.T }

func with(t *testing.T, s *Service, test func(t bubble)) {
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

func tail(t *testing.T, s *Service) ident.Offset {
	t.Helper()
	batch, err := s.Read(t.Context(), "control", 1, 1)
	require.NoError(t, err)
	return batch.Tail
}

func TestAnySecondTakesTheRateOnly(t *testing.T) {
	s := &Service{AppendsPerSecond: 300}
	with(t, s, func(t bubble) {
		var taken []time.Time
		for range 4000 {
			if _, err := s.Append(t.Context(), "claims", nil); err == nil {
				taken = append(taken, time.Now())
			} else {
				require.Equal(t, extern.LogRefused, kindOf(t.T, err))
			}
			time.Sleep(time.Millisecond)
		}
		for i := 300; i < len(taken); i++ {
			require.GreaterOrEqual(t, taken[i].Sub(taken[i-300]), time.Second)
		}
		require.GreaterOrEqual(t, len(taken), 1200, "the rate is granted")
	})
}

func TestRecordsExpire(t *testing.T) {
	s := &Service{MaxAge: time.Minute}
	with(t, s, func(t bubble) {
		for range 3 {
			_, err := s.Append(t.Context(), "control", nil)
			require.NoError(t, err)
			time.Sleep(40 * time.Second)
		}
		_, err := s.Read(t.Context(), "control", 1, 10)
		require.Equal(t, extern.LogExpired, kindOf(t.T, err))
		time.Sleep(time.Hour)
		batch, err := s.Read(t.Context(), "control", 3, 10)
		require.NoError(t, err, "the newest record stays")
		require.Equal(t, extern.LogBatch{Entries: []extern.LogEntry{{Offset: 3}}, First: 3, Tail: 3}, batch)
	})
}

func TestAppendTakesEffectLate(t *testing.T) {
	s := &Service{}
	with(t, s, func(t bubble) {
		require.NoError(t, s.SetFaults(Faults{Late: 1, LateBy: 30 * time.Second}))
		_, err := s.Append(t.Context(), "control", []byte("late"))
		require.Equal(t, extern.LogUnknown, kindOf(t.T, err))
		require.NoError(t, s.SetFaults(Faults{}))
		offset, err := s.Append(t.Context(), "control", []byte("next"))
		require.NoError(t, err)
		require.Equal(t, ident.Offset(1), offset)
		time.Sleep(29 * time.Second)
		require.Equal(t, ident.Offset(1), tail(t.T, s))
		time.Sleep(2 * time.Second)
		require.Equal(t, ident.Offset(2), tail(t.T, s))
	})
}

func TestSlowAppendIsAnsweredAfterItsEffect(t *testing.T) {
	s := &Service{}
	with(t, s, func(t bubble) {
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
		require.Equal(t, ident.Offset(2), tail(t.T, s), "the first took effect, too")
	})
}

func TestReadIsAsOfItsStart(t *testing.T) {
	s := &Service{}
	with(t, s, func(t bubble) {
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

func TestHangingCallsGoOnAfterTheOutage(t *testing.T) {
	s := &Service{}
	with(t, s, func(t bubble) {
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

func TestCloseDropsWhatIsLate(t *testing.T) {
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
