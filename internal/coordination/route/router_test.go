package route

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/health"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/prefix"
)

const blockTokens = 1000

func upstreams(n int) map[ident.UpstreamID]*config.Upstream {
	all := map[ident.UpstreamID]*config.Upstream{}
	for i := range n {
		id := ident.UpstreamID(fmt.Sprintf("e%02d", i))
		all[id] = &config.Upstream{ID: id, Kind: config.UpstreamEngine, Model: "m", BaseURL: "http://" + string(id)}
	}
	return all
}

// newRouter returns a router over n idle engines of model m that have loaded version v1.
func newRouter(n int, p Policy) *Router {
	r := &Router{Policy: p, Index: &prefix.Index{Capacity: 10000}, Health: &health.Table{}}
	r.Update(upstreams(n))
	for id := range r.Health.Upstreams() {
		sendLoadReport(r, id, 1, 0)
	}
	return r
}

func sendLoadReport(r *Router, id ident.UpstreamID, incarnation ident.Incarnation, queued ident.Tokens) {
	sink := &EventSink{Router: r, Upstream: id}
	sink.LoadReport(extern.LoadReport{
		Incarnation: incarnation, QueuedTokens: queued, Versions: []ident.VersionID{"v1"},
	})
}

func newRequest(chain ...ident.BlockHash) *Request {
	return &Request{
		Scope:        prefix.Scope{Organisation: "survey", Model: "m", Version: "v1"},
		Chain:        chain,
		BlockTokens:  blockTokens,
		PromptTokens: ident.Tokens(len(chain))*blockTokens + 10,
	}
}

func addCachedBlocks(r *Router, id ident.UpstreamID, chain ...ident.BlockHash) {
	sink := &EventSink{Router: r, Upstream: id}
	sink.CacheEvent(extern.CacheEvent{
		Position: extern.EnginePosition{Incarnation: 1, Sequence: 1}, Added: chain,
	})
}

func requireRefusal(t *testing.T, err error) *NoEngineError {
	t.Helper()
	var refused *NoEngineError
	require.ErrorAs(t, err, &refused)
	return refused
}

// TestPoliciesChooseOnlyEligibleEngines guards against sending requests to engines that are leaving, ejected or without the
// version while a better one exists, and against refusing them while only an ejected engine is left.
func TestPoliciesChooseOnlyEligibleEngines(t *testing.T) {
	for _, name := range []PolicyName{PolicyRandom, PolicyRoundRobin, PolicyLeastLoad, PolicyPrefix} {
		t.Run(string(name), func(t *testing.T) {
			p, policyErr := PolicyOf(name)
			require.NoError(t, policyErr)
			r := newRouter(4, p)
			cfg := upstreams(4)
			cfg["e00"].Leaving = true
			r.Update(cfg)
			r.Health.RecordUnreachable(r.Health.Upstream("e01"), time.Now())
			(&EventSink{Router: r, Upstream: "e02"}).LoadReport(extern.LoadReport{Incarnation: 1, Versions: []ident.VersionID{"v2"}})
			for i := range 20 {
				chosen, refused := r.Pick(newRequest(ident.BlockHash(i)))
				require.NoError(t, refused)
				require.EqualValues(t, "e03", chosen.Upstream)
				require.Equal(t, "http://e03", chosen.BaseURL)
			}
			req := newRequest(1)
			req.Tried = []ident.UpstreamID{"e03"}
			d, err := r.Pick(req)
			require.NoError(t, err)
			require.EqualValues(t, "e01", d.Upstream, "an ejected engine is better than none")
			req.Tried = append(req.Tried, "e01")
			_, err = r.Pick(req)
			require.Equal(t, RefusedTried, requireRefusal(t, err).Reason)
		})
	}
	_, err := PolicyOf("best")
	var unknown *PolicyError
	require.ErrorAs(t, err, &unknown)
}

// TestPickRefusals checks the reason of each refusal that does not depend on load.
func TestPickRefusals(t *testing.T) {
	r := newRouter(2, PrefixAware{})
	req := newRequest(1)
	req.Scope.Version = "v9"
	_, err := r.Pick(req)
	require.Equal(t, RefusedNotLoaded, requireRefusal(t, err).Reason)
	req.Scope.Model = "other"
	_, err = r.Pick(req)
	require.Equal(t, RefusedNoEngines, requireRefusal(t, err).Reason)
	require.Positive(t, requireRefusal(t, err).RetryAfter)
	req = newRequest(1)
	req.Deadline = time.Now().Add(-time.Second)
	_, err = r.Pick(req)
	require.Equal(t, RefusedDeadline, requireRefusal(t, err).Reason)
}

// TestPickRefusesRequestsThatWouldMissTheDeadline guards against sending a request whose estimated first token comes after
// its deadline; RetryAfter is by how much.
func TestPickRefusesRequestsThatWouldMissTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRouter(1, PrefixAware{})
		sendLoadReport(r, "e00", 1, 10*health.DefaultPrefillTokensPerSecond)
		req := newRequest(1)
		req.Deadline = time.Now().Add(time.Second)
		_, err := r.Pick(req)
		refused := requireRefusal(t, err)
		require.Equal(t, RefusedDeadline, refused.Reason)
		require.InDelta(t, 9, refused.RetryAfter.Seconds(), 0.2)
		time.Sleep(10 * time.Second)
		req.Deadline = time.Now().Add(time.Second)
		_, err = r.Pick(req)
		require.NoError(t, err)
	})
}

