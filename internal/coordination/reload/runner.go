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
	tick = 20 * time.Millisecond
	// idleLeast is how long after an order an engine that reports no load may still be about to begin it: twice the lag
	// of reports and the time of the call.
	idleLeast = 600 * time.Millisecond
	// tellFor is how long the others are told of a finished load: many beats, in case some are lost.
	tellFor = 2 * time.Second
)

// EngineStatus tells other daemons of an engine: that it takes no work for a while, or which version it has.
type EngineStatus struct {
	Engine         ident.UpstreamID
	UnavailableFor time.Duration
	Model          ident.ModelID
	// Version is what the engine has; 0 while it loads.
	Version int64
}

// Runner loads weights while this daemon holds the duty. Its fields are set before Run.
type Runner struct {
	Self      ident.DaemonID
	Snapshots *view.Snapshots
	Placer    *place.Placer
	Control   extern.EngineControl
	// Term returns the term of the duty; 0 if another daemon holds it.
	Term func() ident.Offset
	// OnFenced is called when an engine has seen a higher term.
	OnFenced func()
	// OnChange is called when there is something to tell the others.
	OnChange func()

	mu       sync.Mutex
	jobs     map[ident.UpstreamID]*job
	accepted map[ident.UpstreamID]acceptedOrders
	done     map[ident.UpstreamID]finished
	// avoid holds engines that are left alone, and until when.
	avoid map[ident.UpstreamID]time.Time
	pace  pace
	calls sync.WaitGroup
}

type finished struct {
	model   ident.ModelID
	version int64
	at      time.Time
}

// Run loads weights until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	r.jobs = map[ident.UpstreamID]*job{}
	r.accepted = map[ident.UpstreamID]acceptedOrders{}
	r.done = map[ident.UpstreamID]finished{}
	r.avoid = map[ident.UpstreamID]time.Time{}
	for ctx.Err() == nil {
		r.step(ctx)
		scope.Sleep(ctx, tick)
	}
	r.calls.Wait()
}

// step starts and advances loads.
func (r *Runner) step(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.Term() == 0 {
		r.drop()
		return
	}
	for _, service := range r.services() {
		r.advance(ctx, service)
	}
}

// drop forgets all loads: another daemon sees to them.
func (r *Runner) drop() {
	for id, j := range r.jobs {
		if j.phase == phaseQuiet {
			r.Placer.SetLoading(id, 0)
		}
		delete(r.jobs, id)
	}
}

// services returns the services that run models, with their models.
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

func (r *Runner) advance(ctx context.Context, s *view.Service) {
	engines := r.Snapshots.Upstreams().ByService[s.ID]
	now := time.Now()
	r.clean(s, now)
	var candidates []candidate
	for _, model := range s.Engine.Models {
		named, ok := r.Snapshots.Weights(model)
		if !ok {
			continue
		}
		candidates = append(candidates, r.behind(engines, model, named.Version)...)
	}
	atOnce := r.pace.atOnce(len(engines))
	for _, c := range next(len(engines), atOnce, countOut(r.of(s), &r.pace, now), candidates) {
		r.begin(c, s, now)
	}
	jobs := r.of(s)
	loading := countOut(jobs, &r.pace, now).loading
	for _, j := range jobs {
		requests := r.Placer.WorkAt(j.engine.ID).Requests
		r.Placer.SetLoading(j.engine.ID, r.barFor(j))
		switch {
		case j.calling:
		case j.phase == phaseQuiet && !j.asked && r.accepted[j.engine.ID].started != j.engine.Incarnation:
			r.ask(ctx, j)
		case j.phase == phaseQuiet && mayLoad(j, requests, loading, atOnce, now):
			loading++
			r.order(ctx, j, requests)
		case j.phase == phaseLoading && now.After(j.checkAt):
			r.check(ctx, j)
		}
	}
	for _, j := range jobs {
		if j.phase == phaseLoading {
			j.beside = max(j.beside, loading)
		}
	}
}

// clean ends the loads of engines that have gone or have a newer target.
func (r *Runner) clean(s *view.Service, now time.Time) {
	listed := r.Snapshots.Upstreams().ByID
	for id, j := range r.of(s) {
		u := listed[id]
		named, _ := r.Snapshots.Weights(j.model)
		switch {
		case u == nil || u.Incarnation != j.engine.Incarnation || u.State != view.UpstreamReady:
			delete(r.jobs, id)
			r.Placer.SetLoading(id, 0)
		case j.phase == phaseQuiet && named.Version > j.version:
			j.version = named.Version
		case j.overdue(&r.pace, now):
			klog.InfoS("Load overdue", "engine", id, "version", j.version, "tries", j.tries)
			j.phase, j.since = phaseQuiet, now
		}
	}
}

// of returns the loads of a service's engines.
func (r *Runner) of(s *view.Service) map[ident.UpstreamID]*job {
	out := map[ident.UpstreamID]*job{}
	for id, j := range r.jobs {
		if j.engine.Service == s.ID {
			out[id] = j
		}
	}
	return out
}

// behind returns the engines that have an older version and no load yet.
func (r *Runner) behind(engines []*view.Upstream, model ident.ModelID, version int64) []candidate {
	var out []candidate
	for _, u := range engines {
		has := r.Placer.WeightVersion(u, model)
		if u.State != view.UpstreamReady || r.jobs[u.ID] != nil || has >= version || r.avoids(u.ID) {
			continue
		}
		out = append(out, candidate{engine: u, has: has, version: version, requests: r.Placer.WorkAt(u.ID).Requests})
	}
	return out
}

func (r *Runner) begin(c candidate, s *view.Service, now time.Time) {
	j := &job{engine: c.engine, model: s.Engine.Models[0], version: c.version, since: now}
	for _, m := range s.Engine.Models {
		if named, ok := r.Snapshots.Weights(m); ok && named.Version == c.version && r.Placer.WeightVersion(c.engine, m) < c.version {
			j.model = m
		}
	}
	r.jobs[c.engine.ID] = j
	r.Placer.SetLoading(c.engine.ID, r.barFor(j))
	klog.InfoS("Engine gets no work before its load", "engine", c.engine.ID, "version", c.version, "requests", c.requests)
	r.OnChange()
}

// barFor returns how long an engine is expected to take no work.
func (r *Runner) barFor(j *job) time.Duration {
	if j.phase == phaseQuiet {
		return quietMost + 2*r.pace.expected + barMargin
	}
	return r.pace.expected + barMargin
}

// Estimate returns what this daemon has learned of loads.
func (r *Runner) Estimate() Estimate {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pace.told()
}

// SetPrior takes what the holder of the duty has learned of loads.
func (r *Runner) SetPrior(told Estimate) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pace.learn(told)
}

// EngineStatuses returns what the other daemons shall know.
func (r *Runner) EngineStatuses() []EngineStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]EngineStatus, 0, len(r.jobs)+len(r.done))
	for id, j := range r.jobs {
		out = append(out, EngineStatus{Engine: id, UnavailableFor: r.barFor(j), Model: j.model})
	}
	for id, f := range r.done {
		if time.Since(f.at) > tellFor {
			delete(r.done, id)
		} else if r.jobs[id] == nil {
			out = append(out, EngineStatus{Engine: id, Model: f.model, Version: f.version})
		}
	}
	return out
}
