package daemon

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/guard"
	"github.com/gooseberryway/gooseberryway/internal/state/health"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/transport/plain"
)

// plainPicker chooses among the upstreams of a route for a plain service.
type plainPicker struct {
	health *health.Table
	route  *config.Route
}

// NoUpstreamError says that no upstream of a route can take a call now.
type NoUpstreamError struct {
	Route ident.RouteID
}

func (e *NoUpstreamError) Error() string {
	return "no upstream of route " + string(e.Route) + " takes calls now"
}

// Pick implements plain.Picker. An upstream that is leaving or has been ejected is not chosen; of the others one that
// has not been tried, at random.
func (p *plainPicker) Pick(_ context.Context, tried []ident.UpstreamID) (plain.Target, error) {
	now := time.Now()
	var usable []*health.Upstream
	for _, id := range p.route.Upstreams {
		u := p.health.Upstream(id)
		if u == nil || slices.Contains(tried, id) || u.Ejected(now) {
			continue
		}
		if _, leaving := u.Leaving(now); !leaving {
			usable = append(usable, u)
		}
	}
	if len(usable) == 0 {
		return plain.Target{}, &NoUpstreamError{Route: p.route.ID}
	}
	u := usable[rand.IntN(len(usable))]
	checkStays(u, now)
	return plain.Target{
		Upstream: u.ID,
		BaseURL:  u.Config().BaseURL,
		Report:   func(o plain.Outcome) { p.report(u, o) },
	}, nil
}

// checkStays asserts that an upstream that gets a call has not been leaving for long.
func checkStays(u *health.Upstream, now time.Time) {
	left, leaving := u.Leaving(now)
	guard.Check(!leaving || left < health.LeavingGrace, guard.UpstreamLeft, "a call for upstream %s, leaving for %s", u.ID, left)
}

func (p *plainPicker) report(u *health.Upstream, o plain.Outcome) {
	switch {
	case o.Cancelled:
	case o.Err != nil || o.Status >= http.StatusInternalServerError:
		p.health.RecordFailure(u, time.Now())
	default:
		p.health.RecordSuccess(u, time.Now())
	}
}
