package reload

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/coordination/place"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/scope"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

const (
	stepInterval = 20 * time.Millisecond
	// orderEffectTime is how long after an order an engine whose report shows no load may still be about to start it:
	// twice the lag of reports plus the time of the call.
	orderEffectTime = 600 * time.Millisecond
	// finishedReportTime is how long a finished load is included in heartbeats. It spans many heartbeats, since some
	// may be lost.
	finishedReportTime = 2 * time.Second
)

// EngineStatus tells other daemons about an engine: that it takes no requests for a while, or which version it has
// loaded.
type EngineStatus struct {
	Engine         ident.UpstreamID
	UnavailableFor time.Duration
	Model          ident.ModelID
	// Version is the version that the engine has loaded; 0 while it drains or loads.
	Version int64
}

// Runner drains engines and orders them to load while this daemon is the leader. Its fields are set before Run.
type Runner struct {
	Self      ident.DaemonID
	Snapshots *view.Snapshots
	Placer    *place.Placer
	Control   extern.EngineControl
	// Term returns the leader's term, which is the fencing token of orders; 0 if this daemon isn't the leader.
	Term func() ident.Offset
	// OnFenced is called when an engine rejects an order because it has seen a higher term.
	OnFenced func()
	// OnChange is called when EngineStatuses has changed and should be sent soon.
	OnChange func()

	mu             sync.Mutex
	jobs           map[ident.UpstreamID]*job
	acceptedCounts map[ident.UpstreamID]acceptedCount
	finishedLoads  map[ident.UpstreamID]finishedLoad
	// avoidUntil holds the engines that get no orders, and until when.
	avoidUntil map[ident.UpstreamID]time.Time
	pacer      pacer
	calls      sync.WaitGroup
}

type finishedLoad struct {
	model       ident.ModelID
	incarnation ident.Incarnation
	version     int64
	finishedAt  time.Time
}

// Run drains engines and orders loads until ctx ends and all calls in flight have returned.
func (r *Runner) Run(ctx context.Context) {
	r.jobs = map[ident.UpstreamID]*job{}
	r.acceptedCounts = map[ident.UpstreamID]acceptedCount{}
	r.finishedLoads = map[ident.UpstreamID]finishedLoad{}
	r.avoidUntil = map[ident.UpstreamID]time.Time{}
	for ctx.Err() == nil {
		r.step(ctx)
		scope.Sleep(ctx, stepInterval)
	}
	r.calls.Wait()
}

// step starts and advances jobs, or drops them all if this daemon isn't the leader.
func (r *Runner) step(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.Term() == 0 {
		r.dropJobs()
		return
	}
	for _, service := range r.services() {
		r.advanceService(ctx, service)
	}
}

// dropJobs drops all jobs: another daemon is responsible for them now.
func (r *Runner) dropJobs() {
	for id, j := range r.jobs {
		if j.phase == phaseDraining {
			r.Placer.SetLoading(id, 0)
		}
		delete(r.jobs, id)
	}
}

// services returns the services whose upstreams are engines.
func (r *Runner) services() []*view.Service {
	c := r.Snapshots.Config()
	if c == nil {
		return nil
	}
	var out []*view.Service
	for _, s := range c.Services {
		if s.Engine != nil {
			out = append(out, s)
		}
	}
	return out
}

func (r *Runner) advanceService(ctx context.Context, s *view.Service) {
	engines := r.Snapshots.Upstreams().ByService[s.ID]
	now := time.Now()
	r.updateJobs(s, now)
	var candidates []candidate
	for _, model := range s.Engine.Models {
		named, ok := r.Snapshots.Weights(model)
		if !ok {
			continue
		}
		candidates = append(candidates, r.outdatedEngines(engines, model, named.Version)...)
	}
	allowedConcurrency := r.pacer.allowedConcurrency(len(engines))
	for _, c := range nextToDrain(len(engines), allowedConcurrency, countUnavailable(r.jobsOf(s), &r.pacer, now), candidates) {
		r.startDraining(c, s, now)
	}
	jobs := r.jobsOf(s)
	loading := countUnavailable(jobs, &r.pacer, now).loading
	for _, j := range jobs {
		requests := r.Placer.WorkAt(j.engine.ID).Requests
		r.Placer.SetLoading(j.engine.ID, r.unavailableTime(j))
		switch {
		case j.callInFlight:
		case j.phase == phaseDraining && !j.checkedBeforeOrder && r.acceptedCounts[j.engine.ID].incarnation != j.engine.Incarnation:
			r.checkBeforeOrder(ctx, j)
		case j.phase == phaseDraining && mayLoad(j, requests, loading, allowedConcurrency, now):
			loading++
			r.order(ctx, j, requests)
		case j.phase == phaseLoading && now.After(j.nextCheckAt):
			r.checkProgress(ctx, j)
		}
	}
	for _, j := range jobs {
		if j.phase == phaseLoading {
			j.maxConcurrentLoads = max(j.maxConcurrentLoads, loading)
		}
	}
}

