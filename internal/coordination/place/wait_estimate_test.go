package place

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// Guards against a slow engine that counts as fast as the others where prompts are short or cached, because the prefill time stays unknown there.
func TestSlowEngineIsFoundWhilePrefillTimeIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPlacer()
		slow := engineAt(0).ID
		r := &Request{Service: "llm", Model: "m", Input: 100, Parts: []Part{{"sys", 50}, {"own", 50}}}
		took := func(id ident.UpstreamID) time.Duration {
			if id == slow {
				return time.Second
			}
			return 80 * time.Millisecond
		}
		run := func(u *view.Upstream) {
			p.mu.Lock()
			c := p.evaluate(&query{request: r, now: time.Now(), engine: &view.Engine{}}, &candidate{upstreamState: p.upstreamState(u), upstream: u})
			c.Wait = p.waitEstimate(&query{request: r, now: time.Now()}, c)
			p.mu.Unlock()
			tracker := p.Begin(c, r)
			time.Sleep(took(u.ID))
			tracker.MarkActive()
			tracker.MarkFirstEvent()
			tracker.End(OutcomeSucceeded)
		}
		for range 5 {
			for i := range engineCount {
				run(engineAt(i))
			}
		}
		require.False(t, p.estimates("llm").prefill.Known())
		c, err := p.Choose(r)
		require.NoError(t, err)
		require.InDelta(t, 80*time.Millisecond, c.Wait.Total, float64(20*time.Millisecond))
		require.Greater(t, p.upstreamStates[slow].slowness(time.Now()), 1.5)
		for id, state := range p.upstreamStates {
			if id != slow {
				require.Less(t, state.slowness(time.Now()), 1.1, "engine %s", id)
			}
		}
	})
}
