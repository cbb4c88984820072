package moves

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// withFleet runs a fleet of three with traffic and a move that begins at once.
func withFleet(t *testing.T, deadline time.Duration, body func(ctx context.Context, t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(7, 3, 30, newTestLog(deadline), "quote", "note")
		ctx, cancel := context.WithCancel(t.Context())
		defer f.wg.Wait()
		defer cancel()
		f.run(ctx)
		body(ctx, t, f)
	})
}

// waitMove waits until the move meets the condition.
func (f *fleet) waitMove(t *testing.T, limit time.Duration, ok func(config.Move) bool) config.Move {
	t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if m := f.log.move(); ok(m) {
			return m
		}
	}
	require.Fail(t, "the move did not reach the expected state in time", "%+v", f.log.move())
	return config.Move{}
}

func (f *fleet) ownerOf(m config.Move) *daemon {
	for _, d := range f.daemons {
		if d.id == m.Owner && !d.isOffline() {
			return d
		}
	}
	return nil
}

func atShare(p ident.Permille) func(config.Move) bool {
	return func(m config.Move) bool { return m.Share == p }
}

func ended(m config.Move) bool { return m.State.Ended() }

// Guards against a move that stalls when its owner crashes, at any step: another daemon takes over in time.
func TestMoveContinuesAfterOwnerCrashAtEachStep(t *testing.T) {
	for _, p := range []ident.Permille{0, 10, 50, 250, 500, 1000} {
		t.Run(fmt.Sprint(p), func(t *testing.T) {
			withFleet(t, time.Minute, func(_ context.Context, t *testing.T, f *fleet) {
				t.Helper()
				m := f.waitMove(t, time.Minute, func(m config.Move) bool { return m.Share == p && m.Owner != "" })
				f.ownerOf(m).crash()
				last := f.waitMove(t, time.Minute, ended)
				require.Equal(t, config.MoveDone, last.State, last.Reason)
				require.NotEqual(t, m.Owner, last.Owner)
				require.Greater(t, last.OwnerEpoch, m.OwnerEpoch)
				require.False(t, time.Now().After(m.Deadline))
			})
		})
	}
}

// Guards against an owner that was paused past its lease and writes a stale decision when it wakes: its record
// conflicts with the next owner's.
func TestStaleOwnerRecordIsRejected(t *testing.T) {
	withFleet(t, 2*time.Minute, func(_ context.Context, t *testing.T, f *fleet) {
		t.Helper()
		m := f.waitMove(t, time.Minute, atShare(50))
		old := f.ownerOf(m)
		old.freeze()
		attempts := f.log.writeAttemptsBy(old.id)
		next := f.waitMove(t, time.Minute, func(now config.Move) bool { return now.Owner != m.Owner })
		require.NotEqual(t, old.id, next.Owner)

		// The owner wakes with its old state and writes what it had decided.
		state := old.state()
		stale, _ := state.Move(testMove)
		changed := *stale
		changed.Share, changed.Step = 1000, 4
		_, err := f.log.Write(t.Context(), config.NewRecord("late", "test", state.Revision(config.PathOf(stale)), &changed))
		var conflict *config.ConflictError
		require.ErrorAs(t, err, &conflict)

		// Without its lease it writes nothing by itself.
		time.Sleep(30 * time.Second)
		require.Equal(t, attempts, f.log.writeAttemptsBy(old.id))

		old.thaw()
		last := f.waitMove(t, 2*time.Minute, ended)
		require.Equal(t, config.MoveDone, last.State)
		require.Equal(t, next.Owner, last.Owner)
		f.requireNoSkippedSteps(t)
	})
}

// requireNoSkippedSteps checks that the share never skipped a step and never fell except by a take-back.
func (f *fleet) requireNoSkippedSteps(t *testing.T) {
	t.Helper()
	last := config.Move{}
	for _, m := range f.log.history {
		if m.State != config.MoveTakenBack {
			require.GreaterOrEqual(t, m.Share, last.Share)
			require.LessOrEqual(t, m.Step, last.Step+1)
		}
		last = m
	}
}

