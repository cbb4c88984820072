package health

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
)

// If the wait for a slot in the batch isn't counted, an engine with a full batch and short prompts seems to be idle and gets
// more requests than others.
func TestBatchWaitEstimate(t *testing.T) {
	cases := map[string]struct {
		running, waiting int
		decodeTime, age  time.Duration
		sentSince        int
		want             time.Duration
	}{
		"no decode time observed":       {running: 4, waiting: 2},
		"no waiting requests":           {running: 4, decodeTime: time.Second, sentSince: 3},
		"one leaves every 250 ms":       {running: 4, waiting: 2, decodeTime: time.Second, want: 500 * time.Millisecond},
		"requests sent since also wait": {running: 4, waiting: 2, decodeTime: time.Second, sentSince: 1, want: 750 * time.Millisecond},
		"age of report is subtracted":   {running: 4, waiting: 2, decodeTime: time.Second, age: 200 * time.Millisecond, want: 300 * time.Millisecond},
		"all waiting have slots by now": {running: 4, waiting: 1, decodeTime: time.Second, age: time.Second},
		"bounded by maxBatchWait":       {running: 1, waiting: math.MaxInt, decodeTime: time.Second, want: maxBatchWait},
		"no running requests":           {waiting: 3, decodeTime: time.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := &Table{}
				table.Update(engines(1))
				u := table.Upstream("e00")
				u.ObserveDecodeTime(tc.decodeTime)
				time.Sleep(time.Minute)
				u.ApplyReport(extern.LoadReport{Incarnation: 1, WaitingRequests: tc.waiting, RunningRequests: tc.running, Lag: tc.age}, time.Now())
				for range tc.sentSince {
					u.Begin(0, time.Now())
				}
				require.Equal(t, tc.want, u.Load(time.Now()).BatchWait)
			})
		})
	}
}

func TestObserveDecodeTimeUpdatesMean(t *testing.T) {
	table := &Table{}
	table.Update(engines(1))
	u := table.Upstream("e00")
	u.ObserveDecodeTime(0)
	require.Zero(t, u.meanDecodeTime.load())
	u.ObserveDecodeTime(time.Second)
	u.ObserveDecodeTime(2 * time.Second)
	require.InDelta(t, 1+decodeTimeWeight, u.meanDecodeTime.load(), 1e-9)
}
