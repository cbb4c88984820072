package place

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

const (
	testDomains        = 4
	testEvacuationTime = 2500 * time.Millisecond
)

// placerInDomains returns a placer whose engines are spread over failure domains z0 to z3.
func placerInDomains() *Placer {
	p := newTestPlacer()
	byID := map[ident.UpstreamID]*view.Upstream{}
	for i := range engineCount {
		u := engineAt(i)
		u.FailureDomain = ident.FailureDomain(fmt.Sprint("z", i%testDomains))
		byID[u.ID] = u
	}
	p.Snapshots.SetUpstreams(view.NewUpstreams(byID, 2))
	p.EvacuationTime = testEvacuationTime
	return p
}

// missedAtPeak sends requests for all chains in turn at a high rate, with an evacuation of z0 after a while. It returns the tokens of shared parts
// that the engines had not cached in the worst half second after that, and in all. No request may go to z0 after EvacuationTime.
func missedAtPeak(t *testing.T, p *Placer) (worst, sum ident.Tokens) {
	t.Helper()
	const (
		requestInterval = 5 * time.Millisecond
		warmTime        = 10 * time.Second
		window          = 500 * time.Millisecond
	)
	var begun time.Time
	inWindow := map[int]ident.Tokens{}
	for i := 0; ; i++ {
		now := time.Now()
		if i == int(warmTime/requestInterval) {
			begun = now
			p.Snapshots.SetEvacuation(view.Evacuation{FailureDomain: "z0", Offset: 1, BegunAt: now})
		}
		if !begun.IsZero() && now.Sub(begun) > 2*testEvacuationTime {
			break
		}
		r := requestFor(i % chainCount)
		c, err := p.Choose(r)
		require.NoError(t, err)
		tracker := p.Begin(c, r)
		time.Sleep(requestInterval)
		tracker.MarkActive()
		tracker.End(OutcomeSucceeded)
		if !begun.IsZero() {
			inWindow[int(now.Sub(begun)/window)] += c.MissedTokens
			if now.Sub(begun) >= p.EvacuationTime {
				require.NotEqual(t, ident.FailureDomain("z0"), c.Upstream.FailureDomain, "after %v", now.Sub(begun))
			}
		}
	}
	for _, tokens := range inWindow {
		worst, sum = max(worst, tokens), sum+tokens
	}
	return worst, sum
}

// Guards against prompts of an evacuated failure domain that are all computed anew at the same time, which delays those of the others: no half
// second may have over twice the even share of the time that there is.
func TestPromptsLeaveEvacuatedFailureDomainOneAfterTheOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worst, sum := missedAtPeak(t, placerInDomains())
		require.Positive(t, sum)
		require.LessOrEqual(t, float64(worst), 2*float64(sum)/5)
	})
	synctest.Test(t, func(t *testing.T) {
		p := placerInDomains()
		p.EvacuationTime = 0
		worst, sum := missedAtPeak(t, p)
		require.Greater(t, float64(worst), 2*float64(sum)/5, "the load tells the two apart")
	})
}

// Guards against prompts that are computed anew though the evacuated engine still has them.
func TestPartsAreFetchedFromEvacuatedEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := placerInDomains()
		r := requestFor(1)
		before, err := p.Choose(r)
		require.NoError(t, err)
		tracker := p.Begin(before, r)
		time.Sleep(time.Second)
		tracker.MarkActive()
		tracker.End(OutcomeSucceeded)
		p.Snapshots.SetEvacuation(view.Evacuation{FailureDomain: before.Upstream.FailureDomain, Offset: 1})
		require.False(t, p.Allows(before, r))
		p.Snapshots.SetEvacuation(view.Evacuation{FailureDomain: before.Upstream.FailureDomain, Offset: 1, Ended: true})
		p.Snapshots.SetEvacuation(view.Evacuation{FailureDomain: before.Upstream.FailureDomain, Offset: 2, BegunAt: time.Now().Add(-testEvacuationTime)})
		after, err := p.Choose(r)
		require.NoError(t, err)
		require.NotEqual(t, before.Upstream.FailureDomain, after.Upstream.FailureDomain)
		require.Equal(t, FetchFromEngine, after.Fetch)
		require.Equal(t, before.Upstream.Address, after.SourceAddress)
	})
}

// Guards against a reason that doesn't end soon and hides one that does, so that the request would not wait.
func TestRequestWaitsForUpstreamsThatAreNotEvacuated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := placerInDomains()
		for i := range testDomains {
			p.Snapshots.SetEvacuation(view.Evacuation{FailureDomain: ident.FailureDomain(fmt.Sprint("z", i)), Offset: ident.Offset(i + 1)})
		}
		_, err := p.Choose(requestFor(1))
		blocked, ok := errors.AsType[*BlockedError](err)
		require.True(t, ok)
		require.Equal(t, BlockedEvacuated, blocked.Reason)
		require.False(t, blocked.Ends())
		require.False(t, p.IsUnreachable("llm"))
		p.Snapshots.SetEvacuation(view.Evacuation{FailureDomain: "z1", Offset: 9, Ended: true})
		for i := 1; i < engineCount; i += testDomains {
			p.SetLoading(engineAt(i).ID, 50*time.Millisecond)
		}
		_, err = p.Choose(requestFor(1))
		blocked, ok = errors.AsType[*BlockedError](err)
		require.True(t, ok)
		require.Equal(t, BlockedLoading, blocked.Reason)
		require.True(t, blocked.Ends())
	})
}

// Guards against a daemon that can connect only to evacuated upstreams and doesn't pass requests on.
func TestEvacuatedUpstreamsMakeNoServiceReachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := placerInDomains()
		_, err := p.Choose(requestFor(1))
		require.NoError(t, err)
		for i := range engineCount {
			if i%testDomains != 0 {
				p.MarkUnreachable(engineAt(i).ID)
			}
		}
		require.False(t, p.IsUnreachable("llm"))
		p.Snapshots.SetEvacuation(view.Evacuation{FailureDomain: "z0", Offset: 1})
		require.True(t, p.IsUnreachable("llm"))
	})
}
