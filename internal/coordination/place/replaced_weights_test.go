package place

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// Guards against requests that are sent for replaced weights before their limit and wait at the engine until after it.
func TestQueuedRequestsBeginOnReplacedWeightsWithinLimit(t *testing.T) {
	for name, known := range map[string]bool{"prefill time known": true, "prefill time unknown": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newTestPlacer()
				limit, named := p.OldWeightsGrace+time.Second, time.Now()
				if known {
					p.estimates("llm").prefill.SetPrior(time.Millisecond / prefillTokensPerMs)
				}
				p.Snapshots.SetWeights(view.Weights{Model: "m", Version: 2, NamedAt: named})
				time.Sleep(p.OldWeightsGrace - 2*time.Second)
				queueEnds, sent := map[ident.UpstreamID]time.Time{}, 0
				for i := range 500 {
					time.Sleep(5 * time.Millisecond)
					c, err := p.Choose(requestFor(i))
					if err != nil {
						continue
					}
					sent++
					tracker := p.Begin(c, requestFor(i))
					begins := time.Now()
					if at := queueEnds[c.Upstream.ID]; at.After(begins) {
						begins = at
					}
					begins = begins.Add(time.Duration(normalTTFTRatio * float64(c.PrefillTokens) * float64(time.Millisecond) / prefillTokensPerMs))
					queueEnds[c.Upstream.ID] = begins
					require.LessOrEqual(t, begins.Sub(named), limit, "request %d", i)
					time.AfterFunc(time.Until(begins), func() { tracker.MarkActive(); tracker.MarkFirstEvent() })
				}
				require.Greater(t, sent, engineCount, "weights may be used until their limit")
			})
		})
	}
}

// Guards against an engine that has restarted with older weights than it had and is taken to have the newer ones still: requests are refused there,
// and the leader doesn't order it to load.
func TestRestartedEngineHasWeightsOfItsRegistration(t *testing.T) {
	p := newTestPlacer()
	p.Snapshots.SetWeights(view.Weights{Model: "m", Version: 3, NamedAt: time.Now()})
	before := engineAt(0)
	p.SetWeightVersion(before, "m", 3)
	restarted := engineAt(0)
	restarted.Incarnation++
	p.Snapshots.SetUpstreams(view.NewUpstreams(map[ident.UpstreamID]*view.Upstream{restarted.ID: restarted}, 2))
	require.EqualValues(t, 1, p.WeightVersion(restarted, "m"))
	// An answer or a heartbeat from before the restart comes late.
	p.SetWeightVersion(before, "m", 3)
	c, err := p.Choose(requestFor(1))
	require.NoError(t, err)
	require.EqualValues(t, 1, c.WeightVersion)
	require.EqualValues(t, 1, p.WeightVersion(restarted, "m"))
}

// Guards against a daemon that has just started, doesn't know how long requests run, and takes those that wait for a slot of an engine with
// replaced weights for begun at once.
func TestNoWaitForSlotOnReplacedWeightsWhileServiceTimeIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPlacer()
		u := engineAt(0)
		u.Slots = 4
		p.Snapshots.SetUpstreams(view.NewUpstreams(map[ident.UpstreamID]*view.Upstream{u.ID: u}, 2))
		p.Snapshots.SetWeights(view.Weights{Model: "m", Version: 2, NamedAt: time.Now()})
		time.Sleep(p.OldWeightsGrace - time.Second)
		for i := range u.Slots {
			c, err := p.Choose(requestFor(1))
			require.NoError(t, err, "slot %d", i)
			p.Begin(c, requestFor(1)).MarkFirstEvent()
		}
		_, err := p.Choose(requestFor(1))
		var blocked *BlockedError
		require.ErrorAs(t, err, &blocked)
		require.Equal(t, BlockedLoading, blocked.Reason)
	})
}

// Guards against an engine that has turned slow and is chosen for replaced weights until just before their limit, as the estimate learns nothing where
// prompts are cached.
func TestNoRequestOnReplacedWeightsAtEngineWhereOthersWaitedTooLong(t *testing.T) {
	for name, stillWaits := range map[string]bool{"others have waited": false, "others still wait": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newTestPlacer()
				u := engineAt(0)
				p.Snapshots.SetUpstreams(view.NewUpstreams(map[ident.UpstreamID]*view.Upstream{u.ID: u}, 2))
				p.Snapshots.SetWeights(view.Weights{Model: "m", Version: 2, NamedAt: time.Now()})
				time.Sleep(p.OldWeightsGrace - 4*time.Second)
				c, err := p.Choose(requestFor(1))
				require.NoError(t, err)
				tracker := p.Begin(c, requestFor(1))
				time.Sleep(3 * time.Second)
				tracker.MarkActive()
				if !stillWaits {
					tracker.MarkFirstEvent()
				}
				_, err = p.Choose(requestFor(1))
				var blocked *BlockedError
				require.ErrorAs(t, err, &blocked, "the first token may come 2 s after the grace")
				require.Equal(t, BlockedLoading, blocked.Reason)
			})
		})
	}
}
