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

func TestDecisions(t *testing.T) {
	for name, c := range map[string]struct {
		r    Request
		want Decision
	}{
		"nothing is known":       {Request{Target: 500 * ms, UntilDeadline: s}, &Admit{}},
		"in time":                {Request{FirstByte: 400 * ms, FirstByteBeforeLate: 400 * ms, Own: 50 * ms, Target: 500 * ms, UntilDeadline: 4 * s, Priority: 1}, &Admit{Priority: 1}},
		"in time before others":  {Request{FirstByte: 9 * s, FirstByteBeforeLate: 300 * ms, Own: 50 * ms, Target: 500 * ms, UntilDeadline: 4 * s}, &Admit{}},
		"late":                   {Request{FirstByte: 2 * s, FirstByteBeforeLate: 2 * s, Own: 50 * ms, Target: 500 * ms, UntilDeadline: 4 * s, Priority: 1}, &Admit{Priority: 5, Late: true}},
		"late by what it waited": {Request{FirstByte: 100 * ms, FirstByteBeforeLate: 100 * ms, Own: 50 * ms, Target: 500 * ms, UntilDeadline: 4 * s, Waited: 450 * ms}, &Admit{Priority: 4, Late: true}},
		"the least urgent":       {Request{FirstByte: 2 * s, FirstByteBeforeLate: 2 * s, Target: 500 * ms, UntilDeadline: 4 * s, Priority: 8}, &Admit{Priority: 9, Late: true}},
		"beyond the scale":       {Request{FirstByte: 2 * s, FirstByteBeforeLate: 2 * s, Target: 500 * ms, UntilDeadline: 4 * s, Priority: 12}, &Admit{Priority: 12, Late: true}},
		"no target":              {Request{FirstByte: 2 * s, FirstByteBeforeLate: 2 * s, UntilDeadline: s, Priority: 1}, &Admit{Priority: 1}},
		"a large one, no queue":  {Request{FirstByte: 900 * ms, FirstByteBeforeLate: 900 * ms, Own: 900 * ms, Target: 500 * ms, UntilDeadline: 4 * s}, &Admit{}},
		"a little doubtful":      {Request{FirstByte: 1100 * ms, FirstByteBeforeLate: 1100 * ms, Own: 50 * ms, Target: 500 * ms, UntilDeadline: s}, &Admit{Priority: 4, Late: true}},
		"outlasts its caller":    {Request{FirstByte: 3 * s, FirstByteBeforeLate: 3 * s, Own: 50 * ms, Target: 500 * ms, UntilDeadline: s}, &Reject{RetryAfter: 2 * s}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { require.Equal(t, c.want, new(Controller).Decide(&c.r)) })
		})
	}
}

func TestRefusedCallersReturnInTheirOrderAndAsFastAsWorkIsDone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, begun := &Controller{}, time.Now()
		var last time.Time
		for i := range 30 {
			v, ok := d.Decide(&Request{FirstByte: 2 * s, FirstByteBeforeLate: 2 * s, Own: 40 * ms, Target: 500 * ms, UntilDeadline: 1500 * ms}).(*Reject)
			require.True(t, ok)
			at := time.Now().Add(v.RetryAfter)
			if i > 0 {
				require.GreaterOrEqual(t, at.Sub(last), 40*ms, "one at a time")
			}
			last = at
			time.Sleep(10 * ms)
		}
		require.LessOrEqual(t, last.Sub(begun), 500*ms+30*40*ms+s, "and no later than that takes")
		for range 1000 {
			v, ok := d.Decide(&Request{FirstByte: 9 * s, FirstByteBeforeLate: 9 * s, Own: s, Target: 500 * ms, UntilDeadline: s}).(*Reject)
			require.True(t, ok)
			require.LessOrEqual(t, v.RetryAfter, returnMost)
		}
		// Once the queue has gone, those who were told to return are not counted for ever.
		time.Sleep(10 * s)
		v, ok := d.Decide(&Request{FirstByte: 2 * s, FirstByteBeforeLate: 2 * s, Own: 40 * ms, Target: 500 * ms, UntilDeadline: 1500 * ms}).(*Reject)
		require.True(t, ok)
		require.Equal(t, 500*ms, v.RetryAfter)
	})
}
