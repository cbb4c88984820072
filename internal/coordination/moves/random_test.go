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

// TestRandomFaults runs moves while owners crash and pause, the log goes down, and operators pause, resume and change
// the deadline. The share never skips a step, a bad version is taken back, a good one is done, and no request goes to
// a version long after its stop, which the invariant checks.
func TestRandomFaults(t *testing.T) {
	for seed := range 2 * seeds(t) {
		rng := rand.New(rand.NewPCG(uint64(seed), 9))
		bad := rng.IntN(2) == 0
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(uint64(seed), 5, 30, newTestLog(3*time.Minute), "quote", "note")
			if bad {
				from := time.Now().Add(time.Duration(rng.IntN(60)) * time.Second)
				f.setAnswer(newV, failsFrom(from))
			}
			ctx, cancel := context.WithCancel(t.Context())
			defer f.wg.Wait()
			defer cancel()
			f.run(ctx)
			crashes := 0
			for range 12 {
				time.Sleep(time.Duration(rng.IntN(5000)) * time.Millisecond)
				crashes += f.disturb(ctx, rng, crashes)
			}
			f.log.setDown(false)
			steering := Updater{State: f.log.current, Writer: f.log}
			_, _ = steering.Apply(ctx, testMove, "anna", "resume", Resume{})
			m := f.waitMove(t, 6*time.Minute, ended)
			want := config.MoveDone
			if bad {
				want = config.MoveTakenBack
			}
			require.Equal(t, want, m.State, "seed %d: %s", seed, m.Reason)
			f.checkSteps(t)
		})
	}
}

func failsFrom(from time.Time) behaviour {
	return func(r request) answer {
		a := healthy(r)
		if time.Now().After(from) {
			a.outcome = OutcomeFailed
		}
		return a
	}
}

// disturb does one thing to the fleet and returns how many daemons it crashed.
func (f *fleet) disturb(ctx context.Context, rng *rand.Rand, crashes int) int {
	steering := Updater{State: f.log.current, Writer: f.log}
	switch rng.IntN(6) {
	case 0:
		if owner := f.owner(f.log.move()); owner != nil && crashes < 2 {
			owner.crash()
			return 1
		}
	case 1:
		if owner := f.owner(f.log.move()); owner != nil {
			owner.freeze()
			paused := time.Duration(rng.IntN(8000)) * time.Millisecond
			f.wg.Go(func() {
				time.Sleep(paused)
				owner.thaw()
			})
		}
	case 2:
		f.log.setDown(true)
	case 3:
		f.log.setDown(false)
	case 4:
		_, _ = steering.Apply(ctx, testMove, "anna", "pause", Pause{})
	default:
		_, _ = steering.Apply(ctx, testMove, "anna", "resume", Resume{})
	}
	return 0
}
