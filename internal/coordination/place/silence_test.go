package place

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// Guards against taking an engine to hang that answers reports, and against waiting longer than hangTimeout once it doesn't.
func TestEngineThatReportsWorkIsNotHung(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPlacer()
		p.Snapshots.SetConfig(&view.Config{Version: 1, Services: map[view.ServiceID]*view.Service{"llm": {ID: "llm", Engine: &view.Engine{}}}})
		c, err := p.Choose(requestFor(1))
		require.NoError(t, err)
		tracker := p.Begin(c, requestFor(1))
		asked, lastConfirmed := 0, time.Time{}
		aborted := func() bool {
			for id := range p.DownAddresses() {
				p.MarkReachable(id)
			}
			time.Sleep(50 * time.Millisecond)
			return tracker.ShouldAbort()
		}
		for range 200 {
			require.False(t, aborted())
			for _, u := range p.SilentEngines() {
				asked++
				lastConfirmed = time.Now()
				p.ConfirmWork(u.ID, u.Incarnation)
			}
		}
		require.Positive(t, asked)
		require.LessOrEqual(t, asked, 10, "once a second")
		for !aborted() {
			require.Less(t, time.Since(lastConfirmed), 3*time.Second)
		}
		require.GreaterOrEqual(t, time.Since(lastConfirmed), hangTimeout)
	})
}
