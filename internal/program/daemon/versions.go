package daemon

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/coordination/member"
	"github.com/gooseberryway/gooseberryway/internal/coordination/moves"
	"github.com/gooseberryway/gooseberryway/internal/coordination/orders"
	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// versions shows the splitter to the request service.
type versions struct {
	splitter *moves.Splitter
}

// Version implements serve.Versions.
func (v versions) Version(model ident.ModelID, route ident.RouteID, org ident.OrganisationID, request ident.RequestID, family uint64) (ident.VersionID, bool) {
	version := v.splitter.Version(moves.SplitKey{
		Model:        model,
		Route:        route,
		Organisation: org,
		Request:      request,
		PrefixHash:   ident.BlockHash(family),
	})
	return version, version != ""
}

// buildMoves makes the parts that move traffic between versions.
func (p *parts) buildMoves() {
	p.moveSettings.Store(&p.settings.Moves)
	p.loadSettings.Store(&p.settings.Loads)
	p.splitter = &moves.Splitter{}
	p.watch = &moves.Monitor{Splitter: p.splitter}
	p.orders = &orders.Scheduler{
		Daemon:     p.settings.DaemonID,
		State:      p.follower.State,
		HoldsLease: p.lease.Valid,
		LastReport: p.engineReport,
		Engine:     p.engine,
		Splitter:   p.splitter,
		Settings:   func() orders.Settings { return *p.loadSettings.Load() },
	}
	p.owner = &moves.Controller{
		Daemon:            p.settings.DaemonID,
		State:             p.follower.State,
		Writer:            changes{p.writer},
		LiveDaemons:       p.live,
		HoldsLease:        p.lease.Valid,
		HasCapacity:       p.orders.HasCapacity,
		RemainingLoadTime: p.orders.RemainingLoadTime,
		Splitter:          p.splitter,
		Monitor:           p.watch,
		Settings:          p.currentMoves,
	}
}

// currentMoves returns the limits of moves in use.
func (p *parts) currentMoves() moves.Settings { return *p.moveSettings.Load() }

// live returns the joined daemons that answer.
func (p *parts) live() []ident.DaemonID {
	view := p.fleet.View()
	if view == nil {
		return nil
	}
	return liveIn(view)
}

func liveIn(view *member.View) []ident.DaemonID {
	ids := make([]ident.DaemonID, 0, len(view.Members))
	for _, node := range view.Live() {
		ids = append(ids, node.ID)
	}
	return ids
}

// engineReport returns what an engine last reported, false if it is unknown, silent or ejected.
func (p *parts) engineReport(id ident.UpstreamID) (orders.Report, bool) {
	now := time.Now()
	u := p.router.Health.Upstream(id)
	if u == nil || u.Config().Kind != config.UpstreamEngine || u.Ejected(now) {
		return orders.Report{}, false
	}
	report, age, ok := u.LastReport(now)
	if !ok || age > staleReport {
		return orders.Report{}, false
	}
	return orders.Report{Versions: report.Versions, Age: age, OutstandingRequests: report.RunningRequests + report.WaitingRequests}, true
}
