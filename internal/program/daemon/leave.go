package daemon

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/state/guard"
)

// leave ends the daemon's part in the fleet without cutting a request: it tells the others, so that locate no longer
// hands it out, serves until the cached answers of locate have expired, refuses new work and waits for what it has
// begun. The others count it as removed at the end.
func (d *Daemon) leave() {
	p, drain := d.parts, d.Settings.Drain
	klog.InfoS("Daemon leaves", "daemon", d.self(), "open", p.service.OpenRequests())
	p.record("leaving", p.fleet.RecordLeaving)
	if p.service.OpenRequests() > 0 || p.seenCallers() {
		time.Sleep(milliseconds(drain.LocateTTLMs))
	}
	p.service.Drain()
	p.finish(milliseconds(drain.TimeoutMs))
	p.release()
	p.record("left", p.fleet.RecordLeft)
}

// record writes that the daemon is leaving or has left. A failure only costs the others the time to notice.
func (p *parts) record(what string, write func(context.Context) error) {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := write(ctx); err != nil {
		klog.ErrorS(err, "The fleet was not told", "daemon", p.settings.DaemonID, "what", what)
	}
}

// release gives up the slices of idempotency keys that this daemon owns.
func (p *parts) release() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	p.claimer.Release(ctx)
}

// finish waits for the open requests for up to the timeout.
func (p *parts) finish(timeout time.Duration) {
	deadline := time.Now().Add(timeout)
	for p.service.OpenRequests() > 0 && time.Now().Before(deadline) {
		time.Sleep(drainPoll)
	}
	guard.Check(p.service.OpenRequests() == 0, guard.ShutdownClean, "%d requests cut after %s", p.service.OpenRequests(), timeout)
}

// seenCallers reports whether any caller can have been told of this daemon.
func (p *parts) seenCallers() bool { return p.ready() == nil }
