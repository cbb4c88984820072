package entry

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/scope"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

const (
	// silenceTick is how often the daemon looks for engines with requests that send nothing.
	silenceTick = 100 * time.Millisecond
	// reportPeriod is the shortest time between two reports that a silent engine is asked for.
	reportPeriod = 900 * time.Millisecond
	// reportTimeout bounds a report, which takes an engine that works a few milliseconds.
	reportTimeout = 400 * time.Millisecond
)

// askSilentEngines asks engines that send nothing whether they work, so that only those are taken to hang that don't answer either.
func (d *Daemon) askSilentEngines(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	askedAt := map[ident.UpstreamID]time.Time{}
	for ctx.Err() == nil {
		now := time.Now()
		for id, at := range askedAt {
			if now.Sub(at) >= reportPeriod {
				delete(askedAt, id)
			}
		}
		for _, u := range d.placer.SilentEngines() {
			if _, asked := askedAt[u.ID]; asked {
				continue
			}
			askedAt[u.ID] = now
			wg.Go(func() { d.askEngine(ctx, u) })
		}
		scope.Sleep(ctx, silenceTick)
	}
}

// askEngine asks an engine for a report, and records that it works if the report counts any requests, running or waiting. An engine that reports
// none is taken to have lost those of this daemon.
func (d *Daemon) askEngine(ctx context.Context, u *view.Upstream) {
	report, tries, err := d.reportOf(ctx, u)
	outcome := "working"
	switch {
	case err != nil:
		outcome = "unanswered"
	case report.RunningRequests+report.WaitingRequests == 0:
		outcome = "idle"
	default:
		d.placer.ConfirmWork(u.ID, u.Incarnation)
	}
	klog.InfoS("Silent engine asked", "upstream", u.ID, "outcome", outcome, "running", report.RunningRequests, "waiting", report.WaitingRequests,
		"tries", tries, "error", err)
	metrics.GetOrCreateCounter(fmt.Sprintf(`gooseberrywaySilentEngineReports{outcome=%q}`, outcome)).Inc()
}

// reportOf asks an engine for a report. If none comes in time it asks once more, on a new connection, as the kept one may have gone silent.
func (d *Daemon) reportOf(ctx context.Context, u *view.Upstream) (report extern.EngineReport, tries int, err error) {
	for _, control := range []extern.EngineControl{d.control, d.freshControl} {
		tries++
		if report, err = askInTime(ctx, control, u); err == nil {
			break
		}
	}
	return report, tries, err
}

// askInTime asks for a report. It returns an error no sooner than after reportTimeout, so that what loses one report is over at the next.
func askInTime(ctx context.Context, control extern.EngineControl, u *view.Upstream) (extern.EngineReport, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := control.Report(ctx, u)
	if err != nil {
		<-ctx.Done()
	}
	return report, err
}