// Guards against a bad version that keeps its traffic while the log is down: no share grows then, every daemon stops
// the version by itself, and the take-back is written when the log is up again.
func TestBadVersionIsStoppedWhileLogIsDown(t *testing.T) {
	withFleet(t, time.Minute, func(_ context.Context, t *testing.T, f *fleet) {
		t.Helper()
		f.waitMove(t, time.Minute, atShare(50))
		f.log.setDown(true)
		time.Sleep(30 * time.Second)
		require.EqualValues(t, 50, f.log.move().Share)
		require.False(t, f.daemons[0].splitter.Stopped(newVersion))

		f.setBehaviour(newVersion, func(r request) answer {
			a := faultEffects["fails"](r, healthyAnswer(r))
			a.faulty = true
			return a
		})
		time.Sleep(8 * time.Second)
		for _, d := range f.daemons {
			require.True(t, d.splitter.Stopped(newVersion))
		}
		require.Less(t, f.faultToLastRequest(), 2*time.Second)
		require.Equal(t, config.MoveRunning, f.log.move().State)

		f.log.setDown(false)
		m := f.waitMove(t, 10*time.Second, ended)
		require.Equal(t, config.MoveTakenBack, m.State)
		require.Contains(t, m.Reason, "failed")
	})
}

// Guards against an operator's take-back that is lost to the owner advancing the move at the same time, whichever
// record comes first in the log.
func TestOperatorTakeBackWinsOverAdvance(t *testing.T) {
	for delay := range 30 {
		withFleet(t, 40*time.Second, func(ctx context.Context, t *testing.T, f *fleet) {
			t.Helper()
			f.waitMove(t, time.Minute, atShare(50))
			time.Sleep(time.Duration(delay) * 100 * time.Millisecond)
			updater := Updater{State: f.log.current, Writer: f.log}
			_, err := updater.Apply(ctx, testMove, "anna", "take", TakeBack{Reason: "quotes look odd"})
			require.NoError(t, err)
			time.Sleep(3 * time.Second)
			m := f.log.move()
			require.Equal(t, config.MoveTakenBack, m.State)
			require.Contains(t, m.Reason, "by anna")
			require.EqualValues(t, 0, m.Share)
		})
	}
}

// Guards against an operator's change that fails because the move was changed since the state it was based on.
func TestUpdaterRetriesAfterConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newTestLog(time.Minute)
		stale := log.current()
		m := log.move()
		m.Share = 10
		log.put(&m)
		staleOnce := func() *config.State {
			defer func() { stale = log.current() }()
			return stale
		}
		updater := Updater{State: staleOnce, Writer: log}
		_, err := updater.Apply(t.Context(), testMove, "anna", "pause", Pause{})
		require.NoError(t, err)
		require.Equal(t, config.MovePaused, log.move().State)
		require.EqualValues(t, 10, log.move().Share)

		_, err = updater.Apply(t.Context(), testMove, "anna", "again", Pause{})
		var state *StateError
		require.ErrorAs(t, err, &state)
		_, err = updater.Apply(t.Context(), "m9", "anna", "none", Pause{})
		var unknown *UnknownMoveError
		require.ErrorAs(t, err, &unknown)
	})
}

// Guards against a paused move that advances, or that doesn't go on when it is resumed.
func TestPausedMoveKeepsShareUntilResumed(t *testing.T) {
	withFleet(t, time.Minute, func(ctx context.Context, t *testing.T, f *fleet) {
		t.Helper()
		f.waitMove(t, time.Minute, atShare(250))
		updater := Updater{State: f.log.current, Writer: f.log}
		_, err := updater.Apply(ctx, testMove, "anna", "pause", Pause{})
		require.NoError(t, err)
		time.Sleep(10 * time.Second)
		require.EqualValues(t, 250, f.log.move().Share)
		_, err = updater.Apply(ctx, testMove, "anna", "resume", Resume{})
		require.NoError(t, err)
		m := f.waitMove(t, time.Minute, ended)
		require.Equal(t, config.MoveDone, m.State)
		require.False(t, time.Now().After(m.Deadline))
	})
}

