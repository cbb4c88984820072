package entry

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/state/guard"
)

const (
	// handedOutFor is how long callers may still come after the directory has dropped the daemon, in which their
	// answers of the directory expire. Later requests could not be sure to end before the process is killed.
	handedOutFor = directoryTTL + 300*time.Millisecond
	// leaveMargin is kept before the platform kills the process.
	leaveMargin = 400 * time.Millisecond
)

// leave stops being handed out, finishes what has begun and closes.
func (d *Daemon) leave(s *servers) {
	d.leaving.Store(true)
	d.peers.SendSoon()
	begun := time.Now()
	klog.InfoS("Daemon leaves", "daemon", d.Settings.DaemonID, "active", d.inFlight.Load())
	last := begun.Add(time.Duration(d.Settings.Limits.GraceS*float64(time.Second)) - leaveMargin)
	release, stop := context.WithTimeout(context.Background(), handedOutFor)
	d.keeper.Resign(release)
	stop()
	time.Sleep(min(handedOutFor-time.Since(begun), time.Until(last)))
	ctx, cancel := context.WithDeadline(context.Background(), last)
	defer cancel()
	for _, server := range s.list {
		if err := server.Shutdown(ctx); err != nil {
			guard.Check(d.inFlight.Load() == 0, guard.ShutdownClean, "%d requests are cut", d.inFlight.Load())
			_ = server.Close()
		}
	}
}
