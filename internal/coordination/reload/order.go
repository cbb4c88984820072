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

// acceptedOrders is the number of orders that an incarnation of an engine has accepted.
type acceptedOrders struct {
	started ident.Incarnation
	n       int64
}

// avoids reports whether an engine is left alone for now.
func (r *Runner) avoids(id ident.UpstreamID) bool {
	until, ok := r.avoid[id]
	if ok && time.Now().After(until) {
		delete(r.avoid, id)
		return false
	}
	return ok
}

// giveUp ends the load of an engine that can't be reached or is another one.
func (r *Runner) giveUp(j *job, why string) {
	klog.InfoS("Engine left alone", "engine", j.engine.ID, "reason", why, "tries", j.tries, "forMs", avoidFor.Milliseconds())
	delete(r.jobs, j.engine.ID)
	r.Placer.SetLoading(j.engine.ID, 0)
	r.avoid[j.engine.ID] = time.Now().Add(avoidFor)
}

// order gives the order to load in the background.
func (r *Runner) order(ctx context.Context, j *job, requests int) {
	term := r.Term()
	if term == 0 {
		return
	}
	j.calling, j.phase, j.since, j.checkAt = true, phaseLoading, time.Now(), time.Now().Add(r.pace.checkAfter())
	j.beside = 0
	j.tries++
	order := extern.WeightsOrder{
		Model: j.model, Version: j.version, Leader: r.Self, FencingToken: term, AcceptedOrders: r.acceptedBy(j.engine),
	}
	klog.InfoS("Engine ordered to load", "engine", j.engine.ID, "version", j.version, "term", term, "requests", requests,
		"accepted", order.AcceptedOrders, "try", j.tries)
	metrics.GetOrCreateCounter("gooseberrywayLoadOrders").Inc()
	r.calls.Go(func() {
		result, err := r.Control.Load(ctx, j.engine, order)
		r.mu.Lock()
		defer r.mu.Unlock()
		j.calling = false
		r.ordered(j, result, err)
	})
}

func (r *Runner) acceptedBy(u *view.Upstream) int64 {
	if a := r.accepted[u.ID]; a.started == u.Incarnation {
		return a.n
	}
	return 0
}

// ask looks in the background how an engine is of which this daemon knows nothing: how many orders it has accepted, and
// whether one of an earlier holder is under way.
func (r *Runner) ask(ctx context.Context, j *job) {
	j.asked = true
	r.look(ctx, j, func(report extern.EngineReport, err error) {
		if err != nil {
			r.giveUp(j, err.Error())
			return
		}
		switch {
		case report.WeightVersions[j.model] >= j.version:
			r.finish(j, report.WeightVersions[j.model])
		case report.Busy:
			klog.InfoS("Engine carries out an order of another daemon", "engine", j.engine.ID, "accepted", report.AcceptedOrders)
			j.phase, j.since, j.checkAt = phaseLoading, j.busyAt, j.busyAt.Add(checkAgain)
			j.tries++
		}
	})
}

// look asks an engine for its report in the background, learns from it and hands it on.
func (r *Runner) look(ctx context.Context, j *job, take func(extern.EngineReport, error)) {
	j.calling = true
	r.calls.Go(func() {
		report, err := r.Control.Report(ctx, j.engine)
		r.mu.Lock()
		defer r.mu.Unlock()
		j.calling = false
		if err == nil {
			r.accepted[j.engine.ID] = acceptedOrders{j.engine.Incarnation, report.AcceptedOrders}
			if report.Busy {
				j.busyAt = time.Now()
			}
		}
		take(report, err)
	})
}

// ordered takes the answer to an order.
func (r *Runner) ordered(j *job, result extern.OrderResult, err error) {
	if err != nil {
		// The order may have been accepted, or may be so later.
		klog.InfoS("Order without answer", "engine", j.engine.ID, "version", j.version, "reason", err.Error())
		j.checkAt = time.Now().Add(checkAgain)
		return
	}
	if result != extern.OrderAccepted {
		klog.InfoS("Order answered", "engine", j.engine.ID, "version", j.version, "result", result)
	}
	switch result {
	case extern.OrderAccepted:
		r.accepted[j.engine.ID] = acceptedOrders{j.engine.Incarnation, r.acceptedBy(j.engine) + 1}
		j.checkAt = j.since.Add(r.pace.checkAfter())
	case extern.OrderAlreadyLoaded:
		r.finish(j, j.version)
	case extern.OrderFenced:
		r.OnFenced()
	case extern.OrderBusy:
		j.checkAt = time.Now().Add(checkAgain)
	case extern.OrderMisdirected, extern.OrderRejected:
		r.giveUp(j, string(result))
	}
}

// check looks in the background whether an engine has its version.
func (r *Runner) check(ctx context.Context, j *job) {
	r.look(ctx, j, func(report extern.EngineReport, err error) {
		j.checkAt = time.Now().Add(checkAgain)
		if err != nil {
			klog.InfoS("Engine gave no report", "engine", j.engine.ID, "reason", err.Error())
			if j.lost++; j.lost >= reportsLost {
				r.giveUp(j, "no reports")
			}
			return
		}
		j.lost = 0
		switch {
		case report.WeightVersions[j.model] >= j.version:
			if j.tries == 1 {
				r.timed(j)
			}
			r.finish(j, report.WeightVersions[j.model])
		case !report.Busy && time.Since(j.since) > max(r.pace.expected, idleLeast)+checkAgain:
			// The order was lost or came to nothing: give it again.
			j.phase = phaseQuiet
		}
	})
}

// timed learns from the time of a load.
func (r *Runner) timed(j *job) {
	took := time.Since(j.since)
	n := len(r.Snapshots.Upstreams().ByService[j.engine.Service])
	was := r.pace.atOnce(n)
	r.pace.observe(took, j.beside, n)
	if now := r.pace.atOnce(n); now != was {
		klog.InfoS("Number of loads at once changed", "service", j.engine.Service, "from", was, "to", now,
			"tookMs", took.Milliseconds(), "beside", j.beside, "expectedMs", r.pace.expected.Milliseconds())
	}
}

func (r *Runner) finish(j *job, version int64) {
	klog.InfoS("Engine has the version", "engine", j.engine.ID, "version", version, "tookMs", time.Since(j.since).Milliseconds())
	delete(r.jobs, j.engine.ID)
	r.Placer.SetWeightVersion(j.engine, j.model, version)
	r.Placer.SetLoading(j.engine.ID, 0)
	r.done[j.engine.ID] = finished{model: j.model, version: version, at: time.Now()}
	r.OnChange()
}
