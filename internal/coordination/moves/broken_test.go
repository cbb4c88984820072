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
	up := func(kind extern.UpstreamErrorKind, notRun bool) error {
		return fmt.Errorf("attempt: %w", &extern.UpstreamError{Kind: kind, NotRun: notRun})
	}
	tests := []struct {
		err  error
		want Outcome
	}{
		{nil, OutcomeComplete},
		{context.Canceled, OutcomeIgnored},
		{up(extern.UpstreamOverloaded, true), OutcomeIgnored},
		{up(extern.UpstreamUnreachable, true), OutcomeUnreachable},
		{up(extern.UpstreamBroken, false), OutcomeBroken},
		{up(extern.UpstreamRejected, true), OutcomeRefused},
		{up(extern.UpstreamRejected, false), OutcomeFailed},
		{up(extern.UpstreamTimeout, false), OutcomeFailed},
		{up(extern.UpstreamResponseMismatch, false), OutcomeFailed},
	}
	for _, tt := range tests {
		require.Equal(t, tt.want, OutcomeOf(tt.err), "%v", tt.err)
	}
}

// An engine that crashes, is unreachable and comes back without the version counts twice: for the crash and for what
// it refuses until it has the version again.
func TestOneEnginesTroubleCountsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b brokenUpstreams
		see := func(o Outcome, times int) {
			for range times {
				b.saw(&sample{Target: Target{Route: "quote", Upstream: "e1"}, Outcome: o}, true)
				time.Sleep(10 * time.Millisecond)
			}
		}
		see(OutcomeBroken, 20)
		require.EqualValues(t, 1, b.total("quote", true))
		time.Sleep(time.Second)
		see(OutcomeUnreachable, 100)
		require.EqualValues(t, 1, b.total("quote", true))
		see(OutcomeRefused, 150)
		require.EqualValues(t, 2, b.total("quote", true))

		b.answered("e1", time.Now())
		time.Sleep(time.Minute)
		see(OutcomeBroken, 1)
		require.EqualValues(t, 3, b.total("quote", true))
		b.heard(brokenUpstream{brokenKey{"quote", true}, "e1"})
		require.EqualValues(t, 3, b.total("quote", true))
		b.heard(brokenUpstream{brokenKey{"quote", true}, "e2"})
		require.EqualValues(t, 4, b.total("quote", true))
		require.Len(t, b.take(), 3)
		require.Empty(t, b.take())
	})
}
