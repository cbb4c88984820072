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
	require.Fail(t, "the move did not get there", "%+v", f.log.move())
	return config.Move{}
}

func (f *fleet) owner(m config.Move) *daemon {
	for _, d := range f.daemons {
		if d.id == m.Owner && !d.isGone() {
			return d
		}
	}
	return nil
}

func atShare(p ident.Permille) func(config.Move) bool {
	return func(m config.Move) bool { return m.Share == p }
}

func ended(m config.Move) bool { return m.State.Ended() }

// A move goes on under the next owner when its owner crashes, at every step.
func TestOwnerCrashesAtEachStep(t *testing.T) {
	for _, p := range []ident.Permille{0, 10, 50, 250, 500, 1000} {
		t.Run(fmt.Sprint(p), func(t *testing.T) {
			withFleet(t, time.Minute, func(_ context.Context, t *testing.T, f *fleet) {
				t.Helper()
				m := f.waitMove(t, time.Minute, func(m config.Move) bool { return m.Share == p && m.Owner != "" })
				f.owner(m).crash()
				last := f.waitMove(t, time.Minute, ended)
				require.Equal(t, config.MoveDone, last.State, last.Reason)
				require.NotEqual(t, m.Owner, last.Owner)
				require.Greater(t, last.OwnerEpoch, m.OwnerEpoch)
				require.False(t, time.Now().After(m.Deadline))
			})
		})
	}
}

// An owner that was paused past its lease finds its record refused when it wakes.
func TestPausedOwnerCannotAdvance(t *testing.T) {
	withFleet(t, 2*time.Minute, func(_ context.Context, t *testing.T, f *fleet) {
		t.Helper()
		m := f.waitMove(t, time.Minute, atShare(50))
		old := f.owner(m)
		old.freeze()
		tried := f.log.triedBy(old.id)
		next := f.waitMove(t, time.Minute, func(now config.Move) bool { return now.Owner != m.Owner })
		require.NotEqual(t, old.id, next.Owner)

		// It wakes with the lease it believes to hold and its old view, and writes what it had decided.
		state := old.state()
		stale, _ := state.Move(testMove)
		changed := *stale
		changed.Share, changed.Step = 1000, 4
		_, err := f.log.Write(t.Context(), config.NewRecord("late", "test", state.Revision(config.PathOf(stale)), &changed))
		var conflict *config.ConflictError
		require.ErrorAs(t, err, &conflict)

		// Without its lease it tries nothing by itself.
		time.Sleep(30 * time.Second)
		require.Equal(t, tried, f.log.triedBy(old.id))

		old.thaw()
		last := f.waitMove(t, 2*time.Minute, ended)
		require.Equal(t, config.MoveDone, last.State)
		require.Equal(t, next.Owner, last.Owner)
		f.checkSteps(t)
	})
}

// checkSteps checks that the share never skipped a step or fell but for a take-back.
func (f *fleet) checkSteps(t *testing.T) {
	t.Helper()
	last := config.Move{}
	for _, m := range f.log.moves {
		if m.State != config.MoveTakenBack {
			require.GreaterOrEqual(t, m.Share, last.Share)
			require.LessOrEqual(t, m.Step, last.Step+1)
		}
		last = m
	}
}

// While the log is down no share grows, and a version that turns bad is stopped by every daemon all the same; the
// take-back is written when the log is up again.
func TestLogDownForTheWholeOfAMove(t *testing.T) {
	withFleet(t, time.Minute, func(_ context.Context, t *testing.T, f *fleet) {
		t.Helper()
		f.waitMove(t, time.Minute, atShare(50))
		f.log.setDown(true)
		time.Sleep(30 * time.Second)
		require.EqualValues(t, 50, f.log.move().Share)
		require.False(t, f.daemons[0].splitter.Stopped(newV))

		f.setAnswer(newV, func(r request) answer {
			a := spoils["fails"](r, healthy(r))
			a.faulty = true
			return a
		})
		time.Sleep(8 * time.Second)
		for _, d := range f.daemons {
			require.True(t, d.splitter.Stopped(newV))
		}
		require.Less(t, f.faultToLast(), 2*time.Second)
		require.Equal(t, config.MoveRunning, f.log.move().State)

		f.log.setDown(false)
		m := f.waitMove(t, 10*time.Second, ended)
		require.Equal(t, config.MoveTakenBack, m.State)
		require.Contains(t, m.Reason, "failed")
	})
}

// An operator's take-back wins against an owner that advances at the same time, whoever is first in the log.
func TestTakeBackWinsAgainstAdvance(t *testing.T) {
	for delay := range 30 {
		withFleet(t, 40*time.Second, func(ctx context.Context, t *testing.T, f *fleet) {
			t.Helper()
			f.waitMove(t, time.Minute, atShare(50))
			time.Sleep(time.Duration(delay) * 100 * time.Millisecond)
			steering := Updater{State: f.log.current, Writer: f.log}
			_, err := steering.Apply(ctx, testMove, "anna", "take", TakeBack{Reason: "quotes look odd"})
			require.NoError(t, err)
			time.Sleep(3 * time.Second)
			m := f.log.move()
			require.Equal(t, config.MoveTakenBack, m.State)
			require.Contains(t, m.Reason, "by anna")
			require.EqualValues(t, 0, m.Share)
		})
	}
}

