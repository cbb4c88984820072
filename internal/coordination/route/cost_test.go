package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// TestSlackFollowsTheLearnedSpeed: what counts as equal is a part of the computation at the speed of the engines.
func TestSlackFollowsTheLearnedSpeed(t *testing.T) {
	const speed = 50_000
	req := request(1, 2, 3, 4)
	miss := float64(req.PromptTokens) * (1 + DefaultRecomputeWeight)
	cases := map[string]struct {
		beyond float64 // queue of the holder beyond the cost of a miss, in prompts
		want   ident.UpstreamID
	}{
		"within the slack": {DefaultTieTolerance / 2, "e00"},
		"beyond the slack": {DefaultTieTolerance * 2, "e01"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRouter(2, PrefixAware{})
			for id := range r.Health.Upstreams() {
				r.Health.Upstream(id).ObservePrefill(speed, time.Second)
			}
			hold(r, "e00", req.Chain...)
			// The report is of the near future, so that nothing has been computed since however slow the machine.
			now := time.Now().Add(time.Hour)
			queue := miss + tc.beyond*float64(req.PromptTokens)
			r.Health.Upstream("e00").ApplyReport(extern.LoadReport{Incarnation: 1, QueuedTokens: ident.Tokens(queue), Versions: []ident.VersionID{"v1"}}, now)
			r.Health.Upstream("e01").ApplyReport(extern.LoadReport{Incarnation: 1, Versions: []ident.VersionID{"v1"}}, now)
			s := &scratch{}
			r.match(s, req)
			require.Empty(t, r.collect(s, r.Health.Engines(req.Scope.Model), req, now))
			for i := range s.candidates {
				r.estimate(PrefixAware{}, s, &s.candidates[i], req, 0, 1)
			}
			at, _ := r.bestPrefix(PrefixAware{}, s, req)
			require.Equal(t, tc.want, s.candidates[at].upstream.ID)
		})
	}
}

// TestAFullBatchCounts: a queue for the batch sends a request elsewhere although hardly a token waits.
func TestAFullBatchCounts(t *testing.T) {
	req := request(1, 2, 3, 4)
	r := newRouter(2, PrefixAware{})
	hold(r, "e00", req.Chain...)
	holder := r.Health.Upstream("e00")
	holder.ObserveDecodeTime(time.Minute)
	holder.ApplyReport(extern.LoadReport{Incarnation: 1, RunningRequests: 16, WaitingRequests: 16, Versions: []ident.VersionID{"v1"}}, time.Now())
	d, err := r.Pick(req)
	require.NoError(t, err)
	require.Equal(t, ident.UpstreamID("e01"), d.Upstream)
	require.Equal(t, ReasonReplicated, d.Reason)
}
