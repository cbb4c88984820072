package daemon

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

func TestDigestsStayWithinTheirRateInAFleetOfAnySize(t *testing.T) {
	const seconds = 600
	for others := range 410 {
		budget := digestBudget{}
		sent, digests := 0, 0
		for range seconds {
			limit := budget.next(others)
			if limit == 0 {
				continue
			}
			require.GreaterOrEqual(t, limit, leastDigestBytes)
			require.LessOrEqual(t, limit, digestBytes)
			sent += limit * others
			digests++
		}
		require.LessOrEqual(t, sent, seconds*digestRate, "%d others", others)
		require.Positive(t, digests, "%d others", others)
	}
}

func TestASampleHasDistinctDaemons(t *testing.T) {
	for _, fleet := range []int{0, 1, noticePeers, noticePeers + 1, 409} {
		ids := make([]ident.DaemonID, 0, fleet)
		for i := range fleet {
			ids = append(ids, ident.DaemonID(fmt.Sprint("d", i)))
		}
		picked := sample(slices.Clone(ids), noticePeers)
		require.Len(t, picked, min(fleet, noticePeers))
		slices.Sort(picked)
		require.Len(t, slices.Compact(picked), min(fleet, noticePeers))
		require.Subset(t, ids, picked)
	}
}
