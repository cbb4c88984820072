package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// TestTieToleranceScalesWithPrefillRate guards against a tolerance that ignores the observed prefill rate: on engines
// faster than the default rate, requests would stay with a cached prefix however long its queue.
func TestTieToleranceScalesWithPrefillRate(t *testing.T) {
	const prefillRate = 50_000
	req := newRequest(1, 2, 3, 4)
	missCost := float64(req.PromptTokens) * (1 + DefaultRecomputeWeight)
	cases := map[string]struct {
		beyond float64 // by how much the queue of the engine with the prefix exceeds missCost, in prompt lengths
		want   ident.UpstreamID
	}{
		"queue within the tolerance": {DefaultTieTolerance / 2, "e00"},
		"queue beyond the tolerance": {DefaultTieTolerance * 2, "e01"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRouter(2, PrefixAware{})
			for id := range r.Health.Upstreams() {
				r.Health.Upstream(id).ObservePrefill(prefillRate, time.Second)
			}
			addCachedBlocks(r, "e00", req.Chain...)
			// The report lies in the future, so that no queued token counts as computed since, however slowly the test runs.
			now := time.Now().Add(time.Hour)
			queue := missCost + tc.beyond*float64(req.PromptTokens)
			r.Health.Upstream("e00").ApplyReport(extern.LoadReport{Incarnation: 1, QueuedTokens: ident.Tokens(queue), Versions: []ident.VersionID{"v1"}}, now)
			r.Health.Upstream("e01").ApplyReport(extern.LoadReport{Incarnation: 1, Versions: []ident.VersionID{"v1"}}, now)
			s := &scratch{}
			r.matchPrefix(s, req)
			require.Empty(t, r.collectCandidates(s, r.Health.Engines(req.Scope.Model), req, now))
			for i := range s.candidates {
				r.estimateCost(PrefixAware{}, s, &s.candidates[i], req, 0, 1)
			}
			chosen, _ := r.choosePrefixAware(PrefixAware{}, s, req)
			require.Equal(t, tc.want, s.candidates[chosen].upstream.ID)
		})
	}
}

// TestFullBatchSendsRequestElsewhere guards against an estimate from queued tokens alone: when the batch of an engine is
// full, requests wait for decoding to end although no tokens are queued.
func TestFullBatchSendsRequestElsewhere(t *testing.T) {
	req := newRequest(1, 2, 3, 4)
	r := newRouter(2, PrefixAware{})
	addCachedBlocks(r, "e00", req.Chain...)
	loaded := r.Health.Upstream("e00")
	loaded.ObserveDecodeTime(time.Minute)
	loaded.ApplyReport(extern.LoadReport{Incarnation: 1, RunningRequests: 16, WaitingRequests: 16, Versions: []ident.VersionID{"v1"}}, time.Now())
	d, err := r.Pick(req)
	require.NoError(t, err)
	require.Equal(t, ident.UpstreamID("e01"), d.Upstream)
	require.Equal(t, ReasonReplicated, d.Reason)
}
