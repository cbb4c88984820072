package route

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/health"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Delta fills in what this daemon has learned since the last call: blocks in about limit encoded bytes and the tokens
// served to organisations.
func (r *Router) Delta(d *wire.Digest, limit int) {
	d.Engines = r.Index.Delta(limit)
	r.describe(d.Engines)
	if r.FairShare != nil {
		d.Organisations = r.FairShare.Delta()
	}
}

// Snapshot fills in all that this daemon knows of the engines, for a daemon that starts.
func (r *Router) Snapshot(d *wire.Digest) {
	d.Engines = r.Index.Snapshot()
	r.describe(d.Engines)
}

// Merge takes in a delta or a snapshot of another daemon.
func (r *Router) Merge(d *wire.Digest) {
	for _, e := range d.GetEngines() {
		r.mergeEngine(e)
	}
	if r.FairShare == nil {
		return
	}
	for _, o := range d.GetOrganisations() {
		r.FairShare.Merge(o)
	}
}

func (r *Router) mergeEngine(e *wire.EngineDigest) {
	u := r.Health.Upstream(ident.UpstreamID(e.GetUpstreamId()))
	if u == nil {
		return
	}
	now := time.Now()
	u.UpdateIncarnation(ident.Incarnation(e.GetIncarnation()), now)
	r.Index.Merge(e)
	r.Index.UpdateIncarnation(u.ID, u.Incarnation())
	u.SetPeerPrefillRate(float64(e.GetPrefillTokensPerSecond()))
	if len(e.GetVersions()) > 0 {
		u.ApplyReport(reportOf(e), now)
	}
}

func reportOf(e *wire.EngineDigest) extern.LoadReport {
	versions := make([]ident.VersionID, 0, len(e.GetVersions()))
	for _, v := range e.GetVersions() {
		versions = append(versions, ident.VersionID(v))
	}
	return extern.LoadReport{
		Incarnation:     ident.Incarnation(e.GetIncarnation()),
		Lag:             time.Duration(e.GetLoadAgeMs()) * time.Millisecond,
		WaitingRequests: int(e.GetWaitingRequests()),
		RunningRequests: int(e.GetRunningRequests()),
		QueuedTokens:    ident.Tokens(e.GetQueuedTokens()),
		Versions:        versions,
	}
}

// describe adds the engines' load and speed.
func (r *Router) describe(engines []*wire.EngineDigest) {
	now := time.Now()
	for _, e := range engines {
		if u := r.Health.Upstream(ident.UpstreamID(e.GetUpstreamId())); u != nil {
			describeLoad(e, u, now)
		}
	}
}

func describeLoad(e *wire.EngineDigest, u *health.Upstream, now time.Time) {
	e.ConsecutiveFailures = int32(u.Failures())
	e.PrefillTokensPerSecond = int64(u.ObservedPrefillRate())
	report, age, ok := u.LastReport(now)
	if !ok || uint64(report.Incarnation) != e.GetIncarnation() {
		return
	}
	e.LoadAgeMs = age.Milliseconds()
	e.QueuedTokens = int32(report.QueuedTokens)
	e.RunningRequests = int32(report.RunningRequests)
	e.WaitingRequests = int32(report.WaitingRequests)
	for _, v := range report.Versions {
		e.Versions = append(e.Versions, string(v))
	}
}
