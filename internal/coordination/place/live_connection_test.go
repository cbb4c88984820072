package place

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against ending streams on connections that live on while new ones are refused.
func TestStreamOnLiveConnectionOutlivesFailedConnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPlacer()
		c, err := p.Choose(requestFor(1))
		require.NoError(t, err)
		stream := p.Begin(c, requestFor(1))
		p.Begin(c, requestFor(1)).End(OutcomeUnreachable)
		for range 40 {
			time.Sleep(unreachableConfirmTime / 4)
			stream.MarkActive()
			require.False(t, stream.ShouldAbort(), "it gets events")
		}
		time.Sleep(unreachableConfirmTime)
		require.True(t, stream.ShouldAbort())
	})
}

// Guards against ending work at an upstream whose queue of new connections is full, and against waiting longer than hangTimeout for one that is dark.
func TestUnansweredConnectsEndWorkAfterHangTimeout(t *testing.T) {
	for name, c := range map[string]struct {
		refused bool
		want    time.Duration
	}{
		"unanswered": {false, hangTimeout},
		"refused":    {true, unreachableConfirmTime},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newTestPlacer()
				choice, err := p.Choose(requestFor(1))
				require.NoError(t, err)
				choice.PrefillTokens = 1_000_000
				start, tracker := time.Now(), p.Begin(choice, requestFor(1))
				p.MarkUnreachable(choice.Upstream.ID)
				p.MarkConnecting(choice.Upstream.ID)
				if c.refused {
					p.MarkRefused(choice.Upstream.ID)
				}
				for !tracker.ShouldAbort() {
					time.Sleep(10 * time.Millisecond)
				}
				require.InDelta(t, c.want, time.Since(start), float64(20*time.Millisecond))
			})
		})
	}
}

// Guards against ending work during a long prefill because a connection is being tried.
func TestPendingConnectEndsNoWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPlacer()
		c, err := p.Choose(requestFor(1))
		require.NoError(t, err)
		c.PrefillTokens = 1_000_000
		tracker := p.Begin(c, requestFor(1))
		time.Sleep(2 * hangTimeout)
		p.MarkUnreachable(c.Upstream.ID)
		p.MarkConnecting(c.Upstream.ID)
		time.Sleep(unreachableConfirmTime / 2)
		require.False(t, tracker.ShouldAbort())
	})
}