// updateJobs drops the jobs of engines that have gone, raises the target version of draining engines and restarts
// overdue jobs.
func (r *Runner) updateJobs(s *view.Service, now time.Time) {
	listed := r.Snapshots.Upstreams().ByID
	for id, j := range r.jobsOf(s) {
		u := listed[id]
		named, _ := r.Snapshots.Weights(j.model)
		switch {
		case u == nil || u.Incarnation != j.engine.Incarnation || u.State != view.UpstreamReady:
			delete(r.jobs, id)
			r.Placer.SetLoading(id, 0)
		case j.phase == phaseDraining && named.Version > j.version:
			j.version = named.Version
		case j.overdue(&r.pacer, now):
			klog.InfoS("Load overdue", "engine", id, "version", j.version, "tries", j.orderAttempts)
			j.phase, j.phaseSince = phaseDraining, now
		}
	}
}

// jobsOf returns the jobs of a service's engines.
func (r *Runner) jobsOf(s *view.Service) map[ident.UpstreamID]*job {
	out := map[ident.UpstreamID]*job{}
	for id, j := range r.jobs {
		if j.engine.Service == s.ID {
			out[id] = j
		}
	}
	return out
}

// outdatedEngines returns the ready engines that have an older version and no job, are not avoided and have not said that they leave
// or want a pause.
func (r *Runner) outdatedEngines(engines []*view.Upstream, model ident.ModelID, version int64) []candidate {
	var out []candidate
	for _, u := range engines {
		currentVersion := r.Placer.WeightVersion(u, model)
		if u.State != view.UpstreamReady || r.jobs[u.ID] != nil || currentVersion >= version || r.isAvoided(u.ID) || r.Placer.HasNotice(u) {
			continue
		}
		out = append(out, candidate{engine: u, currentVersion: currentVersion, version: version, requests: r.Placer.WorkAt(u.ID).Requests})
	}
	return out
}

func (r *Runner) startDraining(c candidate, s *view.Service, now time.Time) {
	j := &job{engine: c.engine, model: s.Engine.Models[0], version: c.version, phaseSince: now}
	for _, m := range s.Engine.Models {
		if named, ok := r.Snapshots.Weights(m); ok && named.Version == c.version && r.Placer.WeightVersion(c.engine, m) < c.version {
			j.model = m
		}
	}
	r.jobs[c.engine.ID] = j
	r.Placer.SetLoading(c.engine.ID, r.unavailableTime(j))
	klog.InfoS("Engine gets no work before its load", "engine", c.engine.ID, "version", c.version, "requests", c.requests)
	r.OnChange()
}

// unavailableTime returns how long an engine is expected to take no requests.
func (r *Runner) unavailableTime(j *job) time.Duration {
	if j.phase == phaseDraining {
		return maxDrainTime + 2*r.pacer.expectedTime + unavailableMargin
	}
	return r.pacer.expectedTime + unavailableMargin
}

// Estimate returns what this daemon has learned about load times.
func (r *Runner) Estimate() Estimate {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pacer.estimate()
}

// SetPrior takes over what the leader has learned about load times, unless this daemon has observed loads itself.
func (r *Runner) SetPrior(prior Estimate) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pacer.setPrior(prior)
}

// EngineStatuses returns what the other daemons should know about engines that drain, load or have finished lately.
func (r *Runner) EngineStatuses() []EngineStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]EngineStatus, 0, len(r.jobs)+len(r.finishedLoads))
	for id, j := range r.jobs {
		out = append(out, EngineStatus{Engine: id, UnavailableFor: r.unavailableTime(j), Model: j.model})
	}
	listed := r.Snapshots.Upstreams().ByID
	for id, f := range r.finishedLoads {
		restarted := listed[id] != nil && listed[id].Incarnation != f.incarnation
		if restarted || time.Since(f.finishedAt) > finishedReportTime {
			delete(r.finishedLoads, id)
		} else if r.jobs[id] == nil {
			out = append(out, EngineStatus{Engine: id, Model: f.model, Version: f.version})
		}
	}
	return out
}
