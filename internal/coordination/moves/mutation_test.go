package moves

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/guard"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// A daemon whose requests ignore the local stop goes on sending while the log is down, which the invariant reports.
func TestWithoutTheLocalStopTheInvariantFails(t *testing.T) {
	for _, mutant := range []bool{false, true} {
		t.Run(fmt.Sprintf("mutant=%t", mutant), func(t *testing.T) {
			var violations atomic.Int64
			defer guard.Capture(func(*guard.ViolationError) { violations.Add(1) })()
			withFleet(t, time.Minute, func(_ context.Context, t *testing.T, f *fleet) {
				t.Helper()
				f.waitMove(t, time.Minute, atShare(250))
				f.log.setDown(true)
				if mutant {
					f.ignoreStops()
				}
				f.setAnswer(newV, func(r request) answer { return spoils["fails"](r, healthy(r)) })
				time.Sleep(10 * time.Second)
			})
			require.Equal(t, mutant, violations.Load() > 0)
		})
	}
}

// ignoreStops makes requests take their version from a splitter that knows only the log.
func (f *fleet) ignoreStops() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range f.daemons {
		d.picker = &Splitter{}
		d.picker.Update(f.log.current())
	}
}

// A fault on a route with little traffic is found by its route; a judge that sees only the average of all routes and
// organisations lets more of its requests fail.
func TestAveragesHideASmallRoute(t *testing.T) {
	faulty := func(average bool) (int, config.Move) {
		bad, last := 0, config.Move{}
		synctest.Test(t, func(t *testing.T) {
			log := newTestLog(0)
			f := newFleet(5, 3, 60, log, "quote", "note")
			f.rare, f.average = "rare", average
			f.answer[newV] = func(r request) answer {
				a := healthy(r)
				if r.Route != "rare" {
					return a
				}
				a = spoils["failsHalf"](r, a)
				a.faulty = true
				return a
			}
			ctx, cancel := context.WithCancel(t.Context())
			defer f.wg.Wait()
			defer cancel()
			f.run(ctx)
			time.Sleep(20 * time.Second)
			log.begin(2 * time.Minute)
			last = f.waitMove(t, 3*time.Minute, ended)
			f.mu.Lock()
			bad = f.bad
			f.mu.Unlock()
		})
		return bad, last
	}
	byRoute, move := faulty(false)
	require.Equal(t, config.MoveTakenBack, move.State, move.Reason)
	require.Contains(t, move.Reason, "route rare")
	averaged, _ := faulty(true)
	require.Greater(t, averaged, 2*byRoute)
}

// The crash of one engine counts once, however many requests it breaks and however many daemons see it.
func TestEngineCrashIsNotTheVersionsFault(t *testing.T) {
	withFleet(t, time.Minute, func(_ context.Context, t *testing.T, f *fleet) {
		t.Helper()
		f.waitMove(t, time.Minute, atShare(250))
		crash := time.Now()
		f.setAnswer(newV, func(r request) answer {
			a := healthy(r)
			if r.Upstream == ident.UpstreamID(newV+"-e0") && time.Since(crash) < 3*time.Second {
				a.ttft, a.outcome = time.Millisecond, OutcomeUnreachable
			}
			return a
		})
		m := f.waitMove(t, time.Minute, ended)
		require.Equal(t, config.MoveDone, m.State, m.Reason)
	})
}

// A version whose engines crash one after the other is bad.
func TestCrashingEnginesAreTheVersionsFault(t *testing.T) {
	withFleet(t, time.Minute, func(_ context.Context, t *testing.T, f *fleet) {
		t.Helper()
		f.waitMove(t, time.Minute, atShare(250))
		f.setAnswer(newV, func(r request) answer {
			a := healthy(r)
			a.outcome = OutcomeBroken
			return a
		})
		m := f.waitMove(t, 10*time.Second, ended)
		require.Equal(t, config.MoveTakenBack, m.State, m.Reason)
	})
}

// A slow spell that hits both versions alike is not the new version's fault.
func TestSlowPlatformIsNotTheVersionsFault(t *testing.T) {
	withFleet(t, time.Minute, func(_ context.Context, t *testing.T, f *fleet) {
		t.Helper()
		f.waitMove(t, time.Minute, atShare(250))
		until := time.Now().Add(5 * time.Second)
		spell := func(r request) answer {
			a := healthy(r)
			if time.Now().Before(until) {
				a.ttft *= 3
			}
			return a
		}
		f.setAnswer(newV, spell)
		f.setAnswer(oldV, spell)
		m := f.waitMove(t, time.Minute, ended)
		require.Equal(t, config.MoveDone, m.State, m.Reason)
	})
}

// Caches that fill after a small step make the first answers slow, which is not the version's fault.
func TestColdCachesAreNotTheVersionsFault(t *testing.T) {
	withFleet(t, time.Minute, func(_ context.Context, t *testing.T, f *fleet) {
		t.Helper()
		f.setRate(80)
		f.waitMove(t, time.Minute, atShare(250))
		until := time.Now().Add(500 * time.Millisecond)
		f.setAnswer(newV, func(r request) answer {
			a := healthy(r)
			if time.Now().Before(until) {
				a.ttft *= 3
			}
			return a
		})
		m := f.waitMove(t, time.Minute, ended)
		require.Equal(t, config.MoveDone, m.State, m.Reason)
	})
}
