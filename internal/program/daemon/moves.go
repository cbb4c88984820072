package daemon

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/coordination/member"
	"github.com/gooseberryway/gooseberryway/internal/coordination/moves"
	"github.com/gooseberryway/gooseberryway/internal/coordination/orders"
	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// versionAdapter implements serve.Versions with a moves.Splitter.
type versionAdapter struct {
	splitter *moves.Splitter
}

// Version implements serve.Versions.
func (v versionAdapter) Version(model ident.ModelID, route ident.RouteID, org ident.OrganisationID, request ident.RequestID, prefixHash uint64) (ident.VersionID, bool) {
	version := v.splitter.Version(moves.SplitKey{
		Model:        model,
		Route:        route,
		Organisation: org,
		RequestID:    request,
		PrefixHash:   ident.BlockHash(prefixHash),
	})
	return version, version != ""
}

// buildMoves creates the components that move traffic between model versions.
func (c *components) buildMoves() {
	c.moveSettings.Store(&c.settings.Moves)
	c.loadSettings.Store(&c.settings.Loads)
	c.splitter = &moves.Splitter{}
	c.monitor = &moves.Monitor{Splitter: c.splitter}
	c.loadScheduler = &orders.Scheduler{
		Daemon:     c.settings.DaemonID,
		State:      c.follower.State,
		HoldsLease: c.lease.Valid,
		LastReport: c.engineReport,
		Engine:     c.engineClient,
		Splitter:   c.splitter,
		Settings:   func() orders.Settings { return *c.loadSettings.Load() },
	}
	c.moveController = &moves.Controller{
		Daemon:            c.settings.DaemonID,
		State:             c.follower.State,
		Writer:            controlWriter{c.writer},
		LiveDaemons:       c.liveDaemons,
		HoldsLease:        c.lease.Valid,
		HasCapacity:       c.loadScheduler.HasCapacity,
		RemainingLoadTime: c.loadScheduler.RemainingLoadTime,
		Splitter:          c.splitter,
		Monitor:           c.monitor,
		Settings:          c.currentMoveSettings,
	}
}

// currentMoveSettings returns the limits of moves that apply now.
func (c *components) currentMoveSettings() moves.Settings { return *c.moveSettings.Load() }

// liveDaemons returns the joined daemons that are live.
func (c *components) liveDaemons() []ident.DaemonID {
	view := c.membership.View()
	if view == nil {
		return nil
	}
	return liveIDs(view)
}

func liveIDs(view *member.View) []ident.DaemonID {
	ids := make([]ident.DaemonID, 0, len(view.Members))
	for _, node := range view.Live() {
		ids = append(ids, node.ID)
	}
	return ids
}

// engineReport returns the last report of an engine, or false if the engine is unknown or ejected or its report is missing
// or older than staleReportAge.
func (c *components) engineReport(id ident.UpstreamID) (orders.Report, bool) {
	now := time.Now()
	u := c.router.Health.Upstream(id)
	if u == nil || u.Config().Kind != config.UpstreamEngine || u.Ejected(now) {
		return orders.Report{}, false
	}
	report, age, ok := u.LastReport(now)
	if !ok || age > staleReportAge {
		return orders.Report{}, false
	}
	return orders.Report{Versions: report.Versions, Age: age, OutstandingRequests: report.RunningRequests + report.WaitingRequests}, true
}
