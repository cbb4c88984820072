// Package reload plans and carries out the rolling update of engines to the named weight version of their model: a
// limited number at a time, the oldest version first and then the least busy engine, each drained before it loads. It
// decides from the versions, reports and outstanding requests of the engines, and from the load times observed so far.
// The plan (this file and the pacer) is pure; the Runner carries it out.
package reload

import (
	"cmp"
	"slices"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

const (
	// maxDrainTime is how long an engine with outstanding requests gets no new ones before it is ordered to load.
	// Requests that still run when the weights change fail, but while the engine waits for them its capacity is lost.
	maxDrainTime = 650 * time.Millisecond
	// minDrainTime gives the other daemons time to learn that the engine takes no requests.
	minDrainTime = 50 * time.Millisecond
	// drainLeadTime is how long before the expected end of a load the next engine starts to drain. Most requests end
	// within it.
	drainLeadTime = 400 * time.Millisecond
	// checkInterval is the time between two checks of a load.
	checkInterval = 100 * time.Millisecond
	// unavailableMargin is added to the expected time for which an engine takes no requests.
	unavailableMargin = 400 * time.Millisecond
	// reportLag is the typical age of an engine's report. Reports may lag by some hundred milliseconds.
	reportLag = 150 * time.Millisecond
	// avoidPeriod is how long an engine gets no orders after it gave no reports or proved not to be the listed one. The
	// registration of an engine that has ended expires after some seconds.
	avoidPeriod = 2 * time.Second
	// maxMissedReports is the number of consecutive failed report calls after which a load is abandoned.
	maxMissedReports = 3
	// An order without effect is sent again after minOverdueTime, or after overdueLoadTimes times the expected load
	// time if that is longer.
	minOverdueTime   = 2500 * time.Millisecond
	overdueLoadTimes = 3
)

// phase is the stage of a job.
type phase uint8

const (
	// phaseDraining: the engine gets no new requests and has not been ordered to load.
	phaseDraining phase = iota
	// phaseLoading: the engine has been ordered to load.
	phaseLoading
)

// job is the update of one engine to a version.
type job struct {
	engine     *view.Upstream
	model      ident.ModelID
	version    int64
	phase      phase
	phaseSince time.Time
	// nextCheckAt is when the engine's report is fetched next.
	nextCheckAt time.Time
	// lastBusyAt is when a report last showed the engine loading.
	lastBusyAt time.Time
	// maxConcurrentLoads is the largest number of engines that loaded at the same time during this load, this one
	// included.
	maxConcurrentLoads int
	// callInFlight is true while an order or report call is in flight, checkedBeforeOrder once checkBeforeOrder was
	// called.
	callInFlight, checkedBeforeOrder bool
	// orderAttempts counts the orders sent, missedReports the consecutive failed report calls.
	orderAttempts, missedReports int
}

// expectedToEndWithin reports whether the load is expected to have ended after d. It returns false while no load time
// is known, and for a load that has already taken longer than expected.
func (j *job) expectedToEndWithin(d time.Duration, p *pacer, now time.Time) bool {
	if j.phase != phaseLoading || !p.hasEstimate() || now.Sub(j.phaseSince) > p.expectedTime+reportLag {
		return false
	}
	return now.Add(d).Sub(j.phaseSince) >= p.expectedTime-reportLag
}

// overdue reports whether the engine's order seems to have had no effect.
func (j *job) overdue(p *pacer, now time.Time) bool {
	limit := max(minOverdueTime, overdueLoadTimes*p.expectedTime)
	return j.phase == phaseLoading && !j.callInFlight && now.Sub(j.phaseSince) > limit && now.Sub(j.lastBusyAt) > minOverdueTime/2
}

// candidate is an engine with an older version than the named one.
type candidate struct {
	engine *view.Upstream
	// currentVersion is the version that the engine is known to have, version the one that it should load.
	currentVersion, version int64
	requests                int
}

// unavailableCounts counts the engines of a service that take no requests because of a load.
type unavailableCounts struct {
	// draining counts engines that have no order yet, loading those with an order whose load is not expected to have
	// ended. total counts both and the engines whose load is expected to have ended.
	draining, loading, total int
	// endingSoon counts those of loading that end so soon that another engine may start to drain.
	endingSoon int
}

func countUnavailable(jobs map[ident.UpstreamID]*job, p *pacer, now time.Time) unavailableCounts {
	var counts unavailableCounts
	for _, j := range jobs {
		counts.total++
		switch {
		case j.phase == phaseDraining:
			counts.draining++
		case !j.expectedToEndWithin(0, p, now):
			counts.loading++
			if j.expectedToEndWithin(drainLeadTime, p, now) {
				counts.endingSoon++
			}
		}
	}
	return counts
}

// nextToDrain returns the candidates that should start to drain now: as many as may load beside the engines that
// already drain or load, and one for each load that ends soon, so that the next load does not have to wait for a drain.
// The number of unavailable engines stays within its limit.
func nextToDrain(total, concurrency int, counts unavailableCounts, candidates []candidate) []candidate {
	room := min(concurrency-counts.draining-counts.loading+counts.endingSoon, max(concurrency, maxConcurrency(total))-counts.total)
	if total <= 2 {
		room = 1 - counts.total
	}
	if room <= 0 {
		return nil
	}
	// Oldest version first: it is the first to become unusable, and an engine that is always busy must not be left for
	// last.
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.currentVersion, b.currentVersion), cmp.Compare(a.requests, b.requests), cmp.Compare(a.engine.ID, b.engine.ID),
		)
	})
	return candidates[:min(room, len(candidates))]
}

// mayLoad reports whether a draining engine may be ordered to load.
func mayLoad(j *job, requests, loading, concurrency int, now time.Time) bool {
	drainTime := now.Sub(j.phaseSince)
	if loading >= concurrency || drainTime < minDrainTime {
		return false
	}
	return requests == 0 || drainTime >= maxDrainTime
}
