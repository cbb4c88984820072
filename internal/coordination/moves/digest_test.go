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

func newWatch() *Monitor {
	s, _ := splitAt(500)
	return &Monitor{Splitter: s}
}

func (w *Monitor) finish(v ident.VersionID, org ident.OrganisationID, o Outcome) {
	fl := w.Begin(Target{Model: testModel, Route: "quote", Version: v, Organisation: org, Upstream: "e1"}, 0)
	fl.End(o, 0)
}

func (w *Monitor) seen(isNew bool) counts {
	f := w.figuresOf(w.Splitter.table.Load().shareOf(testMove))
	return f.totals(true)[cellKey{"quote", "mill", isNew}]
}

// Digests that are lost, repeated, late or from before a restart neither lose nor double counts.
func TestDigestsAddUp(t *testing.T) {
	a, b := newWatch(), newWatch()
	a.finish(newV, "mill", OutcomeFailed)
	first := a.Digest()
	a.finish(newV, "mill", OutcomeComplete)
	second := a.Digest()
	b.Merge("a", 1, second)
	b.Merge("a", 1, first)
	b.Merge("a", 1, second)
	require.Equal(t, counts{requests: 2, failures: 1}, b.seen(true))

	restarted := newWatch()
	restarted.finish(newV, "mill", OutcomeComplete)
	b.Merge("a", 2, restarted.Digest())
	b.Merge("a", 1, second)
	require.Equal(t, counts{requests: 3, failures: 1}, b.seen(true))
	require.Equal(t, counts{}, b.seen(false))
}

func TestUnchangedRowsStop(t *testing.T) {
	w := newWatch()
	w.finish(oldV, "mill", OutcomeComplete)
	for range 1 + digestRepeats {
		require.Len(t, w.Digest(), 1)
	}
	require.Empty(t, w.Digest())
}

func TestStopTravelsWithTheDigest(t *testing.T) {
	a, b := newWatch(), newWatch()
	a.Splitter.Stop(testMove, "bad")
	b.Merge("a", 1, a.Digest())
	require.Equal(t, "bad", b.Splitter.StopReason(testMove))
}

func TestOrganisationsBeyondTheFirstShareCounts(t *testing.T) {
	w := newWatch()
	for i := range 3 * countedOrganisations {
		w.finish(newV, ident.OrganisationID(fmt.Sprint("org", i)), OutcomeComplete)
	}
	f := w.figuresOf(w.Splitter.table.Load().shareOf(testMove))
	all := f.totals(true)
	require.Len(t, all, countedOrganisations+1)
	require.EqualValues(t, 2*countedOrganisations, all[cellKey{"quote", "", true}].requests)
}

// FuzzMerge checks that no digest of a peer breaks the watch.
func FuzzMerge(f *testing.F) {
	w := newWatch()
	w.finish(newV, "mill", OutcomeFailed)
	for _, row := range w.Digest() {
		raw, err := proto.Marshal(row)
		require.NoError(f, err)
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var row wire.MoveDigest
		if proto.Unmarshal(raw, &row) != nil {
			return
		}
		w := newWatch()
		w.Merge("a", 1, []*wire.MoveDigest{&row})
		j := Judge{Monitor: w}
		require.Len(t, j.Evaluate(time.Now(), Settings{}), 1)
	})
}

// BenchmarkTick judges a move of two routes with 25 counted organisations each, told by 409 peers.
func BenchmarkTick(b *testing.B) {
	w := newWatch()
	f := w.figuresOf(w.Splitter.table.Load().shareOf(testMove))
	for d := range 409 {
		for org := range countedOrganisations + 1 {
			for _, route := range []ident.RouteID{"quote", "note"} {
				for _, isNew := range []bool{false, true} {
					key := cellKey{route, ident.OrganisationID(fmt.Sprint(org)), isNew}
					f.merge(peer{ident.DaemonID(fmt.Sprint(d)), 1}, key, counts{requests: 10})
				}
			}
		}
	}
	j := Judge{Monitor: w}
	b.ReportAllocs()
	for b.Loop() {
		j.Evaluate(time.Now(), Settings{})
	}
}
