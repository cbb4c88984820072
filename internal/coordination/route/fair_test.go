package route

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// TestPriorityDropsBeyondHalfTheBurst guards against slowing organisations within their rate or within half of their
// burst, or because of what another organisation uses.
func TestPriorityDropsBeyondHalfTheBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const rate, burst = 1000, 10_000
		f := &FairShare{}
		priority := func(org ident.OrganisationID) int { return f.Priority(org, rate, burst, time.Now()) }
		serve := func(n ident.Tokens) { f.AddServed("survey", rate, n, time.Now()) }
		require.Zero(t, priority("survey"))
		serve(burst / 2)
		require.Zero(t, priority("survey"), "half of the burst is free")
		serve(1)
		require.Equal(t, 1, priority("survey"))
		serve(burst / 2)
		require.Equal(t, MaxPriority, priority("survey"))
		require.Zero(t, priority("audit"), "another organisation is not affected")
		time.Sleep(5 * time.Second)
		require.LessOrEqual(t, priority("survey"), 1, "the rate has drained the counter")
		time.Sleep(time.Minute)
		for range 600 {
			serve(rate / 10)
			time.Sleep(100 * time.Millisecond)
			require.Zero(t, priority("survey"), "usage at the rate keeps the best priority")
		}
	})
}

// TestUsageReachesOtherDaemons guards against priorities that depend on which daemon served an organisation.
func TestUsageReachesOtherDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := &FairShare{}, &FairShare{}
		b.AddServed("survey", 1000, 1, time.Now())
		a.AddServed("survey", 1000, 9000, time.Now())
		digests := a.Delta()
		require.Len(t, digests, 1)
		require.Empty(t, a.Delta(), "each token is reported once")
		for _, d := range digests {
			b.Merge(d)
		}
		require.Equal(t, a.Priority("survey", 1000, 10_000, time.Now()), b.Priority("survey", 1000, 10_000, time.Now()))
		require.Positive(t, b.Priority("survey", 1000, 10_000, time.Now()))
		b.Merge(&wire.OrganisationDigest{OrganisationId: "unknown", ServedTokens: 1 << 40})
		require.Zero(t, b.Priority("unknown", 0, 0, time.Now()), "without a rate there is no priority")
	})
}
