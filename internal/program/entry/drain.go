package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/state/guard"
)

const (
	// directoryExpiry is how long new callers may still arrive after the directory has dropped the daemon, because they
	// keep its responses for directoryTTL. Requests that arrive later might not end before the platform kills the process.
	directoryExpiry = directoryTTL + 300*time.Millisecond
	// killMargin is how long before the platform kills the process the daemon stops waiting for requests, and finalAnswerTime how long
	// those have then to end with a final answer.
	killMargin      = 400 * time.Millisecond
	finalAnswerTime = 200 * time.Millisecond
	// maxCutLogged is the number of requests that are logged when the stop ends them, the last admitted ones.
	maxCutLogged = 32
)

// drain removes the daemon from the directory, resigns leadership, waits for requests in progress and closes the
// servers. Requests that can't end in time are refused at once; those that are still open at the end get a final answer, unless
// a part of a response is out.
func (d *Daemon) drain(s *servers) {
	start := time.Now()
	end := start.Add(time.Duration(d.Settings.Limits.GraceS*float64(time.Second)) - killMargin)
	d.requestStop.Begin(end)
	s.lingerer.enabled.Store(true)
	d.leaving.Store(true)
	d.peers.SendSoon()
	klog.InfoS("Daemon leaves", "daemon", d.Settings.DaemonID, "active", d.inFlight.Load(), "untilEndMs", time.Until(end).Milliseconds())
	expire := time.AfterFunc(time.Until(end), func() {
		d.logCut(start)
		d.requestStop.Expire()
	})
	defer expire.Stop()
	resignCtx, cancelResign := context.WithTimeout(context.Background(), directoryExpiry)
	d.elector.Resign(resignCtx)
	cancelResign()
	time.Sleep(min(directoryExpiry-time.Since(start), time.Until(end)))
	end = end.Add(finalAnswerTime)
	open := s.closeCallers(end, d.requestStop.RefuseNew)
	guard.Check(open == 0, guard.ShutdownClean, "requests on %d connections are aborted at shutdown", open)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	for _, server := range s.httpServers {
		if err := server.Shutdown(ctx); err != nil {
			_ = server.Close()
		}
	}
}

// logCut logs the requests that a stop planned at the given time cuts.
func (d *Daemon) logCut(signalled time.Time) {
	open := d.requestStop.Open()
	if len(open) == 0 {
		return
	}
	klog.InfoS("Stop ends open requests", "daemon", d.Settings.DaemonID, "requests", len(open))
	for _, r := range open[:min(len(open), maxCutLogged)] {
		klog.InfoS("Stop ends request", "request", r.ID, "route", r.Route, "arrivedAfterSignalMs", r.ArrivedAt.Sub(signalled).Milliseconds(),
			"admittedAfterSignalMs", r.AdmittedAt.Sub(signalled).Milliseconds(), "untilStopWhenAdmittedMs", r.Estimate.Left.Milliseconds(),
			"takesMs", r.Estimate.Takes.Milliseconds(), "samples", r.Estimate.Samples)
	}
}

// closeCallers closes the callers' listener, and their connections once no request is read or answered on any of them, at the latest
// at the given time. Requests on open connections are answered until then: http.Server.Shutdown would read and drop them. Before the
// connections are closed, refuse makes the handler refuse what still comes; what was passed on until then is waited for. Connections that linger
// are waited for last. It returns the number of connections with a request that is cut.
func (s *servers) closeCallers(latest time.Time, refuse func()) int {
	_ = s.listeners[callerServer].Close()
	s.awaitIdle(latest)
	refuse()
	s.awaitIdle(latest)
	open := s.inProgress()
	s.lingerer.enabled.Store(false)
	_ = s.httpServers[callerServer].Close()
	for s.lingerer.open.Load() > 0 && time.Now().Before(latest) {
		time.Sleep(busyPollInterval)
	}
	return open
}

// awaitIdle waits until no request of a caller or passed on by a peer is read or answered, at the latest until the given time.
func (s *servers) awaitIdle(latest time.Time) {
	for s.inProgress() > 0 && time.Now().Before(latest) {
		time.Sleep(busyPollInterval)
	}
}

// busyPollInterval is how often the end of all open requests is looked for during a stop.
const busyPollInterval = 5 * time.Millisecond

// busyConns are the connections on which a request is being read or answered.
type busyConns struct {
	mu    sync.Mutex
	conns map[net.Conn]bool
}

// update is the ConnState hook of the server.
func (b *busyConns) update(c net.Conn, state http.ConnState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if state == http.StateActive {
		if b.conns == nil {
			b.conns = map[net.Conn]bool{}
		}
		b.conns[c] = true
		return
	}
	delete(b.conns, c)
}

func (b *busyConns) count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.conns)
}
