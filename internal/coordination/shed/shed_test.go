package shed

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	ms = time.Millisecond
	s  = time.Second
)

// Guards against rejecting or delaying a request that can be on time, and against admitting one that can't be served
// before its deadline.
func TestDecisions(t *testing.T) {
	for name, c := range map[string]struct {
		r    Request
		want Decision
	}{
		"no estimate":                       {Request{Target: 500 * ms, UntilDeadline: s}, &Admit{}},
		"on time":                           {Request{FirstByte: 400 * ms, FirstByteBeforeLate: 400 * ms, Own: 50 * ms, Target: 500 * ms, UntilDeadline: 4 * s, Priority: 1}, &Admit{Priority: 1}},
		"on time before late requests":      {Request{FirstByte: 9 * s, FirstByteBeforeLate: 300 * ms, Own: 50 * ms, Target: 500 * ms, UntilDeadline: 4 * s}, &Admit{}},
		"late":                              {Request{FirstByte: 2 * s, FirstByteBeforeLate: 2 * s, Own: 50 * ms, Target: 500 * ms, UntilDeadline: 4 * s, Priority: 1}, &Admit{Priority: 5, Late: true}},
		"late due to time already waited":   {Request{FirstByte: 100 * ms, FirstByteBeforeLate: 100 * ms, Own: 50 * ms, Target: 500 * ms, UntilDeadline: 4 * s, Waited: 450 * ms}, &Admit{Priority: 4, Late: true}},
		"lowest priority":                   {Request{FirstByte: 2 * s, FirstByteBeforeLate: 2 * s, Target: 500 * ms, UntilDeadline: 4 * s, Priority: 8}, &Admit{Priority: 9, Late: true}},
		"priority beyond the lowest":        {Request{FirstByte: 2 * s, FirstByteBeforeLate: 2 * s, Target: 500 * ms, UntilDeadline: 4 * s, Priority: 12}, &Admit{Priority: 12, Late: true}},
		"no target":                         {Request{FirstByte: 2 * s, FirstByteBeforeLate: 2 * s, UntilDeadline: s, Priority: 1}, &Admit{Priority: 1}},
		"large request, no queue":           {Request{FirstByte: 900 * ms, FirstByteBeforeLate: 900 * ms, Own: 900 * ms, Target: 500 * ms, UntilDeadline: 4 * s}, &Admit{}},
		"estimate just beyond the deadline": {Request{FirstByte: 1100 * ms, FirstByteBeforeLate: 1100 * ms, Own: 50 * ms, Target: 500 * ms, UntilDeadline: s}, &Admit{Priority: 4, Late: true}},
		"queue outlasts the deadline":       {Request{FirstByte: 3 * s, FirstByteBeforeLate: 3 * s, Own: 50 * ms, Target: 500 * ms, UntilDeadline: s}, &Reject{RetryAfter: 2 * s}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { require.Equal(t, c.want, new(Controller).Decide(&c.r)) })
		})
	}
}

// Guards against rejected callers that all retry at the same time, and against a Retry-After that grows without
// bound.
func TestRejectedCallersRetryInOrderAtServiceRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, startedAt := &Controller{}, time.Now()
		var last time.Time
		for i := range 30 {
			reject, ok := c.Decide(&Request{FirstByte: 2 * s, FirstByteBeforeLate: 2 * s, Own: 40 * ms, Target: 500 * ms, UntilDeadline: 1500 * ms}).(*Reject)
			require.True(t, ok)
			retryAt := time.Now().Add(reject.RetryAfter)
			if i > 0 {
				require.GreaterOrEqual(t, retryAt.Sub(last), 40*ms, "one per service time")
			}
			last = retryAt
			time.Sleep(10 * ms)
		}
		require.LessOrEqual(t, last.Sub(startedAt), 500*ms+30*40*ms+s, "no later than the upstream takes to serve them")
		for range 1000 {
			reject, ok := c.Decide(&Request{FirstByte: 9 * s, FirstByteBeforeLate: 9 * s, Own: s, Target: 500 * ms, UntilDeadline: s}).(*Reject)
			require.True(t, ok)
			require.LessOrEqual(t, reject.RetryAfter, maxRetryAfter)
		}
		// Once the queue has drained, earlier rejections no longer delay the retries of later callers.
		time.Sleep(10 * s)
		reject, ok := c.Decide(&Request{FirstByte: 2 * s, FirstByteBeforeLate: 2 * s, Own: 40 * ms, Target: 500 * ms, UntilDeadline: 1500 * ms}).(*Reject)
		require.True(t, ok)
		require.Equal(t, 500*ms, reject.RetryAfter)
	})
}
