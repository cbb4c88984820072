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

// plainPicker chooses among the plain services of a route.
type plainPicker struct {
	health *health.Table
	route  *config.Route
}

// NoUpstreamError reports that every upstream of a route is unknown, leaving, ejected or already tried.
type NoUpstreamError struct {
	Route ident.RouteID
}

func (e *NoUpstreamError) Error() string {
	return "no upstream of route " + string(e.Route) + " is available"
}

// Pick implements plain.Picker. It chooses at random among the upstreams that are not leaving, not ejected and not tried yet,
// and returns a *NoUpstreamError if there are none.
func (p *plainPicker) Pick(_ context.Context, tried []ident.UpstreamID) (plain.Target, error) {
	now := time.Now()
	var usable []*health.Upstream
	for _, id := range p.route.Upstreams {
		u := p.health.Upstream(id)
		if u == nil || slices.Contains(tried, id) || u.Ejected(now) {
			continue
		}
		if _, leaving := u.LeavingFor(now); !leaving {
			usable = append(usable, u)
		}
	}
	if len(usable) == 0 {
		return plain.Target{}, &NoUpstreamError{Route: p.route.ID}
	}
	u := usable[rand.IntN(len(usable))]
	checkNotLeaving(u, now)
	return plain.Target{
		Upstream: u.ID,
		BaseURL:  u.Config().BaseURL,
		Report:   func(o plain.Outcome) { p.recordOutcome(u, o) },
	}, nil
}

// checkNotLeaving checks the invariant that no request is sent to an upstream that has been leaving for longer than
// health.LeavingGrace.
func checkNotLeaving(u *health.Upstream, now time.Time) {
	left, leaving := u.LeavingFor(now)
	guard.Check(!leaving || left < health.LeavingGrace, guard.UpstreamLeft,
		"request sent to upstream %s, which has been leaving for %s", u.ID, left)
}

// recordOutcome counts the outcome of an attempt for outlier detection: errors and statuses from 500 on are failures,
// cancelled attempts count for nothing.
func (p *plainPicker) recordOutcome(u *health.Upstream, o plain.Outcome) {
	switch {
	case o.Cancelled:
	case o.Err != nil || o.Status >= http.StatusInternalServerError:
		p.health.RecordFailure(u, time.Now())
	default:
		p.health.RecordSuccess(u, time.Now())
	}
}
