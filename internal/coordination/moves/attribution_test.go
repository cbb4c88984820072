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

// Guards against an invariant that never fires: daemons that ignore their local stop go on sending to a bad version
// while the log is down, and the invariant has to report it.
func TestIgnoringLocalStopViolatesInvariant(t *testing.T) {
	for _, ignoreStops := range []bool{false, true} {
		t.Run(fmt.Sprintf("ignoreStops=%t", ignoreStops), func(t *testing.T) {
			var violations atomic.Int64
			defer guard.Capture(func(*guard.ViolationError) { violations.Add(1) })()
			withFleet(t, time.Minute, func(_ context.Context, t *testing.T, f *fleet) {
				t.Helper()
				f.waitMove(t, time.Minute, atShare(250))
				f.log.setDown(true)
				if ignoreStops {
					f.bypassLocalStops()
				}
				f.setBehaviour(newVersion, func(r request) answer { return faultEffects["fails"](r, healthyAnswer(r)) })
				time.Sleep(10 * time.Second)
			})
			require.Equal(t, ignoreStops, violations.Load() > 0)
		})
	}
}

// bypassLocalStops makes requests take their version from a splitter that knows only the log.
func (f *fleet) bypassLocalStops() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range f.daemons {
		d.requestSplitter = &Splitter{}
		d.requestSplitter.Update(f.log.current())
	}
}

// Guards against a fault on a route with little traffic that is lost in the average. A judge that sees only the sum
// of all routes and organisations lets more of its requests fail.
func TestFaultOnRareRouteIsFoundByItsRoute(t *testing.T) {
	runWithFault := func(aggregate bool) (int, config.Move) {
		faultyRequests, last := 0, config.Move{}
		synctest.Test(t, func(t *testing.T) {
			log := newTestLog(0)
			f := newFleet(5, 3, 60, log, "quote", "note")
			f.rareRoute, f.aggregate = "rare", aggregate
			f.behaviours[newVersion] = func(r request) answer {
				a := healthyAnswer(r)
				if r.Route != "rare" {
					return a
				}
				a = faultEffects["failsHalf"](r, a)
				a.faulty = true
				return a
			}
			ctx, cancel := context.WithCancel(t.Context())
			defer f.wg.Wait()
			defer cancel()
			f.run(ctx)
			time.Sleep(20 * time.Second)
			log.createMove(2 * time.Minute)
			last = f.waitMove(t, 3*time.Minute, ended)
			f.mu.Lock()
			faultyRequests = f.faulty
			f.mu.Unlock()
		})
		return faultyRequests, last
	}
	faultyByRoute, move := runWithFault(false)
	require.Equal(t, config.MoveTakenBack, move.State, move.Reason)
	require.Contains(t, move.Reason, "route rare")
	faultyAggregated, _ := runWithFault(true)
	require.Greater(t, faultyAggregated, 2*faultyByRoute)
}

// Guards against taking back a good version because one engine crashes: that counts as one failure, however many
// requests it breaks and however many daemons see it.
func TestSingleEngineCrashIsNotVersionFault(t *testing.T) {
	withFleet(t, time.Minute, func(_ context.Context, t *testing.T, f *fleet) {
		t.Helper()
		f.waitMove(t, time.Minute, atShare(250))
		crash := time.Now()
		f.setBehaviour(newVersion, func(r request) answer {
			a := healthyAnswer(r)
			if r.Upstream == ident.UpstreamID(newVersion+"-e0") && time.Since(crash) < 3*time.Second {
				a.ttft, a.outcome = time.Millisecond, OutcomeUnreachable
			}
			return a
		})
		m := f.waitMove(t, time.Minute, ended)
		require.Equal(t, config.MoveDone, m.State, m.Reason)
	})
}

// Guards against excusing every outage: a version whose engines crash one after the other is bad.
func TestRepeatedEngineCrashesAreVersionFault(t *testing.T) {
	withFleet(t, time.Minute, func(_ context.Context, t *testing.T, f *fleet) {
		t.Helper()
		f.waitMove(t, time.Minute, atShare(250))
		f.setBehaviour(newVersion, func(r request) answer {
			a := healthyAnswer(r)
			a.outcome = OutcomeBroken
			return a
		})
		m := f.waitMove(t, 10*time.Second, ended)
		require.Equal(t, config.MoveTakenBack, m.State, m.Reason)
	})
}

// Guards against taking back a good version when both versions are slow at the same time.
func TestSlownessOfBothVersionsIsNotVersionFault(t *testing.T) {
	withFleet(t, time.Minute, func(_ context.Context, t *testing.T, f *fleet) {
		t.Helper()
		f.waitMove(t, time.Minute, atShare(250))
		until := time.Now().Add(5 * time.Second)
		temporarilySlow := func(r request) answer {
			a := healthyAnswer(r)
			if time.Now().Before(until) {
				a.ttft *= 3
			}
			return a
		}
		f.setBehaviour(newVersion, temporarilySlow)
		f.setBehaviour(oldVersion, temporarilySlow)
		m := f.waitMove(t, time.Minute, ended)
		require.Equal(t, config.MoveDone, m.State, m.Reason)
	})
}

// Guards against taking back a good version because its caches fill after a small step, which makes the first answers
// slow.
func TestSlowWarmUpIsNotVersionFault(t *testing.T) {
	withFleet(t, time.Minute, func(_ context.Context, t *testing.T, f *fleet) {
		t.Helper()
		f.setRate(80)
		f.waitMove(t, time.Minute, atShare(250))
		until := time.Now().Add(500 * time.Millisecond)
		f.setBehaviour(newVersion, func(r request) answer {
			a := healthyAnswer(r)
			if time.Now().Before(until) {
				a.ttft *= 3
			}
			return a
		})
		m := f.waitMove(t, time.Minute, ended)
		require.Equal(t, config.MoveDone, m.State, m.Reason)
	})
}
