package entry

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/state/guard"
)

const (
	// directoryExpiry is how long new callers may still arrive after the directory has dropped the daemon, because they
	// keep its responses for directoryTTL. Requests that arrive later might not end before the platform kills the process.
	directoryExpiry = directoryTTL + 300*time.Millisecond
	// killMargin is how long before the platform kills the process the daemon stops waiting for requests.
	killMargin = 400 * time.Millisecond
)

// drain removes the daemon from the directory, resigns leadership, waits for requests in progress and closes the
// servers.
func (d *Daemon) drain(s *servers) {
	d.leaving.Store(true)
	d.peers.SendSoon()
	start := time.Now()
	klog.InfoS("Daemon leaves", "daemon", d.Settings.DaemonID, "active", d.inFlight.Load())
	end := start.Add(time.Duration(d.Settings.Limits.GraceS*float64(time.Second)) - killMargin)
	resignCtx, cancelResign := context.WithTimeout(context.Background(), directoryExpiry)
	d.elector.Resign(resignCtx)
	cancelResign()
	time.Sleep(min(directoryExpiry-time.Since(start), time.Until(end)))
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	for _, server := range s.httpServers {
		if err := server.Shutdown(ctx); err != nil {
			guard.Check(d.inFlight.Load() == 0, guard.ShutdownClean, "%d requests in progress are aborted at shutdown", d.inFlight.Load())
			_ = server.Close()
		}
	}
}