// Guards against a pause that leaves a bad version in use.
func TestPausedMoveIsStillTakenBack(t *testing.T) {
	withFleet(t, time.Minute, func(ctx context.Context, t *testing.T, f *fleet) {
		t.Helper()
		f.waitMove(t, time.Minute, atShare(250))
		updater := Updater{State: f.log.current, Writer: f.log}
		_, err := updater.Apply(ctx, testMove, "anna", "pause", Pause{})
		require.NoError(t, err)
		f.setBehaviour(newVersion, func(r request) answer { return faultEffects["fails"](r, healthyAnswer(r)) })
		m := f.waitMove(t, 5*time.Second, ended)
		require.Equal(t, config.MoveTakenBack, m.State)
	})
}

// Guards against a deadline that is missed without notice: a move that is paused too long says so in its reason while
// there is still time to act.
func TestLateMoveIsReportedBeforeDeadline(t *testing.T) {
	withFleet(t, 30*time.Second, func(ctx context.Context, t *testing.T, f *fleet) {
		t.Helper()
		f.waitMove(t, time.Minute, atShare(50))
		updater := Updater{State: f.log.current, Writer: f.log}
		_, err := updater.Apply(ctx, testMove, "anna", "pause", Pause{})
		require.NoError(t, err)
		m := f.waitMove(t, 40*time.Second, func(m config.Move) bool {
			return len(m.Reason) > 5 && m.Reason[:len(lateReasonPrefix)] == lateReasonPrefix
		})
		require.True(t, time.Now().Before(m.Deadline))
		_, err = updater.Apply(ctx, testMove, "anna", "deadline", ChangeDeadline{Deadline: time.Now().Add(time.Minute)})
		require.NoError(t, err)
		_, err = updater.Apply(ctx, testMove, "anna", "resume", Resume{})
		require.NoError(t, err)
		m = f.waitMove(t, time.Minute, ended)
		require.Equal(t, config.MoveDone, m.State)
	})
}

// Guards against a good version that never finishes for want of samples: with hardly any traffic it is done on time.
func TestLowTrafficMoveFinishesOnTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3, 3, 0.5, newTestLog(time.Minute), "quote")
		ctx, cancel := context.WithCancel(t.Context())
		f.run(ctx)
		m := f.waitMove(t, time.Minute, ended)
		require.Equal(t, config.MoveDone, m.State)
		cancel()
		f.wg.Wait()
	})
}

// Guards against a model that keeps its old version after the move is done.
func TestDoneMoveSetsCurrentVersion(t *testing.T) {
	withFleet(t, 30*time.Second, func(_ context.Context, t *testing.T, f *fleet) {
		t.Helper()
		f.waitMove(t, time.Minute, ended)
		time.Sleep(time.Second)
		model, _ := f.log.current().Model(testModel)
		require.Equal(t, newVersion, model.CurrentVersion)
		require.Equal(t, newVersion, f.daemons[0].splitter.Version(SplitKey{Model: testModel, Route: "quote", RequestID: "r"}))
	})
}

// Guards against sending traffic to a version that too few engines have loaded.
func TestShareWaitsForEngineCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3, 3, 20, newTestLog(time.Minute), "quote")
		for _, d := range f.daemons {
			d.controller.HasCapacity = func(_ *config.Move, p ident.Permille) bool { return p <= 50 }
		}
		ctx, cancel := context.WithCancel(t.Context())
		f.run(ctx)
		time.Sleep(50 * time.Second)
		require.EqualValues(t, 50, f.log.move().Share)
		cancel()
		f.wg.Wait()
	})
}
