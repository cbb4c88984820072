package quota

import (
	"context"
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/rhash"
)

// largeState is a state with many daemons and organisations.
type largeState struct {
	limit    Limit
	nodes    []rhash.Node
	revision ident.Offset
}

func (s *largeState) Limit(ident.OrganisationID) (Limit, bool) { return s.limit, true }

func (s *largeState) Homes(org ident.OrganisationID) []ident.DaemonID {
	return rhash.Pick(string(org), s.nodes, 4)
}

func (s *largeState) MembersRevision() ident.Offset { return s.revision }

func newLargeState(daemons int) *largeState {
	s := &largeState{limit: Limit{Rate: 1e6, Burst: 4e6}, revision: 1}
	for i := range daemons {
		s.nodes = append(s.nodes, rhash.Node{
			ID: ident.DaemonID(fmt.Sprintf("d%03d", i)), FailureDomain: ident.FailureDomain(fmt.Sprint("riga-", i%10)),
		})
	}
	return s
}

// newActiveLimiter returns a limiter that has observed the state and has an orgLimiter for each of the given number of
// organisations, as after a request of each.
func newActiveLimiter(b *testing.B, state State, organisations int) *Limiter {
	b.Helper()
	l := &Limiter{Self: "d000", Peers: unresponsivePeers{}}
	l.Observe(View{States: []State{state}})
	for i := range organisations {
		require.NotNil(b, l.orgLimiter(organisationID(i)))
	}
	b.Cleanup(l.Close)
	return l
}

func organisationID(i int) ident.OrganisationID {
	return ident.OrganisationID(fmt.Sprintf("organisation-%05d", i))
}

// unresponsivePeers never answers.
type unresponsivePeers struct{}

func (unresponsivePeers) Grant(ctx context.Context, _ ident.DaemonID, _ *wire.GrantRequest) (*wire.GrantResponse, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	return mem.HeapAlloc
}

// BenchmarkSize measures the memory that a daemon needs for each organisation that it has seen, as the only daemon
// (home of all organisations) and as one of 410.
func BenchmarkSize(b *testing.B) {
	for _, daemons := range []int{1, 410} {
		for _, organisations := range []int{1000, 4000, 17000} {
			b.Run(fmt.Sprintf("daemons=%d/organisations=%d", daemons, organisations), func(b *testing.B) {
				state := newLargeState(daemons)
				for b.Loop() {
					before := heapInUse()
					l := newActiveLimiter(b, state, organisations)
					b.ReportMetric(float64(heapInUse()-before)/float64(organisations), "B/organisation")
					runtime.KeepAlive(l)
				}
			})
		}
	}
}

// BenchmarkObserve measures Observe with 17,000 organisations and 410 daemons, for a view that changes neither limits
// nor members, and for a change of the members.
func BenchmarkObserve(b *testing.B) {
	for name, step := range map[string]ident.Offset{"unchanged": 0, "members": 1} {
		b.Run(name, func(b *testing.B) {
			state := newLargeState(410)
			l := newActiveLimiter(b, state, 17000)
			for b.Loop() {
				next := *state
				next.revision += step
				state = &next
				l.Observe(View{States: []State{state}})
			}
		})
	}
}