// TestCachedPrefixWinsUntilItsQueueCostsMore guards against ignoring a cached prefix, and against overloading the one
// engine that has it.
func TestCachedPrefixWinsUntilItsQueueCostsMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRouter(4, PrefixAware{})
		addCachedBlocks(r, "e02", 1, 2, 3)
		d, err := r.Pick(newRequest(1, 2, 3, 4))
		require.NoError(t, err)
		require.EqualValues(t, "e02", d.Upstream)
		require.Equal(t, ReasonPrefixHit, d.Reason)
		require.EqualValues(t, 3*blockTokens, d.ExpectedCachedTokens)

		sendLoadReport(r, "e02", 1, 100*blockTokens)
		d, err = r.Pick(newRequest(1, 2, 3, 4))
		require.NoError(t, err)
		require.NotEqualValues(t, "e02", d.Upstream)
		require.Equal(t, ReasonReplicated, d.Reason)
		require.Zero(t, d.ExpectedCachedTokens)
	})
}

// TestBlocksOfAnOldIncarnationAreIgnored guards against counting on the cache of an engine that has restarted.
func TestBlocksOfAnOldIncarnationAreIgnored(t *testing.T) {
	r := newRouter(3, PrefixAware{})
	addCachedBlocks(r, "e01", 1, 2, 3)
	sendLoadReport(r, "e01", 2, 0)
	for range 20 {
		d, err := r.Pick(newRequest(1, 2, 3))
		require.NoError(t, err)
		require.Zero(t, d.ExpectedCachedTokens)
		require.Equal(t, ReasonNoPrefix, d.Reason)
	}
}

// TestDaemonsChooseTheSameEngineForAnUncachedPrefix guards against computing a prefix on several engines because daemons
// disagree, and against leaving engines unused.
func TestDaemonsChooseTheSameEngineForAnUncachedPrefix(t *testing.T) {
	a, b := newRouter(12, PrefixAware{}), newRouter(12, PrefixAware{})
	used := map[ident.UpstreamID]bool{}
	for i := range 100 {
		chain := prefix.Chain(prefix.Scope{}, []byte(fmt.Sprintf("%04d and so on to the end", i)), 1)
		decisionA, err := a.Pick(newRequest(chain...))
		require.NoError(t, err)
		decisionB, err := b.Pick(newRequest(chain...))
		require.NoError(t, err)
		require.Equal(t, decisionA.Upstream, decisionB.Upstream)
		used[decisionA.Upstream] = true
	}
	require.Len(t, used, 12)
}

// TestAttemptUpdatesLoadHealthAndIndex follows attempts from start to end or failure and checks what the router learns.
func TestAttemptUpdatesLoadHealthAndIndex(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRouter(2, PrefixAware{})
		req := newRequest(1, 2)
		d, err := r.Pick(req)
		require.NoError(t, err)
		a := r.StartAttempt(req, d)
		u := r.Health.Upstream(d.Upstream)
		require.EqualValues(t, 2010, u.Load(time.Now()).QueuedTokens)
		again, err := r.Pick(req)
		require.NoError(t, err)
		require.Equal(t, d.Upstream, again.Upstream, "the daemon's own request counts as cached")
		require.EqualValues(t, 2*blockTokens, again.ExpectedCachedTokens)
		time.Sleep(time.Second)
		a.FirstToken()
		require.Zero(t, u.Load(time.Now()).QueuedTokens)
		a.Finished(&extern.EngineDone{PromptTokens: 2010, OutputTokens: 5})
		require.InDelta(t, 2010, u.PrefillRate(), 1)

		a = r.StartAttempt(req, again)
		a.Failed(&extern.UpstreamError{Kind: extern.UpstreamUnreachable, Upstream: d.Upstream})
		a.Failed(errors.New("failed twice"))
		require.True(t, u.Ejected(time.Now()))
		require.Empty(t, r.Index.Match(nil, req.Chain))
	})
}

// TestBlocksAreImportedOnlyWhenFaster guards against imports from the KV cache store that take longer than prefill.
func TestBlocksAreImportedOnlyWhenFaster(t *testing.T) {
	r := newRouter(2, PrefixAware{})
	cfg := upstreams(2)
	cfg["store"] = &config.Upstream{ID: "store", Kind: config.UpstreamKVStore}
	r.Update(cfg)
	r.KVStore, r.ImportRate, r.ImportLatency = "store", 100*health.DefaultPrefillTokensPerSecond, time.Millisecond
	addCachedBlocks(r, "store", 1, 2, 3)
	d, err := r.Pick(newRequest(1, 2, 3, 4))
	require.NoError(t, err)
	require.Equal(t, 3, d.ImportBlocks)
	require.Equal(t, ReasonImported, d.Reason)
	r.ImportRate = health.DefaultPrefillTokensPerSecond / 2
	d, err = r.Pick(newRequest(1, 2, 3, 4))
	require.NoError(t, err)
	require.Zero(t, d.ImportBlocks)
}

// TestSnapshotWarmsUpARouter guards against a starting daemon that has to learn the caches, load and speed of all engines.
func TestSnapshotWarmsUpARouter(t *testing.T) {
	a, b := newRouter(4, PrefixAware{}), &Router{Policy: PrefixAware{}, Index: &prefix.Index{Capacity: 1000}, Health: &health.Table{}}
	b.Update(upstreams(4))
	addCachedBlocks(a, "e03", 1, 2, 3)
	sendLoadReport(a, "e00", 1, 777)
	a.Health.Upstream("e03").ObservePrefill(1234, time.Second)
	d := &wire.Digest{}
	a.Snapshot(d)
	b.Merge(d)
	got, err := b.Pick(newRequest(1, 2, 3))
	require.NoError(t, err)
	require.EqualValues(t, "e03", got.Upstream)
	require.EqualValues(t, 3*blockTokens, got.ExpectedCachedTokens)
	require.EqualValues(t, 1234, b.Health.Upstream("e03").PrefillRate())
}
