package entry

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/state/guard"
)

const (
	// handedOutFor is how long callers may still come after the directory has dropped the daemon: they keep an answer
	// for its time to live, some of them three times as long.
	handedOutFor = directoryTTL + time.Second
	// leaveMargin is kept before the platform kills the process.
	leaveMargin = 900 * time.Millisecond
	// quietFor is how long no request may have come before the daemon closes early.
	quietFor  = 700 * time.Millisecond
	leaveTick = 50 * time.Millisecond
)

// leave stops being handed out, finishes what has begun and closes.
func (d *Daemon) leave(s *servers) {
	d.leaving.Store(true)
	d.peers.Urgent()
	begun := time.Now()
	klog.InfoS("Daemon leaves", "daemon", d.Settings.DaemonID, "active", d.active.Load())
	last := time.Duration(d.Settings.Limits.GraceS*float64(time.Second)) - leaveMargin
	idleSince := begun
	for time.Since(begun) < last {
		if d.active.Load() > 0 {
			idleSince = time.Now()
		}
		if time.Since(begun) > handedOutFor && time.Since(idleSince) > quietFor {
			break
		}
		time.Sleep(leaveTick)
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveMargin/2)
	defer cancel()
	for _, server := range s.list {
		if err := server.Shutdown(ctx); err != nil {
			guard.Check(d.active.Load() == 0, guard.ShutdownClean, "%d requests are cut", d.active.Load())
			_ = server.Close()
		}
	}
}
