package moves

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/config"
)

// TestRandomFaults runs moves while owners crash and pause, the log goes down, and operators pause and resume. It
// guards against skipped steps, bad versions that are not taken back, good ones that don't finish, and, by the
// invariant, requests to a version long after its stop.
func TestRandomFaults(t *testing.T) {
	for seed := range 2 * seedCount(t) {
		rng := rand.New(rand.NewPCG(uint64(seed), 9))
		badVersion := rng.IntN(2) == 0
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(uint64(seed), 5, 30, newTestLog(3*time.Minute), "quote", "note")
			if badVersion {
				from := time.Now().Add(time.Duration(rng.IntN(60)) * time.Second)
				f.setBehaviour(newVersion, failsAfter(from))
			}
			ctx, cancel := context.WithCancel(t.Context())
			defer f.wg.Wait()
			defer cancel()
			f.run(ctx)
			crashes := 0
			for range 12 {
				time.Sleep(time.Duration(rng.IntN(5000)) * time.Millisecond)
				crashes += f.injectRandomFault(ctx, rng, crashes)
			}
			f.log.setDown(false)
			updater := Updater{State: f.log.current, Writer: f.log}
			_, _ = updater.Apply(ctx, testMove, "anna", "resume", Resume{})
			m := f.waitMove(t, 6*time.Minute, ended)
			want := config.MoveDone
			if badVersion {
				want = config.MoveTakenBack
			}
			require.Equal(t, want, m.State, "seed %d: %s", seed, m.Reason)
			f.requireNoSkippedSteps(t)
		})
	}
}

func failsAfter(from time.Time) behaviour {
	return func(r request) answer {
		a := healthyAnswer(r)
		if time.Now().After(from) {
			a.outcome = OutcomeFailed
		}
		return a
	}
}

// injectRandomFault injects one fault or operator action and returns how many daemons it crashed.
func (f *fleet) injectRandomFault(ctx context.Context, rng *rand.Rand, crashes int) int {
	updater := Updater{State: f.log.current, Writer: f.log}
	switch rng.IntN(6) {
	case 0:
		if owner := f.ownerOf(f.log.move()); owner != nil && crashes < 2 {
			owner.crash()
			return 1
		}
	case 1:
		if owner := f.ownerOf(f.log.move()); owner != nil {
			owner.freeze()
			pauseTime := time.Duration(rng.IntN(8000)) * time.Millisecond
			f.wg.Go(func() {
				time.Sleep(pauseTime)
				owner.thaw()
			})
		}
	case 2:
		f.log.setDown(true)
	case 3:
		f.log.setDown(false)
	case 4:
		_, _ = updater.Apply(ctx, testMove, "anna", "pause", Pause{})
	default:
		_, _ = updater.Apply(ctx, testMove, "anna", "resume", Resume{})
	}
	return 0
}