func TestSteeringRetriesAfterALostRace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newTestLog(time.Minute)
		behind := log.current()
		m := log.move()
		m.Share = 10
		log.put(&m)
		view := func() *config.State {
			defer func() { behind = log.current() }()
			return behind
		}
		steering := Updater{State: view, Writer: log}
		_, err := steering.Apply(t.Context(), testMove, "anna", "pause", Pause{})
		require.NoError(t, err)
		require.Equal(t, config.MovePaused, log.move().State)
		require.EqualValues(t, 10, log.move().Share)

		_, err = steering.Apply(t.Context(), testMove, "anna", "again", Pause{})
		var state *StateError
		require.ErrorAs(t, err, &state)
		_, err = steering.Apply(t.Context(), "m9", "anna", "none", Pause{})
		var unknown *UnknownMoveError
		require.ErrorAs(t, err, &unknown)
	})
}

// A paused move keeps its share, is still taken back when the version turns bad, and goes on when it is resumed.
func TestPauseAndResume(t *testing.T) {
	withFleet(t, time.Minute, func(ctx context.Context, t *testing.T, f *fleet) {
		t.Helper()
		f.waitMove(t, time.Minute, atShare(250))
		steering := Updater{State: f.log.current, Writer: f.log}
		_, err := steering.Apply(ctx, testMove, "anna", "pause", Pause{})
		require.NoError(t, err)
		time.Sleep(10 * time.Second)
		require.EqualValues(t, 250, f.log.move().Share)
		_, err = steering.Apply(ctx, testMove, "anna", "resume", Resume{})
		require.NoError(t, err)
		m := f.waitMove(t, time.Minute, ended)
		require.Equal(t, config.MoveDone, m.State)
		require.False(t, time.Now().After(m.Deadline))
	})
}

func TestPausedMoveIsStillTakenBack(t *testing.T) {
	withFleet(t, time.Minute, func(ctx context.Context, t *testing.T, f *fleet) {
		t.Helper()
		f.waitMove(t, time.Minute, atShare(250))
		steering := Updater{State: f.log.current, Writer: f.log}
		_, err := steering.Apply(ctx, testMove, "anna", "pause", Pause{})
		require.NoError(t, err)
		f.setAnswer(newV, func(r request) answer { return spoils["fails"](r, healthy(r)) })
		m := f.waitMove(t, 5*time.Second, ended)
		require.Equal(t, config.MoveTakenBack, m.State)
	})
}

// A move that is paused too long says that it can't be on time while there is still time to act.
func TestLateMoveSaysSo(t *testing.T) {
	withFleet(t, 30*time.Second, func(ctx context.Context, t *testing.T, f *fleet) {
		t.Helper()
		f.waitMove(t, time.Minute, atShare(50))
		steering := Updater{State: f.log.current, Writer: f.log}
		_, err := steering.Apply(ctx, testMove, "anna", "pause", Pause{})
		require.NoError(t, err)
		m := f.waitMove(t, 40*time.Second, func(m config.Move) bool { return len(m.Reason) > 5 && m.Reason[:len(lateNote)] == lateNote })
		require.True(t, time.Now().Before(m.Deadline))
		_, err = steering.Apply(ctx, testMove, "anna", "deadline", ChangeDeadline{Deadline: time.Now().Add(time.Minute)})
		require.NoError(t, err)
		_, err = steering.Apply(ctx, testMove, "anna", "resume", Resume{})
		require.NoError(t, err)
		m = f.waitMove(t, time.Minute, ended)
		require.Equal(t, config.MoveDone, m.State)
	})
}

// With hardly any traffic a good version is still done on time.
func TestLowTrafficIsDecidedOnTime(t *testing.T) {
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

// The model's current version follows a done move, and a later move may start from it.
func TestDoneMoveSetsTheModel(t *testing.T) {
	withFleet(t, 30*time.Second, func(_ context.Context, t *testing.T, f *fleet) {
		t.Helper()
		f.waitMove(t, time.Minute, ended)
		time.Sleep(time.Second)
		model, _ := f.log.current().Model(testModel)
		require.Equal(t, newV, model.CurrentVersion)
		require.Equal(t, newV, f.daemons[0].splitter.Version(SplitKey{Model: testModel, Route: "quote", Request: "r"}))
	})
}

// A version that no engine has loaded gets no traffic.
func TestNoStepWithoutCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3, 3, 20, newTestLog(time.Minute), "quote")
		for _, d := range f.daemons {
			d.owner.HasCapacity = func(_ *config.Move, p ident.Permille) bool { return p <= 50 }
		}
		ctx, cancel := context.WithCancel(t.Context())
		f.run(ctx)
		time.Sleep(50 * time.Second)
		require.EqualValues(t, 50, f.log.move().Share)
		cancel()
		f.wg.Wait()
	})
}
