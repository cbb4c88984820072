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

// sized is a state with many daemons and organisations.
type sized struct {
	limit    Limit
	nodes    []rhash.Node
	revision ident.Offset
}

func (s *sized) Limit(ident.OrganisationID) (Limit, bool) { return s.limit, true }

func (s *sized) Homes(org ident.OrganisationID) []ident.DaemonID {
	return rhash.Pick(string(org), s.nodes, 4)
}

func (s *sized) MembersRevision() ident.Offset { return s.revision }

func newSized(daemons int) *sized {
	s := &sized{limit: Limit{Rate: 1e6, Burst: 4e6}, revision: 1}
	for i := range daemons {
		s.nodes = append(s.nodes, rhash.Node{
			ID: ident.DaemonID(fmt.Sprintf("d%03d", i)), Domain: ident.FailureDomain(fmt.Sprint("riga-", i%10)),
		})
	}
	return s
}

// active returns a limiter at which all organisations have sent a request that was admitted, or refused because the
// share of a new home is empty.
func active(b *testing.B, state State, organisations int) *Limiter {
	b.Helper()
	l := &Limiter{Self: "d000", Peers: silent{}}
	l.Observe(View{States: []State{state}})
	for i := range organisations {
		require.NotNil(b, l.entry(organisationID(i)))
	}
	b.Cleanup(l.Close)
	return l
}

func organisationID(i int) ident.OrganisationID {
	return ident.OrganisationID(fmt.Sprintf("organisation-%05d", i))
}

// silent are peers of which none answers.
type silent struct{}

func (silent) Grant(ctx context.Context, _ ident.DaemonID, _ *wire.GrantRequest) (*wire.GrantResponse, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func inUse() uint64 {
	runtime.GC()
	runtime.GC()
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	return mem.HeapAlloc
}

// BenchmarkSize measures the memory of an organisation that a daemon has seen, as one of 410 daemons and as the only
// home of all.
func BenchmarkSize(b *testing.B) {
	for _, daemons := range []int{1, 410} {
		for _, organisations := range []int{1000, 4000, 17000} {
			b.Run(fmt.Sprintf("daemons=%d/organisations=%d", daemons, organisations), func(b *testing.B) {
				state := newSized(daemons)
				for b.Loop() {
					before := inUse()
					l := active(b, state, organisations)
					b.ReportMetric(float64(inUse()-before)/float64(organisations), "B/organisation")
					runtime.KeepAlive(l)
				}
			})
		}
	}
}

// BenchmarkObserve measures a view for 17,000 organisations and 410 daemons: of a configuration that changes neither
// limits nor members, and of a change of the members.
func BenchmarkObserve(b *testing.B) {
	for name, step := range map[string]ident.Offset{"unchanged": 0, "members": 1} {
		b.Run(name, func(b *testing.B) {
			state := newSized(410)
			l := active(b, state, 17000)
			for b.Loop() {
				next := *state
				next.revision += step
				state = &next
				l.Observe(View{States: []State{state}})
			}
		})
	}
}
