package orders

import (
	"cmp"
	"slices"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/coordination/moves"
	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// engine is a live engine of a model.
type engine struct {
	up     *config.Upstream
	report Report
}

func (e *engine) has(v ident.VersionID) bool {
	return slices.Contains(e.report.Versions, v)
}

// engines returns the live engines of a model in the order in which they load: one of each failure domain in turn,
// and the less busy ones first.
func (o *Scheduler) engines(state *config.State, model ident.ModelID) []*engine {
	var all []*engine
	for id, up := range state.Upstreams() {
		if up.Kind != config.UpstreamEngine || up.Model != model || up.Leaving {
			continue
		}
		if report, ok := o.LastReport(id); ok && report.Age < reportAge {
			all = append(all, &engine{up, report})
		}
	}
	slices.SortFunc(all, func(a, b *engine) int {
		return cmp.Or(cmp.Compare(a.report.OutstandingRequests, b.report.OutstandingRequests), cmp.Compare(a.up.ID, b.up.ID))
	})
	return byDomainInTurn(all)
}

func byDomainInTurn(all []*engine) []*engine {
	turn := map[ident.FailureDomain]int{}
	turns := make(map[*engine]int, len(all))
	for _, e := range all {
		turns[e] = turn[e.up.FailureDomain]
		turn[e.up.FailureDomain]++
	}
	slices.SortStableFunc(all, func(a, b *engine) int { return cmp.Compare(turns[a], turns[b]) })
	return all
}

// plan returns the orders to start now. Orders of a move that has just begun go before the tidying up of ended ones.
func (o *Scheduler) plan(state *config.State, now time.Time) []job {
	var jobs []job
	for _, m := range o.owned(state) {
		engines := o.engines(state, m.Model)
		if !m.State.Ended() {
			jobs = append(jobs, o.loads(state, m, engines, now)...)
		}
		jobs = append(jobs, o.unloads(state, m, engines, now)...)
	}
	return o.limit(state, jobs)
}

// owned returns the moves of this daemon, those that have not ended first.
func (o *Scheduler) owned(state *config.State) []*config.Move {
	var owned []*config.Move
	for _, m := range state.Moves() {
		if m.Owner == o.Daemon {
			owned = append(owned, m)
		}
	}
	slices.SortFunc(owned, func(a, b *config.Move) int {
		if a.State.Ended() != b.State.Ended() {
			return cmp.Compare(boolRank(a.State.Ended()), boolRank(b.State.Ended()))
		}
		return cmp.Compare(a.ID, b.ID)
	})
	return owned
}

func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}

// loads returns the loads that a move still needs: first the old version where an engine has lost it, then the new.
func (o *Scheduler) loads(state *config.State, m *config.Move, engines []*engine, now time.Time) []job {
	versions := []ident.VersionID{m.From}
	if o.Splitter.StopReason(m.ID) == "" {
		versions = append(versions, m.To)
	}
	var jobs []job
	for _, v := range versions {
		for _, e := range engines {
			if !e.has(v) && o.mayOrder(state, m, e.up, now) {
				jobs = append(jobs, newJob(state, m, e, v, extern.OrderLoadVersion))
			}
		}
	}
	return jobs
}

// unloads returns the unloads of versions that nothing has used for a while.
func (o *Scheduler) unloads(state *config.State, m *config.Move, engines []*engine, now time.Time) []job {
	used := o.used(state, m.Model)
	var jobs []job
	for _, e := range engines {
		for _, v := range e.report.Versions {
			known, ok := state.Version(v)
			if !ok || known.Model != m.Model {
				continue
			}
			t := target{e.up.ID, v}
			if used[v] {
				delete(o.idle, t)
				continue
			}
			if o.idleFor(t, now) >= unloadGrace && keepsOne(e, used) && o.mayOrder(state, m, e.up, now) {
				jobs = append(jobs, newJob(state, m, e, v, extern.OrderUnloadVersion))
			}
		}
	}
	return jobs
}

// keepsOne reports whether an engine has a version that is used.
func keepsOne(e *engine, used map[ident.VersionID]bool) bool {
	return slices.ContainsFunc(e.report.Versions, func(v ident.VersionID) bool { return used[v] })
}

func (o *Scheduler) idleFor(t target, now time.Time) time.Duration {
	since, ok := o.idle[t]
	if !ok {
		o.idle[t] = now
		return 0
	}
	return now.Sub(since)
}

// used returns the versions of a model that serve a route or belong to a move that has not ended.
func (o *Scheduler) used(state *config.State, model ident.ModelID) map[ident.VersionID]bool {
	used := map[ident.VersionID]bool{}
	if m, ok := state.Model(model); ok {
		used[m.CurrentVersion] = true
	}
	used[o.Splitter.ServingVersion(model, "")] = true
	for id, r := range state.Routes() {
		if r.Model == model {
			used[o.Splitter.ServingVersion(model, id)] = true
		}
	}
	for _, m := range state.Moves() {
		if m.Model == model && !m.State.Ended() {
			used[m.From], used[m.To] = true, true
		}
	}
	return used
}

func newJob(state *config.State, m *config.Move, e *engine, v ident.VersionID, kind extern.OrderKind) job {
	return job{
		target: target{e.up.ID, v}, move: m.ID, baseURL: e.up.BaseURL,
		order: extern.EngineOrder{Kind: kind, Model: m.Model, Version: v, FencingToken: moves.OwnerEpoch(state, m)},
	}
}

// limit leaves out what must wait: engines with an order under way or a failed one before its retry, loads beyond
// the number that may run together, and loads that would leave too few engines to serve.
func (o *Scheduler) limit(state *config.State, jobs []job) []job {
	now := time.Now()
	busy := map[ident.UpstreamID]bool{}
	for t := range o.running {
		busy[t.upstream] = true
	}
	var kept []job
	for _, j := range jobs {
		r := o.retries[j.target]
		if busy[j.upstream] || (r != nil && now.Before(r.at)) {
			continue
		}
		if j.order.Kind == extern.OrderLoadVersion && len(busy) >= o.mayLoad(state, j.order.Model) {
			continue
		}
		busy[j.upstream] = true
		kept = append(kept, j)
	}
	return kept
}

// mayLoad returns how many engines may be busy with orders for another one to start loading.
func (o *Scheduler) mayLoad(state *config.State, model ident.ModelID) int {
	n := len(o.engines(state, model))
	needed := n * keepServing / keepServingOf
	if o.MinServingEngines != nil {
		needed = o.MinServingEngines(model)
	}
	// A model with too few engines loads one at a time all the same, or it could never move.
	return min(o.together(), max(1, n-needed))
}
