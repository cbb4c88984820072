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

// engine is a live engine of a model with its last report.
type engine struct {
	up     *config.Upstream
	report Report
}

func (e *engine) hasLoaded(v ident.VersionID) bool {
	return slices.Contains(e.report.Versions, v)
}

// liveEngines returns the engines of a model that are not leaving and have a recent report, in the order in which they
// load: one of each failure domain in turn, and those with fewer outstanding requests first.
func (s *Scheduler) liveEngines(state *config.State, model ident.ModelID) []*engine {
	var all []*engine
	for id, up := range state.Upstreams() {
		if up.Kind != config.UpstreamEngine || up.Model != model || up.Leaving {
			continue
		}
		if report, ok := s.LastReport(id); ok && report.Age < reportStaleAfter {
			all = append(all, &engine{up, report})
		}
	}
	slices.SortFunc(all, func(a, b *engine) int {
		return cmp.Or(cmp.Compare(a.report.OutstandingRequests, b.report.OutstandingRequests), cmp.Compare(a.up.ID, b.up.ID))
	})
	return interleaveDomains(all)
}

// interleaveDomains reorders engines in place so that the failure domains take turns. Within a domain, the order stays.
func interleaveDomains(all []*engine) []*engine {
	countInDomain := map[ident.FailureDomain]int{}
	rankInDomain := make(map[*engine]int, len(all))
	for _, e := range all {
		rankInDomain[e] = countInDomain[e.up.FailureDomain]
		countInDomain[e.up.FailureDomain]++
	}
	slices.SortStableFunc(all, func(a, b *engine) int { return cmp.Compare(rankInDomain[a], rankInDomain[b]) })
	return all
}

// plan returns the orders to start now. Orders for moves that have not ended come before unloads for ended ones.
func (s *Scheduler) plan(state *config.State, now time.Time) []job {
	var jobs []job
	for _, m := range s.ownedMoves(state) {
		engines := s.liveEngines(state, m.Model)
		if !m.State.Ended() {
			jobs = append(jobs, s.planLoads(state, m, engines, now)...)
		}
		jobs = append(jobs, s.planUnloads(state, m, engines, now)...)
	}
	return s.applyLimits(state, jobs)
}

// ownedMoves returns the moves that this daemon owns, those that have not ended first.
func (s *Scheduler) ownedMoves(state *config.State) []*config.Move {
	var owned []*config.Move
	for _, m := range state.Moves() {
		if m.Owner == s.Daemon {
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

// planLoads returns the loads that a move still needs: first of the old version at engines that have lost it, then, unless
// the move has been stopped, of the new one.
func (s *Scheduler) planLoads(state *config.State, m *config.Move, engines []*engine, now time.Time) []job {
	versions := []ident.VersionID{m.From}
	if s.Splitter.StopReason(m.ID) == "" {
		versions = append(versions, m.To)
	}
	var jobs []job
	for _, v := range versions {
		for _, e := range engines {
			if !e.hasLoaded(v) && s.mayOrder(state, m, e.up, now) {
				jobs = append(jobs, newJob(state, m, e, v, extern.OrderLoadVersion))
			}
		}
	}
	return jobs
}

// planUnloads returns the unloads of versions of the move's model that have been out of use for unloadGrace. An engine
// that has no version in use keeps all of its versions.
func (s *Scheduler) planUnloads(state *config.State, m *config.Move, engines []*engine, now time.Time) []job {
	used := s.usedVersions(state, m.Model)
	var jobs []job
	for _, e := range engines {
		for _, v := range e.report.Versions {
			known, ok := state.Version(v)
			if !ok || known.Model != m.Model {
				continue
			}
			t := target{e.up.ID, v}
			if used[v] {
				delete(s.unusedSince, t)
				continue
			}
			if s.unusedFor(t, now) >= unloadGrace && hasUsedVersion(e, used) && s.mayOrder(state, m, e.up, now) {
				jobs = append(jobs, newJob(state, m, e, v, extern.OrderUnloadVersion))
			}
		}
	}
	return jobs
}

// hasUsedVersion reports whether an engine has loaded a version that is in use.
func hasUsedVersion(e *engine, used map[ident.VersionID]bool) bool {
	return slices.ContainsFunc(e.report.Versions, func(v ident.VersionID) bool { return used[v] })
}

// unusedFor returns how long a version has been out of use at an engine, counted from the first call.
func (s *Scheduler) unusedFor(t target, now time.Time) time.Duration {
	since, ok := s.unusedSince[t]
	if !ok {
		s.unusedSince[t] = now
		return 0
	}
	return now.Sub(since)
}

// usedVersions returns the versions of a model that are in use: its current version, those that serve a route and those
// of moves that have not ended.
func (s *Scheduler) usedVersions(state *config.State, model ident.ModelID) map[ident.VersionID]bool {
	used := map[ident.VersionID]bool{}
	if m, ok := state.Model(model); ok {
		used[m.CurrentVersion] = true
	}
	used[s.Splitter.ServingVersion(model, "")] = true
	for id, r := range state.Routes() {
		if r.Model == model {
			used[s.Splitter.ServingVersion(model, id)] = true
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

// applyLimits returns the jobs that may start now. It leaves out jobs for engines with an order in flight, jobs whose
// retry time has not come, loads beyond the number of concurrent loads, and loads that would leave too few engines to
// serve.
func (s *Scheduler) applyLimits(state *config.State, jobs []job) []job {
	now := time.Now()
	busy := map[ident.UpstreamID]bool{}
	for t := range s.running {
		busy[t.upstream] = true
	}
	var kept []job
	for _, j := range jobs {
		r := s.retries[j.target]
		if busy[j.upstream] || (r != nil && now.Before(r.notBefore)) {
			continue
		}
		if j.order.Kind == extern.OrderLoadVersion && len(busy) >= s.maxBusyEngines(state, j.order.Model) {
			continue
		}
		busy[j.upstream] = true
		kept = append(kept, j)
	}
	return kept
}

// maxBusyEngines returns the number of engines with orders in flight, of any model, at which no further load of a model
// starts.
func (s *Scheduler) maxBusyEngines(state *config.State, model ident.ModelID) int {
	live := len(s.liveEngines(state, model))
	minServing := live * servingNumerator / servingDenominator
	if s.MinServingEngines != nil {
		minServing = s.MinServingEngines(model)
	}
	// One engine may always load: otherwise a model with too few engines could never finish a move.
	return min(s.maxConcurrentLoads(), max(1, live-minServing))
}
