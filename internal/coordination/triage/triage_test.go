package triage

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
		want Verdict
	}{
		"nothing is known":       {Request{Target: 500 * ms, Left: s}, &Send{}},
		"in time":                {Request{First: 400 * ms, Ahead: 400 * ms, Own: 50 * ms, Target: 500 * ms, Left: 4 * s, Priority: 1}, &Send{Priority: 1}},
		"in time before others":  {Request{First: 9 * s, Ahead: 300 * ms, Own: 50 * ms, Target: 500 * ms, Left: 4 * s}, &Send{}},
		"late":                   {Request{First: 2 * s, Ahead: 2 * s, Own: 50 * ms, Target: 500 * ms, Left: 4 * s, Priority: 1}, &Send{Priority: 5, Late: true}},
		"late by what it waited": {Request{First: 100 * ms, Ahead: 100 * ms, Own: 50 * ms, Target: 500 * ms, Left: 4 * s, Waited: 450 * ms}, &Send{Priority: 4, Late: true}},
		"the least urgent":       {Request{First: 2 * s, Ahead: 2 * s, Target: 500 * ms, Left: 4 * s, Priority: 8}, &Send{Priority: 9, Late: true}},
		"beyond the scale":       {Request{First: 2 * s, Ahead: 2 * s, Target: 500 * ms, Left: 4 * s, Priority: 12}, &Send{Priority: 12, Late: true}},
		"no target":              {Request{First: 2 * s, Ahead: 2 * s, Left: s, Priority: 1}, &Send{Priority: 1}},
		"a large one, no queue":  {Request{First: 900 * ms, Ahead: 900 * ms, Own: 900 * ms, Target: 500 * ms, Left: 4 * s}, &Send{}},
		"a little doubtful":      {Request{First: 1100 * ms, Ahead: 1100 * ms, Own: 50 * ms, Target: 500 * ms, Left: s}, &Send{Priority: 4, Late: true}},
		"outlasts its caller":    {Request{First: 3 * s, Ahead: 3 * s, Own: 50 * ms, Target: 500 * ms, Left: s}, &Refuse{RetryAfter: 2 * s}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { require.Equal(t, c.want, new(Desk).Decide(&c.r)) })
		})
	}
}

func TestRefusedCallersReturnInTheirOrderAndAsFastAsWorkIsDone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, begun := &Desk{}, time.Now()
		var last time.Time
		for i := range 30 {
			v, ok := d.Decide(&Request{First: 2 * s, Ahead: 2 * s, Own: 40 * ms, Target: 500 * ms, Left: 1500 * ms}).(*Refuse)
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
			v, ok := d.Decide(&Request{First: 9 * s, Ahead: 9 * s, Own: s, Target: 500 * ms, Left: s}).(*Refuse)
			require.True(t, ok)
			require.LessOrEqual(t, v.RetryAfter, returnMost)
		}
		// Once the queue has gone, those who were told to return are not counted for ever.
		time.Sleep(10 * s)
		v, ok := d.Decide(&Request{First: 2 * s, Ahead: 2 * s, Own: 40 * ms, Target: 500 * ms, Left: 1500 * ms}).(*Refuse)
		require.True(t, ok)
		require.Equal(t, 500*ms, v.RetryAfter)
	})
}
