package moves

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
)

func TestOutcomeOf(t *testing.T) {
	upstreamError := func(kind extern.UpstreamErrorKind, notRun bool) error {
		return fmt.Errorf("attempt: %w", &extern.UpstreamError{Kind: kind, NotRun: notRun})
	}
	tests := []struct {
		err  error
		want Outcome
	}{
		{nil, OutcomeComplete},
		{context.Canceled, OutcomeIgnored},
		{upstreamError(extern.UpstreamOverloaded, true), OutcomeIgnored},
		{upstreamError(extern.UpstreamUnreachable, true), OutcomeUnreachable},
		{upstreamError(extern.UpstreamBroken, false), OutcomeBroken},
		{upstreamError(extern.UpstreamRejected, true), OutcomeRefused},
		{upstreamError(extern.UpstreamRejected, false), OutcomeFailed},
		{upstreamError(extern.UpstreamTimeout, false), OutcomeFailed},
		{upstreamError(extern.UpstreamResponseMismatch, false), OutcomeFailed},
	}
	for _, tt := range tests {
		require.Equal(t, tt.want, OutcomeOf(tt.err), "%v", tt.err)
	}
}

// Guards against counting each request that an engine outage breaks as a failure of the version. The engine crashes,
// is unreachable and comes back without the version: that counts twice, once for the crash and once for the refusals
// until it has loaded the version again.
func TestOutageOfOneEngineCountsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var tracker outageTracker
		observe := func(o Outcome, n int) {
			for range n {
				tracker.observe(&endedAttempt{Target: Target{Route: "quote", Upstream: "e1"}, Outcome: o}, true)
				time.Sleep(10 * time.Millisecond)
			}
		}
		observe(OutcomeBroken, 20)
		require.EqualValues(t, 1, tracker.total("quote", true))
		time.Sleep(time.Second)
		observe(OutcomeUnreachable, 100)
		require.EqualValues(t, 1, tracker.total("quote", true))
		observe(OutcomeRefused, 150)
		require.EqualValues(t, 2, tracker.total("quote", true))

		tracker.markAnswered("e1", time.Now())
		time.Sleep(time.Minute)
		observe(OutcomeBroken, 1)
		require.EqualValues(t, 3, tracker.total("quote", true))
		tracker.addFromPeer(outageEvent{outageKey{"quote", true}, "e1"})
		require.EqualValues(t, 3, tracker.total("quote", true))
		tracker.addFromPeer(outageEvent{outageKey{"quote", true}, "e2"})
		require.EqualValues(t, 4, tracker.total("quote", true))
		require.Len(t, tracker.takeUnsent(), 3)
		require.Empty(t, tracker.takeUnsent())
	})
}
