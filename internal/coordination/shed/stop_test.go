package shed

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Guards against requests that are taken during a planned stop although they can't end before it, and against refusing others.
func TestStopAdmitsWhatCanEndBeforeIt(t *testing.T) {
	for name, c := range map[string]struct {
		samples    []time.Duration
		deadline   time.Duration
		atMostOnce bool
		want       bool
	}{
		"deadline before the stop":             {deadline: 2 * time.Second, want: true},
		"deadline after the stop, not known":   {deadline: 4 * time.Second},
		"too few samples":                      {samples: repeat(time.Second, minStopSamples-1), deadline: 4 * time.Second},
		"short":                                {samples: repeat(time.Second, minStopSamples), deadline: 4 * time.Second, want: true},
		"one of many is long":                  {samples: append(repeat(time.Second, 20), 5*time.Second), deadline: 9 * time.Second},
		"long, but the deadline is short":      {samples: repeat(5*time.Second, 20), deadline: 2 * time.Second, want: true},
		"short, at most once":                  {samples: repeat(time.Second, 20), deadline: 9 * time.Second, atMostOnce: true, want: true},
		"two thirds of the time, at most once": {samples: repeat(2*time.Second, 20), deadline: 9 * time.Second, atMostOnce: true},
		"two thirds of the time":               {samples: repeat(2*time.Second, 20), deadline: 9 * time.Second, want: true},
		"long ones are too old":                {samples: append(repeat(5*time.Second, 9), repeat(time.Second, stopSamples)...), deadline: 9 * time.Second, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &Stop{}
				for _, took := range c.samples {
					endAnswered(s, "r", took)
				}
				r := StopRequest{Route: "r", UntilDeadline: c.deadline, AtMostOnce: c.atMostOnce}
				require.True(t, s.Estimate(r).CanFinish, "no stop is planned")
				s.Begin(time.Now().Add(3 * time.Second))
				require.Equal(t, c.want, s.Estimate(r).CanFinish)
				time.Sleep(3*time.Second + time.Millisecond)
				require.False(t, s.Estimate(r).CanFinish)
				require.NoError(t, s.Expired().Err())
				s.Expire()
				require.Error(t, s.Expired().Err())
			})
		})
	}
}

// Guards against a request that comes late, or from a peer, and is taken because others were short: only its deadline says when it ends.
func TestLateInStopOnlyDeadlinesCount(t *testing.T) {
	const stopAfter, short = 7600 * time.Millisecond, 150 * time.Millisecond
	for _, c := range []struct {
		sent, deadline time.Duration
		passedOn, want bool
	}{
		{cutAllowedTime - signalMargin, 9 * time.Second, false, true},
		{cutAllowedTime - signalMargin + 1, 9 * time.Second, false, false},
		{cutAllowedTime, stopAfter - cutAllowedTime, false, true},
		{cutAllowedTime, stopAfter - cutAllowedTime + 1, false, false},
		{stopAfter - short, short, false, true},
		{stopAfter - short, 2 * short, false, false},
		{0, stopAfter, true, true},
		{0, stopAfter + 1, true, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := &Stop{}
			for _, took := range repeat(short, stopSamples) {
				endAnswered(s, "r", took)
			}
			s.Begin(time.Now().Add(stopAfter))
			time.Sleep(c.sent)
			require.Equal(t, c.want, s.Estimate(StopRequest{Route: "r", UntilDeadline: c.deadline, PassedOn: c.passedOn}).CanFinish, "%+v", c)
			require.True(t, s.Estimate(StopRequest{Route: "r", UntilDeadline: c.deadline, MayHaveRun: true}).CanFinish, "%+v", c)
		})
	}
}

func TestStopRemembersBoundedNumberOfRoutes(t *testing.T) {
	s := &Stop{}
	for i := range 3 * maxStopRoutes {
		endAnswered(s, ident.RouteID(fmt.Sprint(i)), time.Second)
		require.LessOrEqual(t, len(s.times), maxStopRoutes)
	}
}

// Guards against an estimate by complete responses alone: those that were cut or are open would have taken, or will take, longer.
func TestStopCountsCutAndOpenRequests(t *testing.T) {
	const short, long = 150 * time.Millisecond, 4 * time.Second
	for name, c := range map[string]struct {
		add  func(s *Stop, long *OpenRequest)
		want bool
	}{
		"open":                  {(*Stop).Track, false},
		"open, another route":   {func(s *Stop, r *OpenRequest) { r.Route = "other"; s.Track(r) }, true},
		"cut":                   {func(s *Stop, r *OpenRequest) { s.Track(r); s.End(r, EndCut) }, false},
		"unsent":                {func(s *Stop, r *OpenRequest) { s.Track(r); s.End(r, EndUnsent) }, true},
		"cut early beside long": {func(s *Stop, r *OpenRequest) { s.End(r, EndAnswered); cutShort(s) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &Stop{}
				for range stopSamples {
					endAnswered(s, "r", short)
				}
				c.add(s, &OpenRequest{Route: "r", AdmittedAt: time.Now().Add(-long)})
				s.Begin(time.Now().Add(3 * time.Second))
				require.Equal(t, c.want, s.Estimate(StopRequest{Route: "r", UntilDeadline: 9 * time.Second}).CanFinish)
			})
		})
	}
}

// cutShort ends as many requests that are cut at once as there are samples.
func cutShort(s *Stop) {
	for range stopSamples {
		s.End(&OpenRequest{Route: "r", AdmittedAt: time.Now()}, EndCut)
	}
}

func endAnswered(s *Stop, route ident.RouteID, took time.Duration) {
	s.End(&OpenRequest{Route: route, AdmittedAt: time.Now().Add(-took)}, EndAnswered)
}

func repeat(d time.Duration, n int) []time.Duration {
	out := make([]time.Duration, n)
	for i := range out {
		out[i] = d
	}
	return out
}
