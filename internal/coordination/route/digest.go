package route

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/health"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Delta fills in what this daemon has learned since the last call: changes of the engines' cached blocks, in about limit
// encoded bytes, with the engines' load, and the tokens served to each organisation.
func (r *Router) Delta(d *wire.Digest, limit int) {
	d.Engines = r.Index.Delta(limit)
	r.addLoads(d.Engines)
	if r.FairShare != nil {
		d.Organisations = r.FairShare.Delta()
	}
}

// Snapshot fills in everything that this daemon knows about the engines, for the warm-up of a starting daemon.
func (r *Router) Snapshot(d *wire.Digest) {
	d.Engines = r.Index.Snapshot()
	r.addLoads(d.Engines)
}

// Merge applies a delta or a snapshot of another daemon. Engines that the configuration does not list are skipped.
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

// reportOf returns the load report that a digest carries; its lag is the report's age at the sender.
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

// addLoads adds the load and the prefill rate of each engine to its digest.
func (r *Router) addLoads(engines []*wire.EngineDigest) {
	now := time.Now()
	for _, e := range engines {
		if u := r.Health.Upstream(ident.UpstreamID(e.GetUpstreamId())); u != nil {
			addLoad(e, u, now)
		}
	}
}

// addLoad adds the failures and the prefill rate of an engine to its digest, and the latest load report if it is of the
// same incarnation as the digest.
func addLoad(e *wire.EngineDigest, u *health.Upstream, now time.Time) {
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
