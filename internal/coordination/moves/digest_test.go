package moves

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

func newTestMonitor() *Monitor {
	s, _ := splitterAtShare(500)
	return &Monitor{Splitter: s}
}

func (m *Monitor) finishRequest(version ident.VersionID, org ident.OrganisationID, outcome Outcome) {
	attempt := m.Begin(Target{Model: testModel, Route: "quote", Version: version, Organisation: org, Upstream: "e1"}, 0)
	attempt.End(outcome, 0)
}

func (m *Monitor) mergedCounts(isNew bool) counts {
	stats := m.statsFor(m.Splitter.table.Load().splitOf(testMove))
	return stats.totals(true)[countersKey{"quote", "mill", isNew}]
}

// Guards against lost or doubled counts when digests are repeated, reordered or sent before a restart of the peer.
func TestRepeatedAndReorderedDigestsCountOnce(t *testing.T) {
	a, b := newTestMonitor(), newTestMonitor()
	a.finishRequest(newVersion, "mill", OutcomeFailed)
	first := a.Digest()
	a.finishRequest(newVersion, "mill", OutcomeComplete)
	second := a.Digest()
	b.Merge("a", 1, second)
	b.Merge("a", 1, first)
	b.Merge("a", 1, second)
	require.Equal(t, counts{requests: 2, failures: 1}, b.mergedCounts(true))

	restarted := newTestMonitor()
	restarted.finishRequest(newVersion, "mill", OutcomeComplete)
	b.Merge("a", 2, restarted.Digest())
	b.Merge("a", 1, second)
	require.Equal(t, counts{requests: 3, failures: 1}, b.mergedCounts(true))
	require.Equal(t, counts{}, b.mergedCounts(false))
}

// Guards against digests that carry rows for ever: a row that doesn't change is repeated a few times and then left
// out.
func TestUnchangedRowsAreNoLongerSent(t *testing.T) {
	monitor := newTestMonitor()
	monitor.finishRequest(oldVersion, "mill", OutcomeComplete)
	for range 1 + digestRowRepeats {
		require.Len(t, monitor.Digest(), 1)
	}
	require.Empty(t, monitor.Digest())
}

// Guards against a version that stays in use on daemons that have seen none of its failures: a stop travels with the
// digest.
func TestDigestStopsVersionOnPeers(t *testing.T) {
	a, b := newTestMonitor(), newTestMonitor()
	a.Splitter.Stop(testMove, "bad")
	b.Merge("a", 1, a.Digest())
	require.Equal(t, "bad", b.Splitter.StopReason(testMove))
}

// Guards against memory and digests that grow with the number of organisations.
func TestOrganisationsBeyondLimitShareCounters(t *testing.T) {
	monitor := newTestMonitor()
	for i := range 3 * maxCountedOrganisations {
		monitor.finishRequest(newVersion, ident.OrganisationID(fmt.Sprint("org", i)), OutcomeComplete)
	}
	stats := monitor.statsFor(monitor.Splitter.table.Load().splitOf(testMove))
	all := stats.totals(true)
	require.Len(t, all, maxCountedOrganisations+1)
	require.EqualValues(t, 2*maxCountedOrganisations, all[countersKey{"quote", "", true}].requests)
}

// FuzzMerge checks that no digest of a peer breaks the monitor or the judge.
func FuzzMerge(f *testing.F) {
	monitor := newTestMonitor()
	monitor.finishRequest(newVersion, "mill", OutcomeFailed)
	for _, row := range monitor.Digest() {
		raw, err := proto.Marshal(row)
		require.NoError(f, err)
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var row wire.MoveDigest
		if proto.Unmarshal(raw, &row) != nil {
			return
		}
		monitor := newTestMonitor()
		monitor.Merge("a", 1, []*wire.MoveDigest{&row})
		j := Judge{Monitor: monitor}
		require.Len(t, j.Evaluate(time.Now(), Settings{}), 1)
	})
}

// BenchmarkTick evaluates a move of two routes with the counts of 25 organisations on each, from 409 peers.
func BenchmarkTick(b *testing.B) {
	monitor := newTestMonitor()
	stats := monitor.statsFor(monitor.Splitter.table.Load().splitOf(testMove))
	for d := range 409 {
		for org := range maxCountedOrganisations + 1 {
			for _, route := range []ident.RouteID{"quote", "note"} {
				for _, isNew := range []bool{false, true} {
					key := countersKey{route, ident.OrganisationID(fmt.Sprint(org)), isNew}
					stats.mergeCounts(peerInstance{ident.DaemonID(fmt.Sprint(d)), 1}, key, counts{requests: 10})
				}
			}
		}
	}
	j := Judge{Monitor: monitor}
	b.ReportAllocs()
	for b.Loop() {
		j.Evaluate(time.Now(), Settings{})
	}
}
