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
