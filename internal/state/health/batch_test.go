package health

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
)

func TestAFullBatchMakesRequestsWait(t *testing.T) {
	cases := map[string]struct {
		running, waiting int
		answer, age      time.Duration
		begun            int
		want             time.Duration
	}{
		"nothing learned":             {running: 4, waiting: 2},
		"room in the batch":           {running: 4, answer: time.Second, begun: 3},
		"each leaves in a quarter":    {running: 4, waiting: 2, answer: time.Second, want: 500 * time.Millisecond},
		"own sends wait too":          {running: 4, waiting: 2, answer: time.Second, begun: 1, want: 750 * time.Millisecond},
		"less what has left since":    {running: 4, waiting: 2, answer: time.Second, age: 200 * time.Millisecond, want: 300 * time.Millisecond},
		"all that waited have room":   {running: 4, waiting: 1, answer: time.Second, age: time.Second},
		"bounded":                     {running: 1, waiting: math.MaxInt, answer: time.Second, want: batchWaitMax},
		"waiting without a batch yet": {waiting: 3, answer: time.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := &Table{}
				table.Update(engines(1))
				u := table.Upstream("e00")
				u.ObserveDecodeTime(tc.answer)
				time.Sleep(time.Minute)
				u.ApplyReport(extern.LoadReport{Incarnation: 1, WaitingRequests: tc.waiting, RunningRequests: tc.running, Lag: tc.age}, time.Now())
				for range tc.begun {
					u.Begin(0, time.Now())
				}
				require.Equal(t, tc.want, u.Load(time.Now()).BatchWait)
			})
		})
	}
}

func TestTheTimeOfAnAnswerIsLearned(t *testing.T) {
	table := &Table{}
	table.Update(engines(1))
	u := table.Upstream("e00")
	u.ObserveDecodeTime(0)
	require.Zero(t, u.batchTime.load())
	u.ObserveDecodeTime(time.Second)
	u.ObserveDecodeTime(2 * time.Second)
	require.InDelta(t, 1+batchWeight, u.batchTime.load(), 1e-9)
}
