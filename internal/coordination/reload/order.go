package reload

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// acceptedCount is the number of load orders that one incarnation of an engine has accepted.
type acceptedCount struct {
	incarnation ident.Incarnation
	count       int64
}

// isAvoided reports whether an engine gets no load orders for now, because an earlier load was abandoned.
func (r *Runner) isAvoided(id ident.UpstreamID) bool {
	until, ok := r.avoidUntil[id]
	if ok && time.Now().After(until) {
		delete(r.avoidUntil, id)
		return false
	}
	return ok
}

// abandonLoad drops the job of an engine that can't be reached or isn't the listed one, and avoids the engine for
// avoidPeriod.
func (r *Runner) abandonLoad(j *job, reason string) {
	klog.InfoS("Engine left alone", "engine", j.engine.ID, "reason", reason, "tries", j.orderAttempts, "forMs", avoidPeriod.Milliseconds())
	delete(r.jobs, j.engine.ID)
	r.Placer.SetLoading(j.engine.ID, 0)
	r.avoidUntil[j.engine.ID] = time.Now().Add(avoidPeriod)
}

// order sends the order to load the job's version, in the background.
func (r *Runner) order(ctx context.Context, j *job, requests int) {
	term := r.Term()
	if term == 0 {
		return
	}
	j.callInFlight, j.phase, j.phaseSince, j.nextCheckAt = true, phaseLoading, time.Now(), time.Now().Add(r.pacer.firstCheckDelay())
	j.maxConcurrentLoads = 0
	j.orderAttempts++
	order := extern.WeightsOrder{
		Model: j.model, Version: j.version, Leader: r.Self, FencingToken: term, AcceptedOrders: r.acceptedCountOf(j.engine),
	}
	klog.InfoS("Engine ordered to load", "engine", j.engine.ID, "version", j.version, "term", term, "requests", requests,
		"accepted", order.AcceptedOrders, "try", j.orderAttempts)
	metrics.GetOrCreateCounter("gooseberrywayLoadOrders").Inc()
	r.calls.Go(func() {
		result, err := r.Control.Load(ctx, j.engine, order)
		r.mu.Lock()
		defer r.mu.Unlock()
		j.callInFlight = false
		r.handleOrderResult(j, result, err)
	})
}

func (r *Runner) acceptedCountOf(u *view.Upstream) int64 {
	if a := r.acceptedCounts[u.ID]; a.incarnation == u.Incarnation {
		return a.count
	}
	return 0
}

// checkBeforeOrder fetches the report of an engine that this daemon has not dealt with yet, in the background. The
// report says how many orders the engine has accepted, and whether it carries out an order of an earlier leader.
func (r *Runner) checkBeforeOrder(ctx context.Context, j *job) {
	j.checkedBeforeOrder = true
	r.fetchReport(ctx, j, func(report extern.EngineReport, err error) {
		if err != nil {
			r.abandonLoad(j, err.Error())
			return
		}
		switch {
		case report.WeightVersions[j.model] >= j.version:
			r.finishLoad(j, report.WeightVersions[j.model])
		case report.Busy:
			klog.InfoS("Engine is already loading by order of another daemon", "engine", j.engine.ID, "accepted", report.AcceptedOrders)
			j.phase, j.phaseSince, j.nextCheckAt = phaseLoading, j.lastBusyAt, j.lastBusyAt.Add(checkInterval)
			j.orderAttempts++
		}
	})
}

// fetchReport fetches an engine's report in the background, stores its number of accepted orders and passes the report
// to handle. The Runner is locked while handle runs.
func (r *Runner) fetchReport(ctx context.Context, j *job, handle func(extern.EngineReport, error)) {
	j.callInFlight = true
	r.calls.Go(func() {
		report, err := r.Control.Report(ctx, j.engine)
		r.mu.Lock()
		defer r.mu.Unlock()
		j.callInFlight = false
		if err == nil {
			r.acceptedCounts[j.engine.ID] = acceptedCount{j.engine.Incarnation, report.AcceptedOrders}
			if report.Busy {
				j.lastBusyAt = time.Now()
			}
		}
		handle(report, err)
	})
}

// handleOrderResult handles the response to an order.
func (r *Runner) handleOrderResult(j *job, result extern.OrderResult, err error) {
	if err != nil {
		// The engine may have accepted the order, or may still receive it.
		klog.InfoS("Load order got no response", "engine", j.engine.ID, "version", j.version, "reason", err.Error())
		j.nextCheckAt = time.Now().Add(checkInterval)
		return
	}
	if result != extern.OrderAccepted {
		klog.InfoS("Order answered", "engine", j.engine.ID, "version", j.version, "result", result)
	}
	switch result {
	case extern.OrderAccepted:
		r.acceptedCounts[j.engine.ID] = acceptedCount{j.engine.Incarnation, r.acceptedCountOf(j.engine) + 1}
		j.nextCheckAt = j.phaseSince.Add(r.pacer.firstCheckDelay())
	case extern.OrderAlreadyLoaded:
		r.finishLoad(j, j.version)
	case extern.OrderFenced:
		r.OnFenced()
	case extern.OrderBusy:
		j.nextCheckAt = time.Now().Add(checkInterval)
	case extern.OrderMisdirected, extern.OrderRejected:
		r.abandonLoad(j, string(result))
	}
}

// checkProgress fetches the engine's report in the background to see whether the load has finished.
func (r *Runner) checkProgress(ctx context.Context, j *job) {
	r.fetchReport(ctx, j, func(report extern.EngineReport, err error) {
		j.nextCheckAt = time.Now().Add(checkInterval)
		if err != nil {
			klog.InfoS("Engine report could not be fetched", "engine", j.engine.ID, "reason", err.Error())
			if j.missedReports++; j.missedReports >= maxMissedReports {
				r.abandonLoad(j, "too many report calls failed")
			}
			return
		}
		j.missedReports = 0
		switch {
		case report.WeightVersions[j.model] >= j.version:
			if j.orderAttempts == 1 {
				r.recordLoadTime(j)
			}
			r.finishLoad(j, report.WeightVersions[j.model])
		case !report.Busy && time.Since(j.phaseSince) > max(r.pacer.expectedTime, orderEffectTime)+checkInterval:
			// The order got lost or had no effect: drain and send it again.
			j.phase = phaseDraining
		}
	})
}

// recordLoadTime feeds the time of a finished load to the pacer.
func (r *Runner) recordLoadTime(j *job) {
	took := time.Since(j.phaseSince)
	n := len(r.Snapshots.Upstreams().ByService[j.engine.Service])
	before := r.pacer.allowedConcurrency(n)
	r.pacer.observe(took, j.maxConcurrentLoads, n)
	if after := r.pacer.allowedConcurrency(n); after != before {
		klog.InfoS("Number of loads at once changed", "service", j.engine.Service, "from", before, "to", after,
			"tookMs", took.Milliseconds(), "beside", j.maxConcurrentLoads, "expectedMs", r.pacer.expectedTime.Milliseconds())
	}
}

func (r *Runner) finishLoad(j *job, version int64) {
	klog.InfoS("Engine has the version", "engine", j.engine.ID, "version", version, "tookMs", time.Since(j.phaseSince).Milliseconds())
	delete(r.jobs, j.engine.ID)
	r.Placer.SetWeightVersion(j.engine, j.model, version)
	r.Placer.SetLoading(j.engine.ID, 0)
	r.finishedLoads[j.engine.ID] = finishedLoad{model: j.model, incarnation: j.engine.Incarnation, version: version, finishedAt: time.Now()}
	r.OnChange()
}
