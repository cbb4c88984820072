package daemon

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/state/guard"
)

// leave takes the daemon out of the fleet and lets open requests end. It records that the daemon is leaving, so that locate
// no longer returns it, serves until cached locate responses have expired, rejects new requests, and waits for the open ones
// up to the drain timeout. At the end it releases the daemon's slices and records that it has left.
func (d *Daemon) leave() {
	c, drain := d.components, d.Settings.Drain
	klog.InfoS("Daemon leaves", "daemon", d.self(), "open", c.service.OpenRequests())
	c.recordDeparture("leaving", c.membership.RecordLeaving)
	if c.service.OpenRequests() > 0 || c.mayHaveCallers() {
		time.Sleep(milliseconds(drain.LocateTTLMs))
	}
	c.service.Drain()
	c.waitForRequests(milliseconds(drain.TimeoutMs))
	c.releaseSlices()
	c.recordDeparture("left", c.membership.RecordLeft)
}

// recordDeparture records that the daemon is leaving or has left. A failure is only logged: the peers then detect the
// departure later, by missing heartbeats.
func (c *components) recordDeparture(what string, write func(context.Context) error) {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := write(ctx); err != nil {
		klog.ErrorS(err, "Departure of the daemon was not recorded", "daemon", c.settings.DaemonID, "what", what)
	}
}

// releaseSlices releases the slices of idempotency keys that this daemon owns.
func (c *components) releaseSlices() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	c.claimer.Release(ctx)
}

// waitForRequests waits until no request is open or the timeout has passed.
func (c *components) waitForRequests(timeout time.Duration) {
	deadline := time.Now().Add(timeout)
	for c.service.OpenRequests() > 0 && time.Now().Before(deadline) {
		time.Sleep(drainPollInterval)
	}
	guard.Check(c.service.OpenRequests() == 0, guard.ShutdownClean,
		"shutdown cut %d open requests after %s", c.service.OpenRequests(), timeout)
}

// mayHaveCallers reports whether callers may have got the address of this daemon from locate.
func (c *components) mayHaveCallers() bool { return c.ready() == nil }
