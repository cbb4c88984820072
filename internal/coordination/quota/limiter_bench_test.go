package quota

import (
	"context"
	"fmt"
	"testing"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// benchLimiter returns the limiter of a single daemon with full buckets.
func benchLimiter(b *testing.B, organisations int) *Limiter {
	b.Helper()
	limits := make(map[ident.OrganisationID]Limit)
	for i := range organisations {
		limits[ident.OrganisationID(fmt.Sprint("org", i))] = Limit{Rate: 1_000_000_000, Burst: 1_000_000_000_000}
	}
	fleet, _ := newFleet(1, 0, limits)
	b.Cleanup(fleet.close)
	l := fleet.limiters["d00"]
	for org := range limits {
		o := l.orgLimiter(org)
		o.bucket.level = o.bucket.capacity
	}
	return l
}

func BenchmarkAdmitOwnShare(b *testing.B) {
	l := benchLimiter(b, 1)
	b.ReportAllocs()
	for b.Loop() {
		r, err := l.Admit(context.Background(), "org0", 1000)
		if err != nil {
			b.Fatal(err)
		}
		r.Settle(500)
	}
}

func BenchmarkAdmitParallel(b *testing.B) {
	l := benchLimiter(b, 64)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i++ {
			r, err := l.Admit(context.Background(), ident.OrganisationID(fmt.Sprint("org", i%64)), 1000)
			if err != nil {
				b.Error(err)
				return
			}
			r.Settle(1000)
		}
	})
}

func BenchmarkHandleGrant100(b *testing.B) {
	l := benchLimiter(b, 100)
	b.ReportAllocs()
	for sequence := uint64(1); b.Loop(); sequence++ {
		req := &wire.GrantRequest{DaemonId: "d01", Incarnation: 1, Sequence: sequence}
		for i := range 100 {
			req.Asks = append(req.Asks, &wire.GrantAsk{OrganisationId: fmt.Sprint("org", i), Tokens: 10})
		}
		if n := len(l.HandleGrant(context.Background(), req).GetAnswers()); n != 100 {
			b.Fatal(n)
		}
	}
}
