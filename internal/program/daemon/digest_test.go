package daemon

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Guards against digests that exceed the byte rate in a large fleet, and against a fleet size for which none is ever sent.
func TestDigestBudgetKeepsByteRateForAnyFleetSize(t *testing.T) {
	const seconds = 600
	for peers := range 410 {
		budget := digestBudget{}
		sent, digests := 0, 0
		for range seconds {
			limit := budget.nextLimit(peers)
			if limit == 0 {
				continue
			}
			require.GreaterOrEqual(t, limit, minDigestBytes)
			require.LessOrEqual(t, limit, maxDigestBytes)
			sent += limit * peers
			digests++
		}
		require.LessOrEqual(t, sent, seconds*digestBytesPerSecond, "%d peers", peers)
		require.Positive(t, digests, "%d peers", peers)
	}
}

// Guards against sending a notice twice to one peer, and against a fleet smaller than the sample.
func TestSampleReturnsDistinctDaemons(t *testing.T) {
	for _, fleet := range []int{0, 1, maxNoticePeers, maxNoticePeers + 1, 409} {
		ids := make([]ident.DaemonID, 0, fleet)
		for i := range fleet {
			ids = append(ids, ident.DaemonID(fmt.Sprint("d", i)))
		}
		picked := sample(slices.Clone(ids), maxNoticePeers)
		require.Len(t, picked, min(fleet, maxNoticePeers))
		slices.Sort(picked)
		require.Len(t, slices.Compact(picked), min(fleet, maxNoticePeers))
		require.Subset(t, ids, picked)
	}
}
